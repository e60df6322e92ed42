#pragma once

#include <cstdint>

#include "core/time.h"
#include "gateway/call.h"
#include "gateway/fleet_state.h"

namespace savoryglade::gateway {

// Software version at which a call may run, as far as its stream determines it.
struct StreamVersion {
  enum class State : std::uint8_t {
    // The call resumes no stream.
    kNotResumed,
    // The stream that the call resumes may continue only at the version `key`.
    kKnown,
    // The version that began the stream is not known.
    kUnknown,
  };

  State state = State::kNotResumed;
  // Key by SoftwareVersionKey.
  std::uint64_t key = 0;
};

// Finds the versions that began streams. Not thread-safe.
class StreamVersionLookup {
 public:
  virtual ~StreamVersionLookup() = default;

  // Returns the version at which the stream of a call that resumes one may continue. The call's
  // service is known.
  virtual StreamVersion Find(const Call& call, TimePoint now) = 0;
  // Records the version that begins a call's stream, or continues one of an earlier response.
  // Called before the first event of the response is sent to its caller.
  virtual void OnStreamBegan(const Call& call, std::uint64_t version, TimePoint now) = 0;
};

// Looks streams up in the directory that daemons exchange.
class DirectoryVersionLookup : public StreamVersionLookup {
 public:
  explicit DirectoryVersionLookup(FleetState& fleet) : fleet_(fleet) {}

  StreamVersion Find(const Call& call, TimePoint now) override;
  void OnStreamBegan(const Call& call, std::uint64_t version, TimePoint now) override;

 private:
  FleetState& fleet_;
};

}  // namespace savoryglade::gateway
