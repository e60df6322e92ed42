#include "gateway/peer_digests.h"

#include <fmt/format.h>

#include <algorithm>
#include <boost/asio.hpp>
#include <boost/json.hpp>
#include <utility>

#include "core/boot_clock.h"
#include "gateway/digest_codec.h"
#include "logging/logger.h"
#include "net/sleep.h"

namespace savoryglade::gateway {
namespace {

namespace asio = boost::asio;
namespace json = boost::json;
using asio::ip::udp;

constexpr auto kAwait = asio::as_tuple(asio::use_awaitable);

// Time between two reports in a small group. It grows with the group, so that a daemon handles
// about as many datagrams in a large one.
constexpr Duration kShortestInterval = 150ms;
constexpr Duration kIntervalPerPeer = 12ms;
// Time between two reports with slowly changing facts.
constexpr Duration kWholeInterval = 1s;
// Datagrams that are sent at once, and the pause behind them, so that reports don't hold up the
// answers on a slow link.
constexpr std::size_t kBurst = 4;
constexpr Duration kBurstPause = 4ms;
// Time between two writes of this daemon's row in a small fleet, and what each daemon adds.
constexpr Duration kRegisterInterval = 10s;
constexpr Duration kRegisterIntervalPerPeer = 400ms;
// Time after which a row that can't be written is tried again.
constexpr Duration kRegisterRetry = 2s;
// A daemon whose row has not changed and that sent no report for this long has gone.
constexpr Duration kPeerLifetime = 30s;
// Writes of its row that a daemon may miss.
constexpr double kMissedRows = 2.5;
// Daemons start together and find each other by the rows; later ones make themselves known by
// their reports, so the rows are read less often then.
constexpr int kFirstReads = 3;
constexpr Duration kFirstReadInterval = 2s;
// Reads of the rows for each write.
constexpr int kReadsPerRegistration = 2;
// A source is taken for silent after this many intervals, or the time of a small fleet if longer.
constexpr int kSilentIntervals = 4;
constexpr Duration kShortestSilence = 1s;
constexpr std::size_t kLargestDatagram = 60'000;
// Changes of registrations in one datagram, of about 150 bytes each.
constexpr std::size_t kMostChanges = 200;
constexpr const char* kRowPrefix = "daemon/";

const Logger kLog("peers");

// What a daemon's row says.
struct DaemonRow {
  Endpoint endpoint;
  FailureDomainId failure_domain;
  std::uint64_t memory_bytes = 0;
};

std::string PrintRow(const GatewaySettings& settings) {
  return json::serialize(json::object{{"endpoint", ToString(settings.peers)},
                                      {"failure_domain", settings.failure_domain.value()},
                                      {"memory_bytes", settings.memory_bytes}});
}

Result<DaemonRow> ParseRow(const std::string& text) {
  const auto invalid = [](const std::string& what) {
    return tl::make_unexpected(Error{.code = ErrorCode::kInvalid, .message = what});
  };
  boost::system::error_code error;
  const json::value value = json::parse(text, error);
  const json::object* object = error ? nullptr : value.if_object();
  const json::value* endpoint = object == nullptr ? nullptr : object->if_contains("endpoint");
  const json::value* domain = object == nullptr ? nullptr : object->if_contains("failure_domain");
  const json::value* memory = object == nullptr ? nullptr : object->if_contains("memory_bytes");
  if (endpoint == nullptr || !endpoint->is_string() || domain == nullptr || !domain->is_string() ||
      memory == nullptr || !memory->is_number()) {
    return invalid("The row lacks endpoint, failure_domain or memory_bytes.");
  }
  const Result<Endpoint> parsed = ParseEndpoint(std::string(endpoint->get_string()));
  if (!parsed) {
    return tl::make_unexpected(parsed.error());
  }
  DaemonRow row{.endpoint = *parsed,
                .failure_domain = FailureDomainId(std::string(domain->get_string())),
                .memory_bytes = memory->to_number<std::uint64_t>(error)};
  if (error) {
    return invalid("The row's memory_bytes is no whole number.");
  }
  return row;
}

}  // namespace

PeerDigests::PeerDigests(FleetState& fleet, FleetStore& store, ReportCallback on_report)
    : fleet_(fleet), store_(store), exchange_(fleet), on_report_(std::move(on_report)) {}

Result<void> PeerDigests::Open(asio::io_context& context) {
  const Endpoint& endpoint = fleet_.settings.peers;
  socket_ = std::make_unique<udp::socket>(context);
  boost::system::error_code error;
  const udp::endpoint address(asio::ip::make_address(endpoint.address, error), endpoint.port);
  if (!error) {
    socket_->open(address.protocol(), error);
  }
  if (!error) {
    socket_->bind(address, error);
  }
  if (error) {
    return tl::make_unexpected(Error{.code = ErrorCode::kUnavailable,
                                     .message = fmt::format("Can't receive digests at {}: {}.",
                                                            ToString(endpoint), error.message())});
  }
  socket_->non_blocking(true, error);
  // Port 0 lets the system choose one.
  fleet_.settings.peers.port = socket_->local_endpoint().port();
  return {};
}

bool PeerDigests::SendOne(const std::string& datagram, const DaemonId& receiver) {
  const auto peer = peers_.find(receiver);
  if (peer == peers_.end()) {
    return false;
  }
  boost::system::error_code error;
  socket_->send_to(asio::buffer(datagram), peer->second.endpoint, 0, error);
  if (error) {
    kLog.Warning("A digest can't be sent.",
                 {{"daemon", receiver.value()}, {"error", error.message()}});
  }
  return !error;
}

asio::awaitable<void> PeerDigests::Send(const FleetReport& report,
                                        std::vector<DaemonId> receivers) {
  const std::string datagram = EncodeDigest(report);
  if (datagram.size() > kLargestDatagram) {
    kLog.Error("A digest is too large to be sent.", {{"bytes", datagram.size()}});
    co_return;
  }
  Counter& bytes =
      fleet_.metrics.GetCounter("savoryglade_gateway_digest_bytes_total", {{"direction", "sent"}});
  for (std::size_t i = 0; i < receivers.size(); ++i) {
    if (i > 0 && i % kBurst == 0) {
      co_await Sleep(kBurstPause);
    }
    if (SendOne(datagram, receivers[i])) {
      bytes.Add(datagram.size());
    }
  }
}

void PeerDigests::Publish(std::optional<FeedUpdate> news) {
  asio::co_spawn(socket_->get_executor(), SendNews(std::move(news)), asio::detached);
}

asio::awaitable<void> PeerDigests::SendNews(std::optional<FeedUpdate> news) {
  if (!news) {
    co_await Send(exchange_.Make(ReportScope::kDaemon, false, BootNow()), fleet_.groups.Group());
    co_return;
  }
  for (FeedUpdate& part : SplitFeedUpdate(std::move(*news), kMostChanges)) {
    const TimePoint now = BootNow();
    FleetReport report = exchange_.Make(ReportScope::kDaemon, false, now);
    report.news_age = now - part.as_of;
    report.news = std::move(part);
    co_await Send(report, fleet_.groups.Group());
  }
}

void PeerDigests::Forget(const DaemonId& daemon) {
  peers_.erase(daemon);
  fleet_.groups.Remove(daemon);
  exchange_.Forget(daemon);
}

void PeerDigests::Expire(TimePoint now) {
  const Duration lifetime =
      std::max(kPeerLifetime, FromSeconds(ToSeconds(RegisterInterval()) * kMissedRows));
  std::vector<DaemonId> gone;
  for (const auto& [daemon, peer] : peers_) {
    if (now - peer.seen > lifetime) {
      gone.push_back(daemon);
    }
  }
  for (const DaemonId& daemon : gone) {
    kLog.Info("A daemon is gone.", {{"daemon", daemon.value()}});
    Forget(daemon);
  }
  const int daemons = fleet_.groups.daemons();
  fleet_.retries.SetDaemons(daemons);
  fleet_.allowance.SetDaemons(daemons);
  const auto group = static_cast<int>(fleet_.groups.Group().size()) + 1;
  fleet_.digest_interval = std::max(kShortestInterval, kIntervalPerPeer * group);
  const Duration silence = std::max(kShortestSilence, kSilentIntervals * fleet_.digest_interval);
  fleet_.allowance.SetPeerSilenceTimeout(silence);
  fleet_.board.SetReportLifetime(silence);
  fleet_.groups.SetReportTimeout(silence);
  fleet_.peers_before = static_cast<int>(std::ranges::count_if(
      peers_, [this](const auto& peer) { return peer.first < fleet_.settings.daemon; }));
}

void PeerDigests::FollowRole(TimePoint now) {
  if (!grouped_ && fleet_.groups.grouped()) {
    grouped_ = true;
    kLog.Info("The fleet is grouped by failure domains.", {{"daemons", fleet_.groups.daemons()}});
    // Others speak for the daemons of the other domains from now on.
    for (const auto& [daemon, peer] : peers_) {
      if (!fleet_.groups.InGroup(daemon)) {
        exchange_.HandOver(daemon);
      }
    }
  }
  const bool representative = fleet_.groups.IsRepresentative(now);
  if (representative != representative_) {
    representative_ = representative;
    kLog.Info(representative ? "This daemon represents its failure domain."
                             : "This daemon no longer represents its failure domain.");
    exchange_.Forget(representative ? ReportScope::kBeyond : ReportScope::kDomain);
  }
}

asio::awaitable<void> PeerDigests::SendLoop() {
  while (true) {
    const TimePoint now = BootNow();
    Expire(now);
    FollowRole(now);
    fleet_.allowance.UpdateRates(now);
    const bool whole = now - whole_sent_ >= kWholeInterval;
    if (whole) {
      whole_sent_ = now;
    }
    const std::vector<DaemonId> group = fleet_.groups.Group();
    co_await Send(exchange_.Make(ReportScope::kDaemon, whole, now), group);
    if (representative_ && !fleet_.draining) {
      co_await Send(exchange_.Make(ReportScope::kDomain, whole, now),
                    fleet_.groups.Representatives(now));
      co_await Send(exchange_.Make(ReportScope::kBeyond, whole, now), group);
    }
    co_await Sleep(std::max(now + fleet_.digest_interval - BootNow(), kBurstPause));
  }
}

bool PeerDigests::IsUsed(const FleetReport& report, TimePoint now) const {
  const bool near = report.sender.failure_domain == fleet_.settings.failure_domain;
  switch (report.scope) {
    case ReportScope::kDaemon:
      return fleet_.groups.InGroup(report.sender.id);
    case ReportScope::kDomain:
      return !near && representative_ && fleet_.groups.Represents(report.sender.id, now);
    case ReportScope::kBeyond:
      return near && !representative_ && fleet_.groups.Represents(report.sender.id, now);
  }
  return false;
}

void PeerDigests::Take(const FleetReport& report, const udp::endpoint& from, TimePoint now) {
  const DaemonId& daemon = report.sender.id;
  fleet_.groups.AddDaemon(report.sender);
  if (report.leaving) {
    if (peers_.contains(daemon)) {
      kLog.Info("A daemon ends.", {{"daemon", daemon.value()}});
    }
    // Its last requests count; its place in the fleet is free.
    if (IsUsed(report, now)) {
      exchange_.Apply(report, now);
    }
    Forget(daemon);
    return;
  }
  Peer& peer = peers_[daemon];
  if (peer.endpoint != from) {
    kLog.Info("A daemon was found.",
              {{"daemon", daemon.value()}, {"address", from.address().to_string()}});
    peer.endpoint = from;
  }
  if (peer.incarnation != report.incarnation) {
    peer.incarnation = report.incarnation;
    // It knows nothing yet.
    whole_sent_ = {};
  }
  peer.seen = now;
  if (report.scope == ReportScope::kDaemon) {
    fleet_.groups.OnReport(daemon, now);
  } else {
    fleet_.groups.OnSummary(daemon, now);
  }
  if (!IsUsed(report, now)) {
    return;
  }
  exchange_.Apply(report, now);
  on_report_(report);
}

asio::awaitable<void> PeerDigests::ReceiveLoop() {
  std::string datagram(kLargestDatagram, '\0');
  Counter& bytes = fleet_.metrics.GetCounter("savoryglade_gateway_digest_bytes_total",
                                             {{"direction", "received"}});
  while (true) {
    udp::endpoint from;
    const auto [error, size] =
        co_await socket_->async_receive_from(asio::buffer(datagram), from, kAwait);
    if (error == asio::error::operation_aborted) {
      co_return;
    }
    if (error) {
      // A peer without a listener makes the socket report an error; the next datagram is fine.
      continue;
    }
    bytes.Add(size);
    const Result<FleetReport> report = DecodeDigest({datagram.data(), size});
    if (!report) {
      kLog.Warning("A datagram is no digest.", {{"from", from.address().to_string()},
                                                {"bytes", size},
                                                {"error", report.error().message}});
      continue;
    }
    if (report->sender.id != fleet_.settings.daemon) {
      Take(*report, from, BootNow());
    }
  }
}

void PeerDigests::TakeRow(const std::string& key, const provider::Row& row, TimePoint now) {
  const DaemonId daemon(key.substr(std::string_view(kRowPrefix).size()));
  if (daemon == fleet_.settings.daemon) {
    return;
  }
  const Result<DaemonRow> read = ParseRow(row.value);
  if (!read) {
    kLog.Warning("The row of a daemon can't be read.",
                 {{"key", key}, {"value", row.value}, {"error", read.error().message}});
    return;
  }
  boost::system::error_code error;
  const udp::endpoint address(asio::ip::make_address(read->endpoint.address, error),
                              read->endpoint.port);
  if (error) {
    kLog.Warning("The row of a daemon names no address.", {{"key", key}, {"value", row.value}});
    return;
  }
  const auto [found, is_new] = peers_.try_emplace(daemon, Peer{.endpoint = address});
  if (is_new || found->second.row_version != row.version) {
    found->second.row_version = row.version;
    found->second.seen = now;
  }
  fleet_.groups.AddDaemon(
      {.id = daemon, .failure_domain = read->failure_domain, .memory_bytes = read->memory_bytes});
}

Duration PeerDigests::RegisterInterval() const {
  return std::max(kRegisterInterval, kRegisterIntervalPerPeer * fleet_.groups.daemons());
}

asio::awaitable<void> PeerDigests::RegisterLoop() {
  const provider::Transaction registration = {
      .writes = {{.key = kRowPrefix + fleet_.settings.daemon.value(),
                  .value = PrintRow(fleet_.settings)}}};
  // Versions of rows that were there at the last read: an old row of a daemon that has gone must
  // not bring it back each time.
  std::map<std::string, std::uint64_t> read;
  TimePoint write_at = BootNow();
  TimePoint read_at = write_at;
  int reads = 0;
  while (true) {
    if (!fleet_.draining && BootNow() >= write_at) {
      const provider::CommitStatus status = co_await store_.Commit(registration);
      const bool written = status == provider::CommitStatus::kCommitted;
      write_at = BootNow() + (written ? RegisterInterval() : kRegisterRetry);
      if (!written) {
        kLog.Warning("This daemon's row can't be written.", {{"status", static_cast<int>(status)}});
      }
    }
    if (BootNow() >= read_at) {
      const auto rows = co_await store_.ReadRows(kRowPrefix);
      if (rows) {
        ++reads;
        for (const auto& [key, row] : *rows) {
          std::uint64_t& version = read[key];
          if (version != row.version) {
            version = row.version;
            TakeRow(key, row, BootNow());
          }
        }
      } else {
        kLog.Warning("The rows of the daemons can't be read.", {{"error", rows.error().message}});
      }
      read_at = BootNow() + (reads < kFirstReads ? kFirstReadInterval
                                                 : kReadsPerRegistration * RegisterInterval());
    }
    co_await Sleep(std::max(std::min(write_at, read_at) - BootNow(), kShortestInterval));
  }
}

}  // namespace savoryglade::gateway
