#pragma once

#include <algorithm>
#include <array>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <unordered_set>
#include <utility>
#include <variant>
#include <vector>

#include "recovery/claim_ledger.h"
#include "tests/recovery/claim_fakes.h"

namespace savoryglade {

enum class ClaimMessageKind {
  kWrite,
  kWriteResult,
  kRead,
  kReadResult,
  kQuery,
  kReply,
  kReady,
  kRequest,
  kAnswer,
  kReportedNotRun,
  kLost
};

// Message in flight. `generation` identifies the process it is addressed to; queries and replies
// between daemons reach the current process.
struct ClaimMessage {
  ClaimMessageKind kind = ClaimMessageKind::kWrite;
  int process = 0;
  int generation = 0;
  std::uint64_t identity = 0;
  std::uint64_t id = 0;
  ClaimWrite write;
  TableStatus status = TableStatus::kCommitted;
  std::optional<ClaimRow> row;
  ClaimQuery query;
  ClaimReply reply;
  ClaimSubmissionId submission_id = 0;
};

inline std::uint64_t MixHash(std::uint64_t hash, std::uint64_t value) {
  return (hash ^ (value + 0x9e3779b97f4a7c15ULL + (hash << 6) + (hash >> 2))) *
         0xff51afd7ed558ccdULL;
}

struct ClaimModelCheckerOptions {
  bool use_nonce = true;
  bool mark_resends = true;
  int faults = 2;
  int time_steps = 2;
  int depth = 0;
};

inline ClaimLedger NewTestLedger(int process, std::uint64_t nonce) {
  const std::array<const char*, 2> names = {"a", "b"};
  return ClaimLedger({DaemonId(names[process]), 1, nonce}, {});
}

// State of two daemons, the table and the upstream around one request: submission 1 is sent to
// daemon a, submission 2 to daemon b. Every step is one input to one of them, so `inputs` (a hash
// of the ordered inputs of each) and the messages in flight determine the state.
struct ClaimModelState {
  std::array<ClaimLedger, 2> ledgers = {NewTestLedger(0, 1), NewTestLedger(1, 2)};
  std::array<int, 2> generations = {0, 0};
  std::array<int, 2> ticks_due = {0, 0};
  std::array<std::uint64_t, 4> inputs = {1, 2, 3, 4};
  FakeClaimTable table;
  // Shared pointers, because every step copies the state.
  std::vector<std::shared_ptr<const ClaimMessage>> messages;
  TimePoint now{};
  int faults = 0;
  int time_steps = 0;
  bool resent = false;
  bool crashed = false;
  std::array<int, 3> runs = {0, 0, 0};
  std::array<int, 3> outcomes = {0, 0, 0};
  std::array<bool, 3> said_not_run = {false, false, false};
  std::array<bool, 3> said_may_have_run = {false, false, false};
  std::array<bool, 3> answered = {false, false, false};
};

// Explores all orders of messages, faults and time steps up to a depth, and stops at the first
// violation: a second run, a false kNotRun, or a false or second outcome.
class ClaimModelChecker {
 public:
  explicit ClaimModelChecker(const ClaimModelCheckerOptions& options) : options_(options) {}

  void Run() {
    ClaimModelState state;
    state.faults = options_.faults;
    state.time_steps = options_.time_steps;
    RecordInput(state, 0, 1000);
    Perform(state, 0, state.ledgers[0].Acquire(MakeRequest(1, false), state.now));
    Explore(state, 0);
  }

  std::size_t states() const { return seen_.size(); }
  std::size_t complete() const { return complete_; }
  bool reached_depth() const { return reached_depth_; }
  const std::vector<std::string>& violation_trace() const { return violation_trace_; }
  bool saw_answer_after_takeover() const { return saw_answer_after_takeover_; }
  bool saw_may_have_run() const { return saw_may_have_run_; }
  bool saw_not_run() const { return saw_not_run_; }

 private:
  static constexpr int kTable = 2;
  static constexpr int kUpstream = 3;

  static ClaimRequest MakeRequest(ClaimSubmissionId submission_id, bool resend) {
    return {submission_id, TestClaimKey("k"), ComputeSha256("body"), resend};
  }

  static void RecordInput(ClaimModelState& state, int target, std::uint64_t event) {
    state.inputs[target] = MixHash(state.inputs[target], event);
  }

  static void Add(ClaimModelState& state, int creator, ClaimMessage message) {
    message.identity = MixHash(state.inputs[creator], static_cast<std::uint64_t>(message.kind));
    message.identity = MixHash(message.identity, message.id + message.submission_id * 1000);
    state.messages.push_back(std::make_shared<const ClaimMessage>(std::move(message)));
  }

  static void Perform(ClaimModelState& state, int p, const ClaimActions& actions) {
    const int generation = state.generations[p];
    for (const ClaimWrite& write : actions.writes) {
      Add(state, p, {ClaimMessageKind::kWrite, p, generation, 0, write.id, write});
    }
    for (const ClaimRead& read : actions.reads) {
      Add(state, p, {ClaimMessageKind::kRead, p, generation, 0, read.id});
    }
    for (const ClaimQuery& query : actions.queries) {
      const int owner = query.token.owner.daemon == DaemonId("a") ? 0 : 1;
      ClaimMessage message{ClaimMessageKind::kQuery, owner, 0, 0, query.id};
      message.query = query;
      Add(state, p, message);
    }
    for (const ClaimReply& reply : actions.replies) {
      ClaimMessage message{ClaimMessageKind::kReply, reply.requester == DaemonId("a") ? 0 : 1, 0, 0,
                           reply.id};
      message.reply = reply;
      Add(state, p, message);
    }
    for (const ClaimSubmissionId submission_id : actions.ready) {
      ClaimMessage message{ClaimMessageKind::kReady, p, generation};
      message.submission_id = submission_id;
      Add(state, p, message);
    }
    for (const ClaimOutcome& outcome : actions.outcomes) {
      ++state.outcomes[outcome.submission_id];
      const auto* verdict = std::get_if<Verdict>(&outcome.result);
      if (verdict == nullptr) {
        state.answered[outcome.submission_id] = true;
      } else if (verdict->run_state == RunState::kNotRun) {
        state.said_not_run[outcome.submission_id] = true;
      } else {
        state.said_may_have_run[outcome.submission_id] = true;
      }
    }
  }

  static void Deliver(ClaimModelState& state, const ClaimMessage& message) {
    const int p = message.process;
    const bool at_table =
        message.kind == ClaimMessageKind::kWrite || message.kind == ClaimMessageKind::kRead;
    const bool at_upstream = message.kind == ClaimMessageKind::kRequest;
    RecordInput(state, at_table ? kTable : at_upstream ? kUpstream : p, message.identity);
    ClaimLedger& ledger = state.ledgers[p];
    const bool from_other =
        message.kind == ClaimMessageKind::kQuery || message.kind == ClaimMessageKind::kReply;
    if (!at_table && !at_upstream && !from_other && message.generation != state.generations[p]) {
      return;
    }
    ClaimMessage next{ClaimMessageKind::kWriteResult, p, message.generation, 0, message.id};
    next.submission_id = message.submission_id;
    switch (message.kind) {
      case ClaimMessageKind::kWrite:
        next.status = state.table.Apply({message.write}).empty() ? TableStatus::kCommitted
                                                                 : TableStatus::kConflict;
        Add(state, kTable, next);
        break;
      case ClaimMessageKind::kRead:
        next.kind = ClaimMessageKind::kReadResult;
        next.row = state.table.Read(TestClaimKey("k"));
        Add(state, kTable, next);
        break;
      case ClaimMessageKind::kWriteResult:
        Perform(state, p, ledger.OnWriteResult(message.id, message.status, state.now));
        break;
      case ClaimMessageKind::kReadResult:
        Perform(state, p, ledger.OnReadResult(message.id, message.status, message.row, state.now));
        break;
      case ClaimMessageKind::kQuery:
        Perform(state, p, ledger.OnQuery(message.query, state.now));
        break;
      case ClaimMessageKind::kReply:
        Perform(state, p, ledger.OnReply(message.reply, state.now));
        break;
      case ClaimMessageKind::kReady: {
        ClaimActions actions;
        const bool granted = ledger.BeginDispatch(message.submission_id, state.now, &actions);
        Perform(state, p, actions);
        if (granted) {
          next.kind = ClaimMessageKind::kRequest;
          Add(state, p, next);
        }
        break;
      }
      case ClaimMessageKind::kRequest:
        ++state.runs[message.submission_id];
        next.kind = ClaimMessageKind::kAnswer;
        Add(state, kUpstream, next);
        break;
      case ClaimMessageKind::kAnswer:
        Perform(state, p, ledger.OnCompleted(message.submission_id, 200, "done", state.now));
        break;
      case ClaimMessageKind::kReportedNotRun:
        Perform(state, p, ledger.OnReportedNotRun(message.submission_id, state.now));
        break;
      case ClaimMessageKind::kLost:
        Perform(state, p, ledger.OnUpstreamLost(message.submission_id, state.now));
        break;
    }
  }

  // Requests and answers use one TCP connection: they can be delayed or lost, but not duplicated.
  static bool CanRepeat(const ClaimMessage& message) {
    return message.kind != ClaimMessageKind::kReady && message.kind != ClaimMessageKind::kRequest &&
           message.kind != ClaimMessageKind::kAnswer &&
           message.kind != ClaimMessageKind::kReportedNotRun &&
           message.kind != ClaimMessageKind::kLost;
  }

  // Explores the failures of a message: a table error, a lost connection, or a report of the
  // upstream that it did not run the request.
  void ExploreFaults(const ClaimModelState& state, std::size_t index, int depth) {
    const std::shared_ptr<const ClaimMessage> shared = state.messages[index];
    const ClaimMessage& message = *shared;
    ClaimModelState lost = state;
    lost.messages.erase(lost.messages.begin() + static_cast<std::ptrdiff_t>(index));
    --lost.faults;
    if (message.kind == ClaimMessageKind::kWrite || message.kind == ClaimMessageKind::kRead) {
      ClaimModelState refused = lost;
      RecordInput(refused, kTable, message.identity + 1);
      ClaimMessage next{message.kind == ClaimMessageKind::kWrite ? ClaimMessageKind::kWriteResult
                                                                 : ClaimMessageKind::kReadResult,
                        message.process, message.generation, 0, message.id};
      next.status = TableStatus::kUnavailable;
      Add(refused, kTable, next);
      Step("table refuses " + Describe(message), refused, depth);
    }
    if (message.kind == ClaimMessageKind::kRequest || message.kind == ClaimMessageKind::kAnswer) {
      ClaimModelState broken = lost;
      RecordInput(broken, kUpstream, message.identity + 2);
      ClaimMessage next{ClaimMessageKind::kLost, message.process, message.generation};
      next.submission_id = message.submission_id;
      Add(broken, kUpstream, next);
      Step("connection lost instead of " + Describe(message), broken, depth);
    }
    if (message.kind == ClaimMessageKind::kRequest) {
      ClaimModelState stated = lost;
      RecordInput(stated, kUpstream, message.identity + 3);
      ClaimMessage next{ClaimMessageKind::kReportedNotRun, message.process, message.generation};
      next.submission_id = message.submission_id;
      Add(stated, kUpstream, next);
      Step("upstream states not run", stated, depth);
    }
    if (!CanRepeat(message)) {
      return;
    }
    Step("lose " + Describe(message), lost, depth);
    ClaimModelState repeated = state;
    --repeated.faults;
    // The second copy is a separate message with the same content.
    ClaimMessage second = message;
    second.identity = MixHash(message.identity, 77);
    repeated.messages[index] = std::make_shared<const ClaimMessage>(std::move(second));
    Deliver(repeated, message);
    Step("repeat " + Describe(message), repeated, depth);
  }

  void Explore(const ClaimModelState& state, int depth) {
    if (!violation_trace_.empty() || !seen_.insert(HashState(state)).second) {
      return;
    }
    Check(state);
    if (depth == options_.depth) {
      reached_depth_ = true;
      return;
    }
    complete_ += state.messages.empty() ? 1 : 0;
    for (std::size_t i = 0; i < state.messages.size(); ++i) {
      ClaimModelState next = state;
      const std::shared_ptr<const ClaimMessage> shared = state.messages[i];
      const ClaimMessage& message = *shared;
      next.messages.erase(next.messages.begin() + static_cast<std::ptrdiff_t>(i));
      Deliver(next, message);
      Step("deliver " + Describe(message), next, depth);
      if (state.faults > 0) {
        ExploreFaults(state, i, depth);
      }
    }
    if (!state.resent) {
      ClaimModelState next = state;
      next.resent = true;
      RecordInput(next, 1, 1001);
      Perform(next, 1, next.ledgers[1].Acquire(MakeRequest(2, options_.mark_resends), next.now));
      Step("caller resends to b", next, depth);
    }
    if (!state.crashed && state.faults > 0) {
      ClaimModelState next = state;
      next.crashed = true;
      --next.faults;
      ++next.generations[0];
      RecordInput(next, 0, 1002);
      // The clock was set back, so the new process has the incarnation of the old one.
      next.ledgers[0] = NewTestLedger(0, options_.use_nonce ? 3 : 1);
      Step("a crashes and restarts", next, depth);
    }
    if (state.time_steps > 0) {
      ClaimModelState next = state;
      --next.time_steps;
      next.now += 3s;
      next.ticks_due = {1, 1};
      RecordInput(next, 0, 1003);
      RecordInput(next, 1, 1003);
      Step("3 s pass", next, depth);
    }
    for (int p = 0; p < 2; ++p) {
      // A process that does not tick after time has passed represents a paused process.
      if (state.ticks_due[p] != 0) {
        ClaimModelState next = state;
        next.ticks_due[p] = 0;
        RecordInput(next, p, 1004);
        Perform(next, p, next.ledgers[p].Tick(next.now));
        Step(p == 0 ? "a ticks" : "b ticks", next, depth);
      }
    }
  }

  void Step(const std::string& name, const ClaimModelState& state, int depth) {
    path_.push_back(name);
    Explore(state, depth + 1);
    path_.pop_back();
  }

  void Check(const ClaimModelState& state) {
    const int runs = state.runs[1] + state.runs[2];
    const bool false_not_run =
        (state.said_not_run[1] && state.runs[1] > 0) || (state.said_not_run[2] && runs > 0);
    const bool false_answer = (state.answered[1] || state.answered[2]) && runs == 0;
    if (runs > 1 || false_not_run || false_answer || state.outcomes[1] > 1 ||
        state.outcomes[2] > 1) {
      violation_trace_ = path_;
      violation_trace_.push_back(runs > 1        ? "=> run twice"
                                 : false_not_run ? "=> false not_run"
                                                 : "=> false or second outcome");
    }
    saw_answer_after_takeover_ =
        saw_answer_after_takeover_ || (state.runs[2] == 1 && state.answered[2]);
    saw_may_have_run_ = saw_may_have_run_ || state.said_may_have_run[2];
    saw_not_run_ = saw_not_run_ || state.said_not_run[1];
  }

  static std::uint64_t HashState(const ClaimModelState& state) {
    std::uint64_t hash = 17;
    for (const std::uint64_t input : state.inputs) {
      hash = MixHash(hash, input);
    }
    std::vector<std::uint64_t> identities;
    for (const auto& message : state.messages) {
      identities.push_back(message->identity);
    }
    std::sort(identities.begin(), identities.end());
    for (const std::uint64_t identity : identities) {
      hash = MixHash(hash, identity);
    }
    hash = MixHash(hash, 100 * static_cast<std::uint64_t>(state.faults) +
                             static_cast<std::uint64_t>(state.time_steps));
    return MixHash(hash,
                   (state.resent ? 1U : 0U) + (state.crashed ? 2U : 0U) +
                       4U * static_cast<unsigned>(state.ticks_due[0] + 2 * state.ticks_due[1]));
  }

  static std::string Describe(const ClaimMessage& message) {
    const std::array<const char*, 11> names = {
        "write", "write result", "read",   "read result",       "query", "reply",
        "ready", "request",      "answer", "not-run statement", "loss"};
    return std::string(names[static_cast<std::size_t>(message.kind)]) +
           (message.process == 0 ? " (a)" : " (b)");
  }

  ClaimModelCheckerOptions options_;
  std::unordered_set<std::uint64_t> seen_;
  std::vector<std::string> path_;
  std::vector<std::string> violation_trace_;
  std::size_t complete_ = 0;
  bool reached_depth_ = false;
  bool saw_answer_after_takeover_ = false;
  bool saw_may_have_run_ = false;
  bool saw_not_run_ = false;
};

}  // namespace savoryglade
