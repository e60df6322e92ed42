#include <cstddef>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "gtest/gtest.h"
#include "scheduling/cost_predictor.h"
#include "scheduling/scheduler.h"

namespace savoryglade {
namespace {

constexpr TimePoint kStart{};
const ServiceId kService("diagnosis");
const AccountId kCounter("counter");
const AccountId kWorkshop("workshop");

constexpr double kShortCostSeconds = 0.2;
constexpr double kLongCostSeconds = 10;

// One service with a settable number of slots, which the scheduler learns from starts that the
// service refuses.
class SizeOrderTest : public testing::Test {
 protected:
  Ticket Queue(const AccountId& account, double cost) {
    const Ticket ticket = ++last_ticket_;
    EXPECT_TRUE(scheduler_.Enqueue({.ticket = ticket,
                                    .account = account,
                                    .service = kService,
                                    .predicted_cost = cost,
                                    .enqueued = now_,
                                    .deadline = now_ + 1h},
                                   now_));
    return ticket;
  }

  std::optional<QueuedRequest> Dequeue() {
    auto next = scheduler_.Dequeue([this](const ServiceId&) { return running_ < slots_; }, now_);
    running_ += next ? 1 : 0;
    return next;
  }

  void Finish(const QueuedRequest& request) {
    --running_;
    scheduler_.Finish(request.ticket, request.predicted_cost, now_);
  }

  // Runs short work at the given number of slots for 60 s, one request after another in each.
  void RunShortWork(std::size_t slots) {
    for (int round = 0; round < 300; ++round) {
      for (std::size_t i = 0; i < slots; ++i) {
        Queue(kCounter, kShortCostSeconds);
      }
      std::vector<QueuedRequest> started;
      while (const auto next = Dequeue()) {
        started.push_back(*next);
      }
      now_ += FromSeconds(kShortCostSeconds);
      for (const QueuedRequest& request : started) {
        Finish(request);
      }
    }
  }

  // Fills the slots, so that the scheduler learns their number.
  void FillSlots() {
    std::vector<QueuedRequest> started;
    for (std::size_t i = 0; i <= slots_; ++i) {
      Queue(kCounter, kShortCostSeconds);
    }
    while (const auto next = Dequeue()) {
      started.push_back(*next);
    }
    for (const QueuedRequest& request : started) {
      Finish(request);
    }
    while (const auto next = Dequeue()) {
      Finish(*next);
    }
  }

  Scheduler scheduler_{SchedulerOptions{.max_wait = 1h, .ageing_factor = 0.5}};
  TimePoint now_ = kStart + 1s;
  std::size_t slots_ = 16;
  std::size_t running_ = 0;
  Ticket last_ticket_ = 0;
};

// Guards against a lookup that waits behind the diagnoses that its own account sent before it.
TEST_F(SizeOrderTest, ShortWorkPrecedesLongWorkOfItsAccount) {
  Queue(kCounter, kShortCostSeconds);
  Queue(kCounter, kLongCostSeconds);
  const Ticket lookup = Queue(kCounter, kShortCostSeconds);
  Dequeue();
  EXPECT_EQ(Dequeue()->ticket, lookup);
}

// Guards against a lookup that waits behind another account's diagnoses although both accounts are
// within their shares.
TEST_F(SizeOrderTest, ShortWorkPrecedesLongWorkOfAnotherAccount) {
  RunShortWork(4);
  FillSlots();
  Queue(kWorkshop, kLongCostSeconds);
  const Ticket lookup = Queue(kCounter, kShortCostSeconds);
  EXPECT_EQ(Dequeue()->ticket, lookup);
}

// Guards against a diagnosis that never runs because lookups keep arriving.
TEST_F(SizeOrderTest, AgeingBoundsTheWaitOfLongWork) {
  slots_ = 2;
  RunShortWork(2);
  const Ticket diagnosis = Queue(kCounter, kLongCostSeconds);
  const TimePoint queued = now_;
  std::optional<TimePoint> started;
  while (!started && now_ < queued + 60s) {
    Queue(kCounter, kShortCostSeconds);
    Queue(kCounter, kShortCostSeconds);
    std::vector<QueuedRequest> batch;
    while (const auto next = Dequeue()) {
      if (next->ticket == diagnosis) {
        started = now_;
      }
      batch.push_back(*next);
    }
    now_ += FromSeconds(kShortCostSeconds);
    for (const QueuedRequest& request : batch) {
      Finish(request);
    }
  }
  ASSERT_TRUE(started);
  // Half of its cost because of ageing, and one running lookup.
  EXPECT_LE(ToSeconds(*started - queued), 0.5 * kLongCostSeconds + 2 * kShortCostSeconds);
}

// Guards against diagnoses that fill all slots, so that lookups wait until one ends.
TEST_F(SizeOrderTest, LongWorkLeavesSlotsForShortWork) {
  RunShortWork(4);
  FillSlots();
  for (int i = 0; i < 40; ++i) {
    Queue(kWorkshop, kLongCostSeconds);
  }
  std::size_t started = 0;
  while (Dequeue()) {
    ++started;
  }
  EXPECT_LE(started, slots_ - 4);
  EXPECT_GE(started, slots_ / 4);
  Queue(kCounter, kShortCostSeconds);
  EXPECT_TRUE(Dequeue());
}

// Guards against slots that stay idle, reserved for short work that nobody sends.
TEST_F(SizeOrderTest, LongWorkAloneMayUseAllSlots) {
  slots_ = 8;
  Queue(kWorkshop, kLongCostSeconds);
  for (int i = 0; i < 20; ++i) {
    Queue(kWorkshop, kLongCostSeconds);
  }
  std::size_t started = 0;
  while (Dequeue()) {
    ++started;
  }
  EXPECT_EQ(started, slots_);
}

// Guards against routing that fills one upstream with long work while the total is within limits.
TEST_F(SizeOrderTest, LongSlotFractionLeavesRoomForTheShortLoad) {
  EXPECT_EQ(scheduler_.LongSlotFraction(kService, now_), 1);
  RunShortWork(4);
  FillSlots();
  const double fraction = scheduler_.LongSlotFraction(kService, now_);
  EXPECT_LE(fraction, 12.0 / 16);
  EXPECT_GE(fraction, 0.25);
}

// Guards against an engine that runs a diagnosis before a lookup that arrived later.
TEST_F(SizeOrderTest, EnginePriorityRisesWithCostAndFallsWithWaiting) {
  RunShortWork(2);
  Queue(kCounter, kShortCostSeconds);
  const auto lookup = Dequeue();
  Queue(kCounter, kLongCostSeconds);
  const auto fresh = Dequeue();
  ASSERT_TRUE(lookup && fresh);
  EXPECT_LT(lookup->engine_priority, fresh->engine_priority);
  EXPECT_LE(fresh->engine_priority, 9);
  Queue(kCounter, kLongCostSeconds);
  now_ += 30s;
  const auto aged = Dequeue();
  ASSERT_TRUE(aged);
  EXPECT_LT(aged->engine_priority, fresh->engine_priority);
}

// Guards against costs that are predicted from the caller's limit although responses are short.
TEST(CostPredictorTest, ActualCostsCorrectThePrediction) {
  CostPredictor predictor;
  const CostQuery query{
      .account = kCounter, .service = kService, .request_bytes = 500, .max_tokens = 4096};
  for (int i = 0; i < 100; ++i) {
    predictor.RecordActualCost(query, 0.3);
  }
  EXPECT_NEAR(predictor.Predict(query), 0.3, 0.03);
}

// Guards against predicting an account with unusual requests from those of the others.
TEST(CostPredictorTest, AccountsWithDifferentCostsArePredictedSeparately) {
  CostPredictor predictor;
  CostQuery query{.account = kCounter, .service = kService, .max_tokens = 1000};
  CostQuery other = query;
  other.account = kWorkshop;
  for (int i = 0; i < 100; ++i) {
    predictor.RecordActualCost(query, 0.2);
    predictor.RecordActualCost(other, 10);
  }
  EXPECT_NEAR(predictor.Predict(query), 0.2, 0.5);
  EXPECT_NEAR(predictor.Predict(other), 10, 1);
}

// Guards against predictions for a new account that ignore the history of the service.
TEST(CostPredictorTest, NewAccountStartsFromTheHistoryOfTheService) {
  CostPredictor predictor;
  CostQuery query{.account = kCounter, .service = kService, .max_tokens = 1000};
  for (int i = 0; i < 100; ++i) {
    predictor.RecordActualCost(query, 2);
  }
  query.account = kWorkshop;
  EXPECT_NEAR(predictor.Predict(query), 2, 0.2);
}

// Guards against unbounded memory when a caller varies its request sizes.
TEST(CostPredictorTest, HistoriesAreBounded) {
  CostPredictor predictor;
  for (int i = 0; i < 20000; ++i) {
    predictor.RecordActualCost({.account = AccountId(std::to_string(i)), .service = kService}, 1);
  }
  EXPECT_LE(predictor.size(), 16384U);
}

}  // namespace
}  // namespace savoryglade
