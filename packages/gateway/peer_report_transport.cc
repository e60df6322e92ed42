#include "gateway/peer_report_transport.h"

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

// Time between two reports: the minimum, or the time per group member if that is longer, so that a
// daemon in a large group handles about as many datagrams as one in a small group.
constexpr Duration kMinDigestInterval = 150ms;
constexpr Duration kDigestIntervalPerPeer = 12ms;
// Time between two full reports, which include the values that change slowly.
constexpr Duration kFullReportInterval = 1s;
// Datagrams sent in one burst, and the pause after it, so that reports do not delay responses on a
// slow link.
constexpr std::size_t kDatagramsPerBurst = 4;
constexpr Duration kBurstPause = 4ms;
// Time between two writes of this daemon's row: the minimum, or the time per daemon of the fleet if
// that is longer.
constexpr Duration kMinRegisterInterval = 10s;
constexpr Duration kRegisterIntervalPerPeer = 400ms;
// Delay before a failed write of the row is retried.
constexpr Duration kRegisterRetryDelay = 2s;
// A peer is removed once it has neither sent a report nor updated its row for at least this long.
constexpr Duration kPeerLifetime = 30s;
// Writes of its row that a peer may miss before it is removed.
constexpr double kMaxMissedRegistrations = 2.5;
// A daemon that reads the rows after its own was written knows all that were written earlier. The
// second read finds the daemons of other groups that started at the same time; daemons that start
// later announce themselves with their reports.
constexpr int kStartupRowReads = 2;
constexpr Duration kStartupReadInterval = 2s;
// Read interval of the rows after startup, as a multiple of the write interval.
constexpr int kReadsPerRegistration = 2;
// Intervals after which a report has reached all failure domains: a daemon's, the representative's
// to the other domains, and theirs to their groups.
constexpr int kGroupedReportIntervals = 3;
// Longest time from the admission of a request until an upstream begins to run it, as long as it
// may wait in the admission queue for an objective of one second.
constexpr Duration kAdmissionToStart = 400ms;
constexpr Duration kMinPropagationDelay = 700ms;
// A source counts as silent after this many report intervals, or after the minimum timeout if that
// is longer.
constexpr int kSilenceDigestIntervals = 4;
constexpr Duration kMinSilenceTimeout = 1s;
// Upstreams that a daemon of a grouped fleet compares for each choice. Its reports are as old as a
// request, so that all daemons would choose the same upstream if each compared all.
constexpr int kGroupedCandidates = 2;
constexpr std::size_t kMaxDatagramBytes = 60'000;
// Registration changes in one datagram, at about 150 bytes each.
constexpr std::size_t kMaxChangesPerDatagram = 200;
constexpr const char* kRowPrefix = "daemon/";

const Logger kLog("peers");

// Content of a daemon's row in the store.
struct DaemonRow {
  Endpoint endpoint;
  FailureDomainId failure_domain;
  std::uint64_t memory_bytes = 0;
};

std::string SerializeRow(const GatewaySettings& settings) {
  return json::serialize(json::object{{"endpoint", ToString(settings.peers)},
                                      {"failure_domain", settings.failure_domain.value()},
                                      {"memory_bytes", settings.memory_bytes}});
}

Result<DaemonRow> ParseRow(const std::string& text) {
  const auto invalid = [](const std::string& detail) {
    return tl::make_unexpected(Error{.code = ErrorCode::kInvalid, .message = detail});
  };
  boost::system::error_code error;
  const json::value value = json::parse(text, error);
  const json::object* object = error ? nullptr : value.if_object();
  const json::value* endpoint = object == nullptr ? nullptr : object->if_contains("endpoint");
  const json::value* domain = object == nullptr ? nullptr : object->if_contains("failure_domain");
  const json::value* memory = object == nullptr ? nullptr : object->if_contains("memory_bytes");
  if (endpoint == nullptr || !endpoint->is_string() || domain == nullptr || !domain->is_string() ||
      memory == nullptr || !memory->is_number()) {
    return invalid("The row lacks a valid endpoint, failure_domain or memory_bytes.");
  }
  const Result<Endpoint> parsed = ParseEndpoint(std::string(endpoint->get_string()));
  if (!parsed) {
    return tl::make_unexpected(parsed.error());
  }
  DaemonRow row{.endpoint = *parsed,
                .failure_domain = FailureDomainId(std::string(domain->get_string())),
                .memory_bytes = memory->to_number<std::uint64_t>(error)};
  if (error) {
    return invalid("The row's memory_bytes is not an unsigned integer.");
  }
  return row;
}

}  // namespace

PeerReportTransport::PeerReportTransport(FleetState& fleet, FleetStore& store,
                                         ReportCallback on_report,
                                         PeerReturnedCallback on_peer_returned)
    : fleet_(fleet),
      store_(store),
      exchange_(fleet),
      on_report_(std::move(on_report)),
      on_peer_returned_(std::move(on_peer_returned)) {}

Result<void> PeerReportTransport::Open(asio::io_context& context) {
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
    return tl::make_unexpected(
        Error{.code = ErrorCode::kUnavailable,
              .message = fmt::format("Can't bind the UDP socket for digests at {}: {}.",
                                     ToString(endpoint), error.message())});
  }
  socket_->non_blocking(true, error);
  // Port 0 lets the system choose one.
  fleet_.settings.peers.port = socket_->local_endpoint().port();
  return {};
}

bool PeerReportTransport::SendDatagram(const std::string& datagram, const DaemonId& receiver) {
  const auto peer = peers_.find(receiver);
  if (peer == peers_.end()) {
    return false;
  }
  boost::system::error_code error;
  socket_->send_to(asio::buffer(datagram), peer->second.endpoint, 0, error);
  if (error) {
    kLog.Warning("Sending a digest failed.",
                 {{"daemon", receiver.value()}, {"error", error.message()}});
  }
  return !error;
}

asio::awaitable<void> PeerReportTransport::Send(const FleetReport& report,
                                                std::vector<DaemonId> receivers) {
  const std::string datagram = EncodeDigest(report);
  if (datagram.size() > kMaxDatagramBytes) {
    kLog.Error("A digest exceeds the maximum datagram size; it is not sent.",
               {{"bytes", datagram.size()}});
    co_return;
  }
  Counter& bytes =
      fleet_.metrics.GetCounter("savoryglade_gateway_digest_bytes_total", {{"direction", "sent"}});
  for (std::size_t i = 0; i < receivers.size(); ++i) {
    if (i > 0 && i % kDatagramsPerBurst == 0) {
      co_await Sleep(kBurstPause);
    }
    if (SendDatagram(datagram, receivers[i])) {
      bytes.Add(datagram.size());
    }
  }
}

void PeerReportTransport::Publish(std::optional<FeedUpdate> feed_update) {
  asio::co_spawn(socket_->get_executor(), SendFeedUpdate(std::move(feed_update)), asio::detached);
}

asio::awaitable<void> PeerReportTransport::SendFeedUpdate(std::optional<FeedUpdate> feed_update) {
  if (!feed_update) {
    co_await Send(exchange_.BuildReport(ReportScope::kDaemon, false, BootNow()),
                  fleet_.groups.Group());
    co_return;
  }
  for (FeedUpdate& part : SplitFeedUpdate(std::move(*feed_update), kMaxChangesPerDatagram)) {
    const TimePoint now = BootNow();
    FleetReport report = exchange_.BuildReport(ReportScope::kDaemon, false, now);
    report.feed_update_age = now - part.as_of;
    report.feed_update = std::move(part);
    co_await Send(report, fleet_.groups.Group());
  }
}

void PeerReportTransport::ForgetPeer(const DaemonId& daemon) {
  peers_.erase(daemon);
  report_delay_.Remove(daemon);
  fleet_.peer_requests.erase(daemon);
  fleet_.groups.Remove(daemon);
}

void PeerReportTransport::RemovePeer(const DaemonId& daemon) {
  ForgetPeer(daemon);
  exchange_.RemoveDaemon(daemon);
}

Duration PeerReportTransport::SilenceTimeout() const {
  return std::max(kMinSilenceTimeout, kSilenceDigestIntervals * fleet_.digest_interval);
}

void PeerReportTransport::ExpirePeers(TimePoint now) {
  const Duration lifetime =
      std::max(kPeerLifetime, FromSeconds(ToSeconds(RegisterInterval()) * kMaxMissedRegistrations));
  std::vector<DaemonId> expired;
  for (const auto& [daemon, peer] : peers_) {
    if (now - peer.last_seen > lifetime) {
      expired.push_back(daemon);
    }
  }
  for (const DaemonId& daemon : expired) {
    kLog.Info("Removed a peer that stopped reporting.", {{"daemon", daemon.value()}});
    RemovePeer(daemon);
  }
  const int daemons = fleet_.groups.daemons();
  fleet_.retry_budget.SetDaemonCount(daemons, now);
  fleet_.rate_limiter.SetDaemonCount(daemons);
  fleet_.load_balancer.SetDaemonCount(daemons);
  fleet_.rollouts.SetDaemonCount(daemons);
  const auto group = static_cast<int>(fleet_.groups.Group().size()) + 1;
  fleet_.digest_interval = std::max(kMinDigestInterval, kDigestIntervalPerPeer * group);
  const int report_intervals = fleet_.groups.grouped() ? kGroupedReportIntervals : 1;
  fleet_.rate_limiter.SetPropagationDelay(std::max(
      kMinPropagationDelay, report_intervals * fleet_.digest_interval + kAdmissionToStart));
  const Duration silence = SilenceTimeout();
  fleet_.rate_limiter.SetPeerSilenceTimeout(silence);
  fleet_.load_balancer.SetReportLifetime(silence);
  fleet_.groups.SetReportTimeout(silence);
  fleet_.route_sources.SetReportLifetime(silence);
  fleet_.lower_id_peers = static_cast<int>(std::ranges::count_if(
      peers_, [this](const auto& peer) { return peer.first < fleet_.settings.daemon; }));
}

void PeerReportTransport::UpdateRole(TimePoint now) {
  if (!grouped_ && fleet_.groups.grouped()) {
    grouped_ = true;
    fleet_.load_balancer.SetRandomCandidates(kGroupedCandidates);
    kLog.Info("The fleet is now grouped by failure domain.",
              {{"daemons", fleet_.groups.daemons()}});
    // Reports on the other failure domains now include their daemons.
    for (const auto& [daemon, peer] : peers_) {
      if (!fleet_.groups.InGroup(daemon)) {
        exchange_.DropDaemonReports(daemon);
      }
    }
  }
  const bool representative = fleet_.groups.IsRepresentative(now);
  if (representative != representative_) {
    representative_ = representative;
    kLog.Info(representative
                  ? "This daemon became the representative of its failure domain."
                  : "This daemon is no longer the representative of its failure domain.");
    exchange_.DropScope(representative ? ReportScope::kBeyond : ReportScope::kDomain);
  }
}

void PeerReportTransport::UpdateRateLimitPeers(TimePoint now) {
  RateLimitPeers peers{.self = fleet_.settings.daemon,
                       .failure_domain = fleet_.settings.failure_domain,
                       .live = fleet_.groups.LiveGroup(now),
                       .domains = {}};
  // The other daemons no longer count a daemon that shuts down.
  if (!fleet_.drain.has_begun()) {
    peers.live.push_back(peers.self);
  }
  if (fleet_.groups.grouped()) {
    peers.domains = fleet_.groups.Domains();
  }
  fleet_.load_balancer.signals().rate_limits().SetPeers(std::move(peers));
}

asio::awaitable<void> PeerReportTransport::SendLoop() {
  while (true) {
    const TimePoint now = BootNow();
    ExpirePeers(now);
    UpdateRole(now);
    UpdateRateLimitPeers(now);
    fleet_.rate_limiter.UpdateRates(now);
    const bool full = now - full_report_sent_at_ >= kFullReportInterval;
    if (full) {
      full_report_sent_at_ = now;
    }
    const std::vector<DaemonId> group = fleet_.groups.Group();
    co_await Send(exchange_.BuildReport(ReportScope::kDaemon, full, now), group);
    if (representative_ && !fleet_.drain.has_begun()) {
      co_await Send(exchange_.BuildReport(ReportScope::kDomain, full, now),
                    fleet_.groups.Representatives(now));
      co_await Send(exchange_.BuildReport(ReportScope::kBeyond, full, now), group);
    }
    co_await Sleep(std::max(now + fleet_.digest_interval - BootNow(), kBurstPause));
  }
}

bool PeerReportTransport::IsRelevant(const FleetReport& report, TimePoint now) const {
  const bool same_domain = report.sender.failure_domain == fleet_.settings.failure_domain;
  switch (report.scope) {
    case ReportScope::kDaemon:
      return fleet_.groups.InGroup(report.sender.id);
    case ReportScope::kDomain:
      return !same_domain && representative_ && fleet_.groups.Represents(report.sender.id, now);
    case ReportScope::kBeyond:
      return same_domain && !representative_ && fleet_.groups.Represents(report.sender.id, now);
  }
  return false;
}

void PeerReportTransport::HandleReport(const FleetReport& report, const udp::endpoint& from,
                                       TimePoint now) {
  const DaemonId& daemon = report.sender.id;
  fleet_.groups.AddDaemon(report.sender);
  if (report.leaving) {
    if (peers_.contains(daemon)) {
      kLog.Info("A peer is shutting down.", {{"daemon", daemon.value()}});
    }
    // Its usage is counted until its reports end, because it serves requests until it stops.
    if (IsRelevant(report, now)) {
      exchange_.Apply(report, now);
    }
    ForgetPeer(daemon);
    return;
  }
  Peer& peer = peers_[daemon];
  const bool restarted = peer.incarnation != report.incarnation;
  if (peer.endpoint != from) {
    kLog.Info("Discovered a peer or its new address.",
              {{"daemon", daemon.value()}, {"address", from.address().to_string()}});
    peer.endpoint = from;
  }
  if (restarted) {
    peer.incarnation = report.incarnation;
    // The peer has restarted without state, so the next report is a full one.
    full_report_sent_at_ = {};
  }
  peer.last_seen = now;
  if (report.scope == ReportScope::kDaemon) {
    fleet_.groups.OnReport(daemon, now);
  } else {
    fleet_.groups.OnSummary(daemon, now);
  }
  if (!IsRelevant(report, now)) {
    return;
  }
  const Endpoint requests{.address = from.address().to_string(), .port = report.requests_port};
  if (report.requests_port != 0) {
    fleet_.peer_requests[daemon] = requests;
  }
  if (report.requests_port != 0 && report.scope == ReportScope::kDaemon) {
    if (restarted || now - peer.last_report > SilenceTimeout()) {
      on_peer_returned_(requests);
    }
    peer.last_report = now;
  }
  exchange_.Apply(report, now);
  on_report_(report);
}

asio::awaitable<void> PeerReportTransport::ReceiveLoop() {
  std::string datagram(kMaxDatagramBytes, '\0');
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
      // A datagram to a peer that does not listen makes the socket report an error once.
      continue;
    }
    bytes.Add(size);
    Result<FleetReport> report = DecodeDigest({datagram.data(), size});
    if (!report) {
      kLog.Warning("Dropped a datagram that is not a valid digest.",
                   {{"from", from.address().to_string()},
                    {"bytes", size},
                    {"error", report.error().message}});
      continue;
    }
    if (report->sender.id != fleet_.settings.daemon) {
      const TimePoint now = BootNow();
      report->AddDelay(
          report_delay_.OnReport(report->sender.id, report->incarnation, report->time_of_day, now));
      HandleReport(*report, from, now);
    }
  }
}

void PeerReportTransport::HandlePeerRow(const std::string& key, const provider::Row& row,
                                        TimePoint now) {
  const DaemonId daemon(key.substr(std::string_view(kRowPrefix).size()));
  if (daemon == fleet_.settings.daemon) {
    return;
  }
  const Result<DaemonRow> read = ParseRow(row.value);
  if (!read) {
    kLog.Warning("Ignored a malformed daemon row.",
                 {{"key", key}, {"value", row.value}, {"error", read.error().message}});
    return;
  }
  boost::system::error_code error;
  const udp::endpoint address(asio::ip::make_address(read->endpoint.address, error),
                              read->endpoint.port);
  if (error) {
    kLog.Warning("Ignored a daemon row without a valid IP address.",
                 {{"key", key}, {"value", row.value}});
    return;
  }
  const auto [found, is_new] = peers_.try_emplace(daemon, Peer{.endpoint = address});
  if (is_new || found->second.row_version != row.version) {
    found->second.row_version = row.version;
    found->second.last_seen = now;
  }
  // Reports of the daemon name the port if it differs.
  fleet_.peer_requests.try_emplace(daemon, read->endpoint);
  fleet_.groups.AddDaemon(
      {.id = daemon, .failure_domain = read->failure_domain, .memory_bytes = read->memory_bytes});
}

Duration PeerReportTransport::RegisterInterval() const {
  return std::max(kMinRegisterInterval, kRegisterIntervalPerPeer * fleet_.groups.daemons());
}

asio::awaitable<void> PeerReportTransport::RegisterLoop() {
  const provider::Transaction registration = {
      .writes = {{.key = kRowPrefix + fleet_.settings.daemon.value(),
                  .value = SerializeRow(fleet_.settings)}}};
  // Row versions at the last read. An unchanged row of a removed daemon must not add it again.
  std::map<std::string, std::uint64_t> read;
  TimePoint write_at = BootNow();
  TimePoint read_at = write_at;
  bool is_registered = false;
  // Reads since this daemon's row was written.
  int reads = 0;
  while (true) {
    if (!fleet_.drain.has_begun() && BootNow() >= write_at) {
      const provider::CommitStatus status = co_await store_.Commit(registration);
      const bool written = status == provider::CommitStatus::kCommitted;
      is_registered = is_registered || written;
      write_at = BootNow() + (written ? RegisterInterval() : kRegisterRetryDelay);
      if (!written) {
        kLog.Warning("Writing this daemon's row failed; retrying.",
                     {{"status", static_cast<int>(status)}});
      }
    }
    if (BootNow() >= read_at) {
      const auto rows = co_await store_.ReadRows(kRowPrefix);
      if (rows) {
        reads += is_registered ? 1 : 0;
        for (const auto& [key, row] : *rows) {
          std::uint64_t& version = read[key];
          if (version != row.version) {
            version = row.version;
            HandlePeerRow(key, row, BootNow());
          }
        }
      } else {
        kLog.Warning("Reading the daemons' rows failed; retrying.",
                     {{"error", rows.error().message}});
      }
      read_at = BootNow() + (reads < kStartupRowReads ? kStartupReadInterval
                                                      : kReadsPerRegistration * RegisterInterval());
    }
    co_await Sleep(std::max(std::min(write_at, read_at) - BootNow(), kMinDigestInterval));
  }
}

}  // namespace savoryglade::gateway
