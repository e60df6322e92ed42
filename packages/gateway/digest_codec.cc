#include "gateway/digest_codec.h"

#include <fleet_generated.h>

#include <algorithm>
#include <map>
#include <utility>

#include "core/prefix_hash.h"

namespace savoryglade::gateway {
namespace {

// Windows before the current one whose counts are sent; they can still change or be reported.
constexpr capacity::WindowNumber kSentWindows = 2;
constexpr std::size_t kSentCrashes = 8;
constexpr int kLargestRunning = 65'535;

template <typename Id>
std::map<std::uint64_t, Id> ByHash(const std::vector<Id>& ids) {
  std::map<std::uint64_t, Id> result;
  for (const Id& id : ids) {
    result.emplace(StableHash(id.value()), id);
  }
  return result;
}

std::vector<AccountId> Accounts(const FleetState& fleet) {
  std::vector<AccountId> accounts;
  if (fleet.routes != nullptr) {
    for (const AccountPolicy& account : fleet.routes->document().accounts) {
      accounts.push_back(account.name);
    }
  }
  return accounts;
}

std::vector<ServiceId> Services(const FleetState& fleet) {
  std::vector<ServiceId> services;
  if (fleet.routes != nullptr) {
    for (const RoutedService& service : fleet.routes->document().services) {
      services.push_back(service.name);
    }
  }
  return services;
}

std::vector<UpstreamId> Upstreams(const FleetState& fleet) {
  std::vector<UpstreamId> upstreams;
  for (const UpstreamRecord& record : fleet.board.Records()) {
    upstreams.push_back(record.id);
  }
  return upstreams;
}

void AddBegun(const FleetState& fleet, TimePoint now, wire::FleetDigestT& digest) {
  if (fleet.settings.bounds.usage_window == Duration::zero()) {
    return;
  }
  const capacity::WindowNumber current = fleet.WindowAt(now);
  for (const auto& [window, counts] : fleet.usage.own()) {
    if (window + kSentWindows < current) {
      continue;
    }
    for (const auto& [account, count] : counts) {
      digest.begun.emplace_back(window, StableHash(account.value()), count);
    }
  }
}

void ApplyLoads(const wire::FleetDigestT& digest, const DaemonId& daemon, FleetState& fleet,
                TimePoint now) {
  const auto upstreams = ByHash(Upstreams(fleet));
  std::map<UpstreamId, UpstreamLoad> loads;
  for (const wire::UpstreamLoadItem& item : digest.loads) {
    const auto found = upstreams.find(item.upstream());
    if (found != upstreams.end()) {
      loads.emplace(found->second, UpstreamLoad{.running = item.running(),
                                                .waiting_tokens = item.waiting_tokens(),
                                                .suspect = item.suspect()});
    }
  }
  fleet.board.OnPeerLoad(daemon, std::move(loads), now);
}

}  // namespace

std::string EncodeDigest(FleetState& fleet, TimePoint now) {
  wire::FleetDigestT digest;
  digest.daemon = fleet.settings.daemon.value();
  digest.incarnation = fleet.incarnation;
  digest.failure_domain = fleet.settings.failure_domain.value();
  digest.time_of_day_ms = fleet.clock.OwnTime(now) / 1ms;
  digest.leaving = fleet.draining;
  digest.holds_duties = fleet.holds_duties;
  for (const auto& [id, load] : fleet.board.OwnLoad(now)) {
    digest.loads.emplace_back(StableHash(id.value()), static_cast<float>(load.waiting_tokens),
                              static_cast<std::uint16_t>(std::min(load.running, kLargestRunning)),
                              load.suspect);
  }
  for (const auto& [account, use] : fleet.allowance.OwnUse(now)) {
    digest.allowances.emplace_back(StableHash(account.value()), use.asked, use.taken, use.level);
  }
  AddBegun(fleet, now, digest);
  for (const auto& [service, seconds] : fleet.work.own()) {
    digest.work.emplace_back(StableHash(service.value()), seconds);
  }
  for (const CrashRecord& record : fleet.crashes.Records(kSentCrashes, now)) {
    auto item = std::make_unique<wire::CrashItemT>();
    item->request = record.request;
    item->upstreams = record.upstreams;
    digest.crashes.push_back(std::move(item));
  }
  flatbuffers::FlatBufferBuilder builder;
  builder.Finish(wire::FleetDigest::Pack(builder, &digest));
  return {reinterpret_cast<const char*>(builder.GetBufferPointer()), builder.GetSize()};
}

Result<DigestSender> ApplyDigest(std::string_view datagram, FleetState& fleet, TimePoint now) {
  flatbuffers::Verifier verifier(reinterpret_cast<const std::uint8_t*>(datagram.data()),
                                 datagram.size());
  if (!verifier.VerifyBuffer<wire::FleetDigest>(nullptr)) {
    return tl::make_unexpected(
        Error{.code = ErrorCode::kInvalid, .message = "The datagram is not a digest."});
  }
  wire::FleetDigestT digest;
  wire::GetFleetDigest(datagram.data())->UnPackTo(&digest);
  DigestSender sender{.daemon = DaemonId(digest.daemon),
                      .incarnation = digest.incarnation,
                      .failure_domain = FailureDomainId(digest.failure_domain),
                      .leaving = digest.leaving};
  if (sender.daemon == fleet.settings.daemon) {
    return sender;
  }
  ApplyLoads(digest, sender.daemon, fleet, now);
  if (digest.holds_duties) {
    fleet.holder_heard = now;
  }
  fleet.clock.OnPeerTime(sender.daemon, digest.time_of_day_ms * 1ms, now);
  const auto accounts = ByHash(Accounts(fleet));
  std::map<AccountId, AllowanceUse> use;
  for (const wire::AllowanceItem& item : digest.allowances) {
    const auto found = accounts.find(item.account());
    if (found != accounts.end()) {
      use.emplace(
          found->second,
          AllowanceUse{.asked = item.asked(), .taken = item.taken(), .level = item.level()});
    }
  }
  fleet.allowance.OnPeerUse(sender.daemon, sender.incarnation, use, now);
  std::map<capacity::WindowNumber, capacity::WindowCounts> begun;
  for (const wire::BegunItem& item : digest.begun) {
    const auto found = accounts.find(item.account());
    if (found != accounts.end()) {
      begun[item.window()][found->second] = item.count();
    }
  }
  for (auto& [window, counts] : begun) {
    fleet.usage.OnPeerCounts(sender.daemon, sender.incarnation, window, std::move(counts));
  }
  const auto services = ByHash(Services(fleet));
  std::map<ServiceId, double> work;
  for (const wire::WorkItem& item : digest.work) {
    const auto found = services.find(item.service());
    if (found != services.end()) {
      work.emplace(found->second, item.seconds());
    }
  }
  fleet.work.OnPeerWork(sender.daemon, sender.incarnation, std::move(work));
  for (const auto& crash : digest.crashes) {
    fleet.crashes.OnPeerRecord(
        CrashRecord{.request = crash->request, .upstreams = crash->upstreams}, now);
  }
  return sender;
}

}  // namespace savoryglade::gateway
