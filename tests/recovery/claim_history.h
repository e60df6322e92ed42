#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "core/event_queue.h"
#include "core/random.h"
#include "recovery/claim_committer.h"
#include "recovery/claim_ledger.h"
#include "tests/recovery/claim_fakes.h"

namespace savoryglade {

struct ClaimHistoryOptions {
  std::uint64_t seed = 1;
  int daemons = 3;
  int requests = 3;
  int max_submissions = 6;
  double loss_probability = 0.05;
  double duplication_probability = 0.05;
  double crash_probability = 0.3;
  double pause_probability = 0.5;
  double outage_probability = 0.4;
  // Each process generates a nonce, so that it never answers queries for a predecessor with the
  // same incarnation.
  bool use_nonce = true;
  // The caller marks a resend if the outcome of an earlier submission is unknown.
  bool mark_resends = true;
  // Messages take a few milliseconds, callers wait for their outcome and upstreams run every
  // request.
  bool ideal_conditions = false;
  bool keep_trace = false;
};

struct ClaimHistoryResult {
  int requests = 0;
  int run_twice = 0;
  int false_not_run = 0;
  int wrong_answers = 0;
  int answered = 0;
  int not_run = 0;
  int may_have_run = 0;
  int may_have_run_unrun = 0;
  int no_outcome = 0;
  int table_writes = 0;
  // Number of may_have_run outcomes by reason, for requests that did not run.
  std::map<Reason, int> unrun_reasons;
  std::vector<std::string> trace;
};

// Simulates one seeded history: callers, daemons with real ledgers and committers, a fake table and
// a fake upstream that counts runs, on a network that loses, duplicates, delays and reorders
// messages. Daemons crash, restart and pause.
class ClaimHistory {
 public:
  explicit ClaimHistory(const ClaimHistoryOptions& options)
      : options_(options), random_(options.seed) {}

  ClaimHistoryResult Run() {
    for (int i = 0; i < options_.daemons; ++i) {
      processes_.emplace_back();
      Start(i, 1000 + i);
      ScheduleFaults(i);
    }
    if (random_.Bernoulli(options_.outage_probability)) {
      const Duration begin = RandomTime(10s);
      outage_from_ = queue_.now() + begin;
      outage_until_ = outage_from_ + RandomTime(8s);
    }
    for (int i = 0; i < options_.requests; ++i) {
      callers_.push_back({.key = TestClaimKey("key-" + std::to_string(i))});
      queue_.After(RandomTime(5s), [this, i] { Send(i); });
    }
    queue_.RunUntil(TimePoint{} + 300s);
    return CountOutcomes();
  }

 private:
  struct Process {
    std::unique_ptr<ClaimLedger> ledger;
    std::unique_ptr<ClaimCommitter> committer;
    DaemonId name;
    std::uint64_t incarnation = 0;
    std::uint64_t generation = 0;
    TimePoint paused_until;
    Duration clock_offset = Duration::zero();
    bool alive = false;
    bool ticking = false;
  };

  struct SubmissionRecord {
    bool ended = false;
    bool said_not_run = false;
    bool ran = false;
  };

  struct Caller {
    ClaimKey key;
    std::vector<SubmissionRecord> submissions;
    bool finished = false;
    std::optional<RunState> final_state;
    Reason reason = Reason::kNone;
    int runs = 0;
  };

  Duration RandomTime(Duration limit) {
    return FromSeconds(random_.UniformReal() * ToSeconds(limit));
  }

  // Returns a network delay: usually a few milliseconds, sometimes seconds.
  Duration Delay() {
    return !options_.ideal_conditions && random_.Bernoulli(0.1)
               ? RandomTime(8s)
               : 1ms + FromSeconds(random_.Exponential(0.005));
  }

  void Trace(std::string line) {
    if (!options_.keep_trace) {
      return;
    }
    trace_.push_back(std::to_string(queue_.now().time_since_epoch() / 1ms) +
                     " ms: " + std::move(line));
  }

  // Delivers a message to a callback, with loss, duplication and reordering.
  void Transmit(const std::function<void()>& deliver) {
    const int copies = random_.Bernoulli(options_.loss_probability)          ? 0
                       : random_.Bernoulli(options_.duplication_probability) ? 2
                                                                             : 1;
    for (int i = 0; i < copies; ++i) {
      queue_.After(Delay(), deliver);
    }
  }

  // Runs a step if the process has not been restarted. If the process is paused, the step runs
  // after the pause.
  void InProcess(int i, std::uint64_t generation, const std::function<void()>& step) {
    const Process& process = processes_[i];
    if (!process.alive || process.generation != generation) {
      return;
    }
    if (queue_.now() < process.paused_until) {
      queue_.At(process.paused_until, [=, this] { InProcess(i, generation, step); });
      return;
    }
    step();
    ScheduleTick(i, generation);
  }

  // Sends a message to the process of the daemon that is alive when the message arrives.
  void SendToDaemon(int i, const std::function<void()>& step) {
    Transmit([=, this] { InProcess(i, processes_[i].generation, step); });
  }

  TimePoint Now(int i) const { return queue_.now() + processes_[i].clock_offset; }

  void Start(int i, std::uint64_t incarnation) {
    Process& process = processes_[i];
    process.name = DaemonId("daemon-" + std::to_string(i));
    process.incarnation = incarnation;
    ++process.generation;
    process.alive = true;
    process.paused_until = queue_.now();
    process.clock_offset = RandomTime(1000s);
    const std::uint64_t nonce = options_.use_nonce ? random_.Next() : 0;
    process.ledger = std::make_unique<ClaimLedger>(ClaimOwner{process.name, incarnation, nonce},
                                                   ClaimLedgerOptions{});
    process.committer = std::make_unique<ClaimCommitter>(ClaimCommitterOptions{});
    process.ticking = false;
  }

  // Schedules a tick while the ledger or the committer has pending operations.
  void ScheduleTick(int i, std::uint64_t generation) {
    Process& process = processes_[i];
    if (process.ticking || (process.ledger->size() == 0 && process.committer->idle())) {
      return;
    }
    process.ticking = true;
    queue_.After(50ms, [=, this] {
      InProcess(i, generation, [=, this] {
        processes_[i].ticking = false;
        Perform(i, processes_[i].ledger->Tick(Now(i)));
        DeliverWriteResults(i, processes_[i].committer->Expire(Now(i)));
        if (const auto transaction = processes_[i].committer->NextTransaction(Now(i))) {
          Commit(i, *transaction);
        }
      });
    });
  }

  void ScheduleFaults(int i) {
    if (random_.Bernoulli(options_.crash_probability)) {
      queue_.After(RandomTime(15s), [this, i] {
        processes_[i].alive = false;
        Trace(processes_[i].name.value() + " crashes");
        for (std::size_t c = 0; c < callers_.size(); ++c) {
          LoseConnection(static_cast<int>(c));
        }
        queue_.After(RandomTime(10s), [this, i] {
          // After the clock was set back, the incarnation can be that of the predecessor.
          const std::uint64_t step = random_.Bernoulli(0.5) ? 0 : 1;
          Start(i, processes_[i].incarnation + step);
          Trace(processes_[i].name.value() + " restarts");
        });
      });
    }
    for (int n = 0; n < 2; ++n) {
      if (random_.Bernoulli(options_.pause_probability)) {
        queue_.After(RandomTime(15s), [this, i] {
          processes_[i].paused_until = queue_.now() + RandomTime(8s);
          Trace(processes_[i].name.value() + " pauses");
        });
      }
    }
  }

  bool IsTableUnavailable() const {
    return queue_.now() >= outage_from_ && queue_.now() < outage_until_;
  }

  void Commit(int i, const ClaimTransaction& transaction) {
    const std::uint64_t generation = processes_[i].generation;
    const auto answer = [=, this](TableStatus status, const std::set<ClaimKey>& conflicts) {
      Transmit([=, this] {
        InProcess(i, generation, [=, this] {
          DeliverWriteResults(i,
                              processes_[i].committer->OnResult(transaction.id, status, conflicts));
        });
      });
    };
    Transmit([=, this] {
      if (IsTableUnavailable()) {
        // During an outage, some requests get an error and others get no response.
        if (random_.Bernoulli(0.5)) {
          answer(TableStatus::kUnavailable, {});
        }
        return;
      }
      ++result_.table_writes;
      const std::set<ClaimKey> conflicts = table_.Apply(transaction.writes);
      answer(conflicts.empty() ? TableStatus::kCommitted : TableStatus::kConflict, conflicts);
    });
  }

  void DeliverWriteResults(int committer, const std::vector<ClaimWriteResult>& results) {
    for (const ClaimWriteResult& result : results) {
      const int i = IndexOf(result.daemon);
      const auto step = [=, this] {
        Perform(i, processes_[i].ledger->OnWriteResult(result.id, result.status, Now(i)));
      };
      if (i == committer) {
        step();
      } else {
        const std::uint64_t generation = processes_[i].generation;
        Transmit([=, this] { InProcess(i, generation, step); });
      }
    }
  }

  int IndexOf(const DaemonId& daemon) const {
    for (std::size_t i = 0; i < processes_.size(); ++i) {
      if (processes_[i].name == daemon) {
        return static_cast<int>(i);
      }
    }
    return 0;
  }

  void Perform(int i, const ClaimActions& actions) {
    const std::uint64_t generation = processes_[i].generation;
    if (!actions.writes.empty()) {
      int committer = 0;
      while (!processes_[committer].alive) {
        ++committer;
      }
      if (committer == i || random_.Bernoulli(0.2)) {
        DeliverWriteResults(i, processes_[i].committer->Submit(processes_[i].name, actions.writes));
      } else {
        SendToDaemon(committer, [=, this, writes = actions.writes, name = processes_[i].name] {
          DeliverWriteResults(committer, processes_[committer].committer->Submit(name, writes));
        });
      }
    }
    for (const ClaimRead& read : actions.reads) {
      Transmit([=, this] {
        const bool down = IsTableUnavailable();
        const std::optional<ClaimRow> row = table_.Read(read.key);
        Transmit([=, this] {
          InProcess(i, generation, [=, this] {
            const TableStatus status = down ? TableStatus::kUnavailable : TableStatus::kCommitted;
            Perform(i, processes_[i].ledger->OnReadResult(read.id, status, row, Now(i)));
          });
        });
      });
    }
    for (const ClaimQuery& query : actions.queries) {
      const int owner = IndexOf(query.token.owner.daemon);
      SendToDaemon(owner, [=, this] {
        Perform(owner, processes_[owner].ledger->OnQuery(query, Now(owner)));
      });
    }
    for (const ClaimReply& reply : actions.replies) {
      const int requester = IndexOf(reply.requester);
      SendToDaemon(requester, [=, this] {
        Perform(requester, processes_[requester].ledger->OnReply(reply, Now(requester)));
      });
    }
    for (const ClaimSubmissionId submission_id : actions.ready) {
      // Queueing time at the daemon.
      queue_.After(
          RandomTime(!options_.ideal_conditions && random_.Bernoulli(0.1) ? 7s : 100ms),
          [=, this] { InProcess(i, generation, [=, this] { Dispatch(i, submission_id); }); });
    }
    for (const ClaimOutcome& outcome : actions.outcomes) {
      OnOutcome(outcome);
    }
  }

  void Dispatch(int i, ClaimSubmissionId submission_id) {
    if (!options_.ideal_conditions && random_.Bernoulli(0.05)) {
      // No upstream is reachable.
      const Verdict verdict{RunState::kNotRun, Reason::kNoUpstream, 1s};
      Perform(i, processes_[i].ledger->GiveUp(submission_id, verdict, Now(i)));
      return;
    }
    ClaimActions actions;
    const bool granted = processes_[i].ledger->BeginDispatch(submission_id, Now(i), &actions);
    Perform(i, actions);
    if (!granted) {
      return;
    }
    Caller& caller = callers_[submission_id / 100];
    Trace(processes_[i].name.value() + " dispatches submission " + std::to_string(submission_id));
    const std::uint64_t generation = processes_[i].generation;
    const auto report = [=, this](const std::function<ClaimActions()>& call, Duration delay) {
      queue_.After(delay,
                   [=, this] { InProcess(i, generation, [=, this] { Perform(i, call()); }); });
    };
    const auto lost = [=, this] {
      return processes_[i].ledger->OnUpstreamLost(submission_id, Now(i));
    };
    if (random_.Bernoulli(options_.loss_probability)) {
      report(lost, Delay());
      return;
    }
    // The process may pause between BeginDispatch and the first byte, and the network may delay the
    // bytes.
    queue_.After(Delay(), [=, this, &caller] {
      if (!options_.ideal_conditions && random_.Bernoulli(0.05)) {
        report([=, this] { return processes_[i].ledger->OnReportedNotRun(submission_id, Now(i)); },
               Delay());
        return;
      }
      ++caller.runs;
      caller.submissions[submission_id % 100].ran = true;
      Trace("upstream runs submission " + std::to_string(submission_id));
      if (random_.Bernoulli(options_.loss_probability)) {
        report(lost, Delay());
        return;
      }
      const std::string body = "answer to " + caller.key.key.value();
      report(
          [=, this] { return processes_[i].ledger->OnCompleted(submission_id, 200, body, Now(i)); },
          Delay());
    });
  }

  void Send(int c) {
    Caller& caller = callers_[c];
    if (caller.finished ||
        caller.submissions.size() >= static_cast<std::size_t>(options_.max_submissions)) {
      return;
    }
    bool uncertain = false;
    for (const SubmissionRecord& submission : caller.submissions) {
      uncertain = uncertain || !submission.said_not_run;
    }
    const std::size_t number = caller.submissions.size();
    const ClaimSubmissionId submission_id = static_cast<ClaimSubmissionId>(c) * 100 + number;
    caller.submissions.emplace_back();
    const int i = static_cast<int>(random_.UniformInt(processes_.size()));
    const bool resend = uncertain && options_.mark_resends;
    Trace("caller sends " + std::to_string(submission_id) + " to " + processes_[i].name.value());
    const ClaimRequest request{submission_id, caller.key, ComputeSha256(caller.key.key.value()),
                               resend};
    queue_.After(Delay(), [=, this] {
      InProcess(i, processes_[i].generation,
                [=, this] { Perform(i, processes_[i].ledger->Acquire(request, Now(i))); });
    });
    const bool resends_early = !options_.ideal_conditions && random_.Bernoulli(0.3);
    queue_.After(resends_early ? RandomTime(2s) : 20s, [=, this] {
      if (callers_[c].submissions.size() == number + 1 && !callers_[c].submissions[number].ended) {
        if (random_.Bernoulli(0.5)) {
          InProcess(i, processes_[i].generation,
                    [=, this] { Perform(i, processes_[i].ledger->Cancel(submission_id, Now(i))); });
        }
        Send(c);
      }
    });
  }

  void LoseConnection(int c) {
    queue_.After(Delay(), [this, c] {
      if (!callers_[c].submissions.empty() && !callers_[c].submissions.back().ended) {
        Send(c);
      }
    });
  }

  void OnOutcome(const ClaimOutcome& outcome) {
    const int c = static_cast<int>(outcome.submission_id / 100);
    Caller& caller = callers_[c];
    const std::size_t number = outcome.submission_id % 100;
    caller.submissions[number].ended = true;
    if (const auto* answer = std::get_if<StoredAnswer>(&outcome.result)) {
      Trace("submission " + std::to_string(outcome.submission_id) + " is answered");
      const bool right = caller.runs == 1 && answer->body == "answer to " + caller.key.key.value();
      result_.wrong_answers += right ? 0 : 1;
      caller.finished = true;
      caller.final_state = RunState::kRan;
      return;
    }
    const Verdict verdict = std::get<Verdict>(outcome.result);
    Trace("submission " + std::to_string(outcome.submission_id) + " ends: " +
          std::string(ToString(verdict.run_state)) + " " + std::string(ToString(verdict.reason)));
    caller.submissions[number].said_not_run = verdict.run_state == RunState::kNotRun;
    if (number + 1 != caller.submissions.size() || caller.finished) {
      return;
    }
    caller.final_state = verdict.run_state;
    caller.reason = verdict.reason;
    if (verdict.retry_after > Duration::zero()) {
      queue_.After(verdict.retry_after, [this, c] { Send(c); });
    }
  }

  ClaimHistoryResult CountOutcomes() {
    for (const Caller& caller : callers_) {
      ++result_.requests;
      result_.run_twice += caller.runs > 1 ? 1 : 0;
      for (std::size_t s = 0; s < caller.submissions.size(); ++s) {
        bool ran = false;
        for (std::size_t earlier = 0; earlier <= s; ++earlier) {
          ran = ran || caller.submissions[earlier].ran;
        }
        result_.false_not_run += caller.submissions[s].said_not_run && ran ? 1 : 0;
      }
      const bool unknown = caller.final_state == RunState::kMayHaveRun;
      result_.answered += caller.final_state == RunState::kRan ? 1 : 0;
      result_.not_run += caller.final_state == RunState::kNotRun ? 1 : 0;
      result_.may_have_run += unknown ? 1 : 0;
      result_.may_have_run_unrun += unknown && caller.runs == 0 ? 1 : 0;
      if (unknown && caller.runs == 0) {
        ++result_.unrun_reasons[caller.reason];
      }
      result_.no_outcome += caller.final_state ? 0 : 1;
    }
    result_.trace = std::move(trace_);
    return result_;
  }

  ClaimHistoryOptions options_;
  Random random_;
  EventQueue queue_;
  FakeClaimTable table_;
  std::vector<Process> processes_;
  std::vector<Caller> callers_;
  TimePoint outage_from_;
  TimePoint outage_until_;
  ClaimHistoryResult result_;
  std::vector<std::string> trace_;
};

}  // namespace savoryglade
