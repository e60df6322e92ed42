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
  kStatedNotRun,
  kLost
};

// One message on its way. `generation` is that of the process it is meant for; questions and
// answers between daemons reach whichever process is there.
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

struct ClaimEnumerationOptions {
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

// Two daemons, the table and the upstream around one request: sending 1 goes to daemon a, sending 2
// to daemon b. Every step is one input to one of them, so `inputs` (a hash of the inputs of each in
// their order) and the messages on their way determine the state.
struct ClaimWorld {
  std::array<ClaimLedger, 2> ledgers = {NewTestLedger(0, 1), NewTestLedger(1, 2)};
  std::array<int, 2> generations = {0, 0};
  std::array<int, 2> ticks_due = {0, 0};
  std::array<std::uint64_t, 4> inputs = {1, 2, 3, 4};
  FakeClaimTable table;
  // Shared, because every step copies the world.
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

class ClaimEnumeration {
 public:
  explicit ClaimEnumeration(const ClaimEnumerationOptions& rules) : rules_(rules) {}

  void Run() {
    ClaimWorld world;
    world.faults = rules_.faults;
    world.time_steps = rules_.time_steps;
    Input(world, 0, 1000);
    Perform(world, 0, world.ledgers[0].Acquire(Sending(1, false), world.now));
    Explore(world, 0);
  }

  std::size_t states() const { return seen_.size(); }
  std::size_t complete() const { return complete_; }
  bool reached_depth() const { return reached_depth_; }
  const std::vector<std::string>& fault_trace() const { return fault_trace_; }
  bool saw_answer_after_takeover() const { return saw_answer_after_takeover_; }
  bool saw_may_have_run() const { return saw_may_have_run_; }
  bool saw_not_run() const { return saw_not_run_; }

 private:
  static constexpr int kTable = 2;
  static constexpr int kUpstream = 3;

  static ClaimRequest Sending(ClaimSubmissionId submission_id, bool resend) {
    return {submission_id, TestClaimKey("k"), ComputeSha256("body"), resend};
  }

  static void Input(ClaimWorld& world, int target, std::uint64_t what) {
    world.inputs[target] = MixHash(world.inputs[target], what);
  }

  static void Add(ClaimWorld& world, int creator, ClaimMessage message) {
    message.identity = MixHash(world.inputs[creator], static_cast<std::uint64_t>(message.kind));
    message.identity = MixHash(message.identity, message.id + message.submission_id * 1000);
    world.messages.push_back(std::make_shared<const ClaimMessage>(std::move(message)));
  }

  static void Perform(ClaimWorld& world, int p, const ClaimActions& actions) {
    const int generation = world.generations[p];
    for (const ClaimWrite& write : actions.writes) {
      Add(world, p, {ClaimMessageKind::kWrite, p, generation, 0, write.id, write});
    }
    for (const ClaimRead& read : actions.reads) {
      Add(world, p, {ClaimMessageKind::kRead, p, generation, 0, read.id});
    }
    for (const ClaimQuery& query : actions.queries) {
      const int owner = query.token.owner.daemon == DaemonId("a") ? 0 : 1;
      ClaimMessage message{ClaimMessageKind::kQuery, owner, 0, 0, query.id};
      message.query = query;
      Add(world, p, message);
    }
    for (const ClaimReply& reply : actions.replies) {
      ClaimMessage message{ClaimMessageKind::kReply, reply.requester == DaemonId("a") ? 0 : 1, 0, 0,
                           reply.id};
      message.reply = reply;
      Add(world, p, message);
    }
    for (const ClaimSubmissionId submission_id : actions.ready) {
      ClaimMessage message{ClaimMessageKind::kReady, p, generation};
      message.submission_id = submission_id;
      Add(world, p, message);
    }
    for (const ClaimOutcome& outcome : actions.outcomes) {
      ++world.outcomes[outcome.submission_id];
      const auto* verdict = std::get_if<Verdict>(&outcome.result);
      if (verdict == nullptr) {
        world.answered[outcome.submission_id] = true;
      } else if (verdict->run_state == RunState::kNotRun) {
        world.said_not_run[outcome.submission_id] = true;
      } else {
        world.said_may_have_run[outcome.submission_id] = true;
      }
    }
  }

  static void Deliver(ClaimWorld& world, const ClaimMessage& message) {
    const int p = message.process;
    const bool at_table =
        message.kind == ClaimMessageKind::kWrite || message.kind == ClaimMessageKind::kRead;
    const bool at_upstream = message.kind == ClaimMessageKind::kRequest;
    Input(world, at_table ? kTable : at_upstream ? kUpstream : p, message.identity);
    ClaimLedger& ledger = world.ledgers[p];
    const bool from_other =
        message.kind == ClaimMessageKind::kQuery || message.kind == ClaimMessageKind::kReply;
    if (!at_table && !at_upstream && !from_other && message.generation != world.generations[p]) {
      return;
    }
    ClaimMessage next{ClaimMessageKind::kWriteResult, p, message.generation, 0, message.id};
    next.submission_id = message.submission_id;
    switch (message.kind) {
      case ClaimMessageKind::kWrite:
        next.status = world.table.Apply({message.write}).empty() ? TableStatus::kCommitted
                                                                 : TableStatus::kConflict;
        Add(world, kTable, next);
        break;
      case ClaimMessageKind::kRead:
        next.kind = ClaimMessageKind::kReadResult;
        next.row = world.table.Read(TestClaimKey("k"));
        Add(world, kTable, next);
        break;
      case ClaimMessageKind::kWriteResult:
        Perform(world, p, ledger.OnWriteResult(message.id, message.status, world.now));
        break;
      case ClaimMessageKind::kReadResult:
        Perform(world, p, ledger.OnReadResult(message.id, message.status, message.row, world.now));
        break;
      case ClaimMessageKind::kQuery:
        Perform(world, p, ledger.OnQuery(message.query, world.now));
        break;
      case ClaimMessageKind::kReply:
        Perform(world, p, ledger.OnReply(message.reply, world.now));
        break;
      case ClaimMessageKind::kReady: {
        ClaimActions actions;
        const bool granted = ledger.BeginDispatch(message.submission_id, world.now, &actions);
        Perform(world, p, actions);
        if (granted) {
          next.kind = ClaimMessageKind::kRequest;
          Add(world, p, next);
        }
        break;
      }
      case ClaimMessageKind::kRequest:
        ++world.runs[message.submission_id];
        next.kind = ClaimMessageKind::kAnswer;
        Add(world, kUpstream, next);
        break;
      case ClaimMessageKind::kAnswer:
        Perform(world, p, ledger.OnCompleted(message.submission_id, 200, "done", world.now));
        break;
      case ClaimMessageKind::kStatedNotRun:
        Perform(world, p, ledger.OnReportedNotRun(message.submission_id, world.now));
        break;
      case ClaimMessageKind::kLost:
        Perform(world, p, ledger.OnUpstreamLost(message.submission_id, world.now));
        break;
    }
  }

  // Requests and answers travel on one TCP connection: they can be late or lost, never repeated.
  static bool CanRepeat(const ClaimMessage& message) {
    return message.kind != ClaimMessageKind::kReady && message.kind != ClaimMessageKind::kRequest &&
           message.kind != ClaimMessageKind::kAnswer &&
           message.kind != ClaimMessageKind::kStatedNotRun &&
           message.kind != ClaimMessageKind::kLost;
  }

  // Takes the other ends that a message can have: an error of the table, a lost connection, a
  // statement of the upstream that it did not run the request.
  void ExploreFaults(const ClaimWorld& world, std::size_t index, int depth) {
    const std::shared_ptr<const ClaimMessage> shared = world.messages[index];
    const ClaimMessage& message = *shared;
    ClaimWorld lost = world;
    lost.messages.erase(lost.messages.begin() + static_cast<std::ptrdiff_t>(index));
    --lost.faults;
    if (message.kind == ClaimMessageKind::kWrite || message.kind == ClaimMessageKind::kRead) {
      ClaimWorld refused = lost;
      Input(refused, kTable, message.identity + 1);
      ClaimMessage next{message.kind == ClaimMessageKind::kWrite ? ClaimMessageKind::kWriteResult
                                                                 : ClaimMessageKind::kReadResult,
                        message.process, message.generation, 0, message.id};
      next.status = TableStatus::kUnavailable;
      Add(refused, kTable, next);
      Step("table refuses " + Name(message), refused, depth);
    }
    if (message.kind == ClaimMessageKind::kRequest || message.kind == ClaimMessageKind::kAnswer) {
      ClaimWorld broken = lost;
      Input(broken, kUpstream, message.identity + 2);
      ClaimMessage next{ClaimMessageKind::kLost, message.process, message.generation};
      next.submission_id = message.submission_id;
      Add(broken, kUpstream, next);
      Step("connection lost instead of " + Name(message), broken, depth);
    }
    if (message.kind == ClaimMessageKind::kRequest) {
      ClaimWorld stated = lost;
      Input(stated, kUpstream, message.identity + 3);
      ClaimMessage next{ClaimMessageKind::kStatedNotRun, message.process, message.generation};
      next.submission_id = message.submission_id;
      Add(stated, kUpstream, next);
      Step("upstream states not run", stated, depth);
    }
    if (!CanRepeat(message)) {
      return;
    }
    Step("lose " + Name(message), lost, depth);
    ClaimWorld repeated = world;
    --repeated.faults;
    // The second copy is another message of the same content.
    ClaimMessage second = message;
    second.identity = MixHash(message.identity, 77);
    repeated.messages[index] = std::make_shared<const ClaimMessage>(std::move(second));
    Deliver(repeated, message);
    Step("repeat " + Name(message), repeated, depth);
  }

  void Explore(const ClaimWorld& world, int depth) {
    if (!fault_trace_.empty() || !seen_.insert(HashOf(world)).second) {
      return;
    }
    Check(world);
    if (depth == rules_.depth) {
      reached_depth_ = true;
      return;
    }
    complete_ += world.messages.empty() ? 1 : 0;
    for (std::size_t i = 0; i < world.messages.size(); ++i) {
      ClaimWorld next = world;
      const std::shared_ptr<const ClaimMessage> shared = world.messages[i];
      const ClaimMessage& message = *shared;
      next.messages.erase(next.messages.begin() + static_cast<std::ptrdiff_t>(i));
      Deliver(next, message);
      Step("deliver " + Name(message), next, depth);
      if (world.faults > 0) {
        ExploreFaults(world, i, depth);
      }
    }
    if (!world.resent) {
      ClaimWorld next = world;
      next.resent = true;
      Input(next, 1, 1001);
      Perform(next, 1, next.ledgers[1].Acquire(Sending(2, rules_.mark_resends), next.now));
      Step("caller resends to b", next, depth);
    }
    if (!world.crashed && world.faults > 0) {
      ClaimWorld next = world;
      next.crashed = true;
      --next.faults;
      ++next.generations[0];
      Input(next, 0, 1002);
      // The clock was set back, so the new process has the incarnation of the old one.
      next.ledgers[0] = NewTestLedger(0, rules_.use_nonce ? 3 : 1);
      Step("a crashes and restarts", next, depth);
    }
    if (world.time_steps > 0) {
      ClaimWorld next = world;
      --next.time_steps;
      next.now += 3s;
      next.ticks_due = {1, 1};
      Input(next, 0, 1003);
      Input(next, 1, 1003);
      Step("3 s pass", next, depth);
    }
    for (int p = 0; p < 2; ++p) {
      // A process that does not tick after time has passed is a paused one.
      if (world.ticks_due[p] != 0) {
        ClaimWorld next = world;
        next.ticks_due[p] = 0;
        Input(next, p, 1004);
        Perform(next, p, next.ledgers[p].Tick(next.now));
        Step(p == 0 ? "a ticks" : "b ticks", next, depth);
      }
    }
  }

  void Step(const std::string& name, const ClaimWorld& world, int depth) {
    path_.push_back(name);
    Explore(world, depth + 1);
    path_.pop_back();
  }

  void Check(const ClaimWorld& world) {
    const int runs = world.runs[1] + world.runs[2];
    const bool false_not_run =
        (world.said_not_run[1] && world.runs[1] > 0) || (world.said_not_run[2] && runs > 0);
    const bool false_answer = (world.answered[1] || world.answered[2]) && runs == 0;
    if (runs > 1 || false_not_run || false_answer || world.outcomes[1] > 1 ||
        world.outcomes[2] > 1) {
      fault_trace_ = path_;
      fault_trace_.push_back(runs > 1        ? "=> run twice"
                             : false_not_run ? "=> false not_run"
                                             : "=> false or second outcome");
    }
    saw_answer_after_takeover_ =
        saw_answer_after_takeover_ || (world.runs[2] == 1 && world.answered[2]);
    saw_may_have_run_ = saw_may_have_run_ || world.said_may_have_run[2];
    saw_not_run_ = saw_not_run_ || world.said_not_run[1];
  }

  static std::uint64_t HashOf(const ClaimWorld& world) {
    std::uint64_t hash = 17;
    for (const std::uint64_t input : world.inputs) {
      hash = MixHash(hash, input);
    }
    std::vector<std::uint64_t> identities;
    for (const auto& message : world.messages) {
      identities.push_back(message->identity);
    }
    std::sort(identities.begin(), identities.end());
    for (const std::uint64_t identity : identities) {
      hash = MixHash(hash, identity);
    }
    hash = MixHash(hash, 100 * static_cast<std::uint64_t>(world.faults) +
                             static_cast<std::uint64_t>(world.time_steps));
    return MixHash(hash,
                   (world.resent ? 1U : 0U) + (world.crashed ? 2U : 0U) +
                       4U * static_cast<unsigned>(world.ticks_due[0] + 2 * world.ticks_due[1]));
  }

  static std::string Name(const ClaimMessage& message) {
    const std::array<const char*, 11> names = {
        "write", "write result", "read",   "read result",       "query", "reply",
        "ready", "request",      "answer", "not-run statement", "loss"};
    return std::string(names[static_cast<std::size_t>(message.kind)]) +
           (message.process == 0 ? " (a)" : " (b)");
  }

  ClaimEnumerationOptions rules_;
  std::unordered_set<std::uint64_t> seen_;
  std::vector<std::string> path_;
  std::vector<std::string> fault_trace_;
  std::size_t complete_ = 0;
  bool reached_depth_ = false;
  bool saw_answer_after_takeover_ = false;
  bool saw_may_have_run_ = false;
  bool saw_not_run_ = false;
};

}  // namespace savoryglade
