#include "capacity/usage_ledger.h"

#include <gtest/gtest.h>

#include "capacity/work_meter.h"

namespace savoryglade::capacity {
namespace {

const AccountId kDrivers("drivers");
const AccountId kOffice("office");
const ReportSource kPeer = ReportSource::Daemon(DaemonId("peer"));

TEST(UsageLedgerTest, SumsOwnCountsAndThoseOfPeers) {
  UsageLedger ledger;
  ledger.OnRequestStarted(5, kDrivers);
  ledger.OnRequestStarted(5, kDrivers);
  ledger.OnRequestStarted(6, kDrivers);
  ledger.OnReport(kPeer, 1, 5, {{kDrivers, 3}, {kOffice, 1}});
  EXPECT_EQ(ledger.Total(5), (WindowCounts{{kDrivers, 5}, {kOffice, 1}}));
}

TEST(UsageLedgerTest, LaterCountsOfAPeerReplaceEarlierOnes) {
  UsageLedger ledger;
  ledger.OnReport(kPeer, 1, 5, {{kDrivers, 3}});
  ledger.OnReport(kPeer, 1, 5, {{kDrivers, 4}});
  EXPECT_EQ(ledger.Total(5), (WindowCounts{{kDrivers, 4}}));
}

// Guards against losing the counts of a daemon that was killed in the middle of a window.
TEST(UsageLedgerTest, CountsFromBeforeAPeerRestartAreKept) {
  UsageLedger ledger;
  ledger.OnReport(kPeer, 1, 5, {{kDrivers, 3}});
  ledger.OnReport(kPeer, 2, 5, {{kDrivers, 1}});
  EXPECT_EQ(ledger.Total(5), (WindowCounts{{kDrivers, 4}}));
}

TEST(UsageLedgerTest, RequestsThatDidNotRunAreSubtracted) {
  UsageLedger ledger;
  ledger.OnRequestStarted(5, kDrivers);
  ledger.OnRequestStarted(5, kDrivers);
  ledger.OnNotRun(5, kDrivers);
  EXPECT_EQ(ledger.Total(5), (WindowCounts{{kDrivers, 1}}));
}

TEST(UsageLedgerTest, OldWindowsAreRemoved) {
  UsageLedger ledger;
  ledger.OnRequestStarted(5, kDrivers);
  ledger.OnReport(kPeer, 1, 5, {{kDrivers, 3}});
  ledger.Expire(5 + UsageLedger::kRetainedWindows + 1);
  EXPECT_TRUE(ledger.Total(5).empty());
}

TEST(WorkMeterTest, TotalDoesNotDecreaseWhenAPeerRestarts) {
  const ServiceId service("model");
  WorkMeter meter;
  meter.Add(service, 1);
  meter.OnReport(kPeer, 1, {{service, 5}});
  EXPECT_DOUBLE_EQ(meter.Total(service), 6);
  meter.OnReport(kPeer, 2, {{service, 1}});
  EXPECT_DOUBLE_EQ(meter.Total(service), 7);
}

}  // namespace
}  // namespace savoryglade::capacity
