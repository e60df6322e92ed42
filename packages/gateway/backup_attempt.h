#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>

#include "core/time.h"
#include "gateway/attempt.h"
#include "gateway/attempt_runner.h"
#include "gateway/call.h"
#include "gateway/crash_detector.h"
#include "gateway/fleet_state.h"
#include "gateway/response_relay.h"

namespace savoryglade::gateway {

// Watches the first attempt of a call for silence, and then begins a second one at another upstream
// beside it. A silent upstream may be sound and go on, so the first attempt is given up only when
// the answer of the second one is at hand: the next event of a stream, or a whole body. The second
// attempt ends as soon as the first one has something to pass on. The call must outlive the object
// until Finish has returned. Not thread-safe.
class BackupAttempt : public AttemptObserver, public std::enable_shared_from_this<BackupAttempt> {
 public:
  BackupAttempt(boost::asio::io_context& context, FleetState& fleet, AttemptRunner& runner,
                ResponseRelay& response_relay, const CrashDetector& crash_detector, Call& call,
                std::shared_ptr<Attempt> first)
      : context_(context),
        fleet_(fleet),
        runner_(runner),
        response_relay_(response_relay),
        crash_detector_(crash_detector),
        call_(call),
        first_(std::move(first)),
        check_timer_(context),
        second_timer_(context),
        change_(context) {}

  void OnSent() override;
  void OnBytes() override;
  void OnRelay() override;
  void OnRelayed() override;

  // What the second attempt is needed for after the end of the first one.
  enum class Need : std::uint8_t { kNone, kIfAtHand, kAwait };

  // Ends the watch after the end of the first attempt. Awaits a second attempt that has been sent
  // if it is needed, and withdraws it otherwise. Returns it if its answer is at hand.
  boost::asio::awaitable<std::shared_ptr<Attempt>> Finish(Need need);

 private:
  // Upstream for the next second attempt, whose retry was consumed.
  struct Replacement {
    Placement placement;
    TimePoint consumed_at{};
  };

  void CheckAfter(Duration time);
  // Begins a second attempt if the first one is silent.
  void Check();
  void CheckSecondAfter(Duration time);
  // Replaces a second attempt that is silent as well, if another upstream can be asked.
  void CheckSecond();
  void RecordSilence(Attempt& attempt, Duration silence);
  // Returns true if the call may be sent to one more upstream beside those that run it.
  bool MayBegin() const;
  // Returns an upstream for the second attempt and consumes its retry, or returns nothing.
  std::optional<Placement> ChooseUpstream(TimePoint now);
  // Makes second attempts until the answer of one is at hand, none may begin or it is cancelled.
  boost::asio::awaitable<void> Run();
  void Cancel();

  boost::asio::io_context& context_;
  FleetState& fleet_;
  AttemptRunner& runner_;
  ResponseRelay& response_relay_;
  const CrashDetector& crash_detector_;
  Call& call_;
  std::shared_ptr<Attempt> first_;
  std::shared_ptr<Attempt> second_;
  // What the second attempt had received when its silence was last checked.
  std::size_t second_received_ = 0;
  std::optional<Replacement> replacement_;
  boost::asio::steady_timer check_timer_;
  boost::asio::steady_timer second_timer_;
  // Cancelled when a change ends a wait.
  boost::asio::steady_timer change_;
  TimePoint last_bytes_{};
  // Whether the limit of pauses within the response is in force.
  bool is_in_response_ = false;
  // Whether bytes of the first attempt are being passed on to the caller, who may read slowly.
  bool is_relaying_ = false;
  bool is_running_ = false;
  bool is_cancelled_ = false;
  bool has_first_ended_ = false;
  bool is_at_hand_ = false;
};

}  // namespace savoryglade::gateway
