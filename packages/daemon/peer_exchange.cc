#include "daemon/peer_exchange.h"

#include <algorithm>
#include <boost/asio.hpp>
#include <chrono>
#include <cstdint>
#include <set>
#include <utility>

#include "daemon/claim_row_codec.h"
#include "logging/logger.h"
#include "net/log_exception.h"

namespace savoryglade {
namespace {

namespace asio = boost::asio;

// See section 6 of the design page.
constexpr Duration kUsageInterval = 500ms;
constexpr int kIntervalsPerDomainUsage = 4;
// See section 4 of the design page: 50 ms with 4 failure domains, which limits the fleet to 80
// claim transactions per second.
constexpr Duration kCommitIntervalPerDomain = 12500us;

// Bound of decoded ages, so that sums of malformed ones do not overflow.
constexpr std::uint64_t kMaxAgeMs = 24ULL * 3600 * 1000;

const Logger kLog("peers");

wire::MessageT ToMessage(const UsageSummary& summary) {
  wire::UsageSummaryT message;
  message.failure_domain = summary.domain.value();
  message.incarnation = summary.incarnation;
  message.sequence = summary.sequence;
  message.daemons = summary.daemons;
  message.complete = summary.complete;
  for (const AccountUsage& usage : summary.accounts) {
    message.accounts.emplace_back(usage.key, usage.served_ms, usage.waiting, usage.running);
  }
  return wire::MakeMessage(std::move(message));
}

UsageSummary FromMessage(const wire::UsageSummaryT& message) {
  UsageSummary summary{
      .scope = message.failure_domain.empty() ? UsageScope::kDaemon : UsageScope::kDomain,
      .domain = FailureDomainId(message.failure_domain),
      .incarnation = message.incarnation,
      .sequence = message.sequence,
      .daemons = message.daemons,
      .complete = message.complete};
  for (const wire::AccountUsage& usage : message.accounts) {
    summary.accounts.push_back({.key = usage.key(),
                                .served_ms = usage.served_ms(),
                                .waiting = usage.waiting(),
                                .running = usage.running()});
  }
  return summary;
}

}  // namespace

PeerExchange::PeerExchange(asio::io_context& context, PeerNetwork& network, Dispatcher& dispatcher,
                           std::shared_ptr<ClaimService> claims, CrashGuard& crashes,
                           FailureDomainId failure_domain)
    : context_(context),
      network_(network),
      dispatcher_(dispatcher),
      claims_(std::move(claims)),
      crashes_(crashes),
      failure_domain_(std::move(failure_domain)) {}

void PeerExchange::Start() {
  if (claims_) {
    claims_->SetPeerTransport(
        {.send_query = [this](const ClaimQuery& query) { return SendClaimQuery(query); },
         .send_reply = [this](const ClaimReply& reply) { SendClaimReply(reply); }});
  }
  asio::co_spawn(context_, UsageLoop(), LogException("usage reports"));
}

asio::awaitable<void> PeerExchange::UsageLoop() {
  network_.SetMessageHandler([this](const DaemonId& from, const wire::MessageT& message) {
    HandleMessage(from, message);
  });
  network_.SetMemberChangeHandler([this](const membership::MemberChange& change) {
    if (claims_ && change.member.state == membership::MemberState::kDead) {
      claims_->OnDaemonDead(change.member.daemon);
    }
  });
  asio::steady_timer timer(context_);
  for (int interval = 1;; ++interval) {
    timer.expires_after(kUsageInterval);
    co_await timer.async_wait(asio::use_awaitable);
    SendDaemonUsage();
    SendCrashRecords();
    if (interval % kIntervalsPerDomainUsage == 0) {
      SendDomainUsage();
    }
  }
}

// Each daemon commits independently, so its interval is that of its failure domain multiplied by
// the number of daemons there.
void PeerExchange::SetCommitInterval() {
  std::set<FailureDomainId> domains;
  for (const membership::Member& member : network_.membership().Members()) {
    domains.insert(member.failure_domain);
  }
  const auto daemons = static_cast<std::int64_t>(network_.membership().CountLiveInDomain());
  claims_->SetCommitInterval(kCommitIntervalPerDomain * static_cast<std::int64_t>(domains.size()) *
                             daemons);
}

void PeerExchange::SendDaemonUsage() {
  if (claims_) {
    SetCommitInterval();
  }
  dispatcher_.UpdateLiveDaemonCount(network_.membership().CountLiveInDomain());
  const UsageSummary summary = dispatcher_.BuildDaemonSummary();
  if (summary.accounts.empty()) {
    return;
  }
  const wire::MessageT message = ToMessage(summary);
  for (const membership::Member& member : network_.membership().Members()) {
    if (member.failure_domain == failure_domain_ &&
        member.daemon != network_.membership().daemon() &&
        member.state == membership::MemberState::kAlive) {
      network_.Send(member.daemon, message);
    }
  }
}

void PeerExchange::SendDomainUsage() {
  if (!network_.membership().is_representative()) {
    return;
  }
  const UsageSummary summary = dispatcher_.DomainSummary(failure_domain_);
  if (summary.accounts.empty()) {
    return;
  }
  const wire::MessageT message = ToMessage(summary);
  for (const membership::Member& member : network_.membership().Members()) {
    const auto representative = network_.membership().Representative(member.failure_domain);
    if (member.failure_domain != failure_domain_ && representative == member.daemon) {
      network_.Send(member.daemon, message);
    }
  }
}

void PeerExchange::SendCrashRecords() {
  const TimePoint now = std::chrono::steady_clock::now();
  for (const CrashSubject subject : {CrashSubject::kRequest, CrashSubject::kPath}) {
    for (const CrashRecord& record : crashes_.SelectForReport(subject, now)) {
      wire::CrashMarkT mark;
      mark.is_path = subject == CrashSubject::kPath;
      mark.hash = record.request;
      for (const UpstreamLoss& loss : record.losses) {
        mark.losses.emplace_back(loss.upstream, static_cast<std::uint64_t>(loss.age / 1ms));
      }
      mark.answer_age_ms = record.answer_age ? *record.answer_age / 1ms : -1;
      const wire::MessageT message = wire::MakeMessage(std::move(mark));
      for (const membership::Member& member : network_.membership().Members()) {
        if (member.daemon != network_.membership().daemon() &&
            member.state == membership::MemberState::kAlive) {
          network_.Send(member.daemon, message);
        }
      }
    }
  }
}

void PeerExchange::OnCrashMark(const wire::CrashMarkT& message) {
  CrashRecord record{.request = message.hash};
  const auto age = [](std::uint64_t ms) {
    return static_cast<std::int64_t>(std::min(ms, kMaxAgeMs)) * Duration(1ms);
  };
  for (const wire::CrashLoss& loss : message.losses) {
    record.losses.push_back({.upstream = loss.upstream(), .age = age(loss.age_ms())});
  }
  if (message.answer_age_ms >= 0) {
    record.answer_age = age(static_cast<std::uint64_t>(message.answer_age_ms));
  }
  crashes_.OnPeerRecord(message.is_path ? CrashSubject::kPath : CrashSubject::kRequest, record,
                        std::chrono::steady_clock::now());
}

void PeerExchange::HandleMessage(const DaemonId& from, const wire::MessageT& message) {
  switch (message.body.type) {
    case wire::Body_UsageSummary:
      OnUsageSummary(from, *message.body.AsUsageSummary());
      break;
    case wire::Body_CrashMark:
      OnCrashMark(*message.body.AsCrashMark());
      break;
    case wire::Body_ClaimQuery:
      OnClaimQuery(from, *message.body.AsClaimQuery());
      break;
    case wire::Body_ClaimReply:
      OnClaimReply(*message.body.AsClaimReply());
      break;
    default:
      break;
  }
}

void PeerExchange::OnUsageSummary(const DaemonId& from, const wire::UsageSummaryT& message) {
  const UsageSummary summary = FromMessage(message);
  dispatcher_.Merge(from, summary);
  // Only representatives receive the totals of other failure domains, so they forward them within
  // their own.
  const auto sender = network_.membership().Find(from);
  const bool from_other_domain = sender && sender->failure_domain != failure_domain_;
  if (summary.scope != UsageScope::kDomain || !from_other_domain) {
    return;
  }
  for (const membership::Member& member : network_.membership().Members()) {
    if (member.failure_domain == failure_domain_ &&
        member.daemon != network_.membership().daemon()) {
      network_.Send(member.daemon, wire::MakeMessage(message));
    }
  }
}

void PeerExchange::OnClaimQuery(const DaemonId& from, const wire::ClaimQueryT& message) {
  const Result<ClaimKey> key = ParseClaimKey(message.claim);
  const Result<ClaimToken> token = ParseClaimToken(message.token);
  if (!claims_ || !key || !token) {
    kLog.Warning("Ignored a claim query: it is malformed or there is no claim service.",
                 {{"from", from.value()}});
    return;
  }
  claims_->OnQuery({.id = message.query, .requester = from, .key = *key, .token = *token});
}

void PeerExchange::OnClaimReply(const wire::ClaimReplyT& message) {
  const Result<ClaimKey> key = ParseClaimKey(message.claim);
  const Result<ClaimToken> token = ParseClaimToken(message.token);
  if (!claims_ || !key || !token || message.kind > wire::ClaimReplyKind_MAX) {
    return;
  }
  ClaimReply reply{.id = message.query,
                   .requester = network_.membership().daemon(),
                   .key = *key,
                   .token = *token,
                   .kind = static_cast<ClaimReplyKind>(message.kind)};
  if (reply.kind == ClaimReplyKind::kDone) {
    const Result<ClaimRow> row = ParseClaimRow(message.row);
    if (!row) {
      return;
    }
    reply.answer = row->answer;
  }
  claims_->OnReply(reply);
}

bool PeerExchange::SendClaimQuery(const ClaimQuery& query) {
  wire::ClaimQueryT message;
  message.query = query.id;
  message.claim = FormatClaimKey(query.key);
  message.token = FormatClaimToken(query.token);
  return network_.Send(query.token.owner.daemon, wire::MakeMessage(std::move(message)));
}

void PeerExchange::SendClaimReply(const ClaimReply& reply) {
  wire::ClaimReplyT message;
  message.query = reply.id;
  message.claim = FormatClaimKey(reply.key);
  message.token = FormatClaimToken(reply.token);
  message.kind = static_cast<wire::ClaimReplyKind>(reply.kind);
  if (reply.kind == ClaimReplyKind::kDone) {
    message.row =
        FormatClaimRow({.token = reply.token, .state = ClaimState::kDone, .answer = reply.answer});
  }
  network_.Send(reply.requester, wire::MakeMessage(std::move(message)));
}

}  // namespace savoryglade
