#include "recovery/stream_record_directory.h"

#include <algorithm>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "gtest/gtest.h"

namespace savoryglade::recovery {
namespace {

constexpr int kDomains = 4;
constexpr int kPerDomain = 3;

StreamMember Member(int i) {
  return {DaemonId("daemon-" + std::to_string(i)),
          FailureDomainId("domain-" + std::to_string(i / kPerDomain))};
}

std::vector<StreamMember> Members(const std::vector<int>& without = {}) {
  std::vector<StreamMember> members;
  for (int i = 0; i < kDomains * kPerDomain; ++i) {
    if (std::find(without.begin(), without.end(), i) == without.end()) {
      members.push_back(Member(i));
    }
  }
  return members;
}

Sha256Digest Key(int i) {
  return StreamKeyDigest(AccountId("trattoria"), ServiceId("assistant"),
                         RequestKey(std::to_string(i)));
}

StreamRecord Record(int i) {
  return {Key(i), ComputeSha256("body"), UpstreamId("u"), "generation"};
}

class StreamRecordDirectoryTest : public ::testing::Test {
 protected:
  StreamRecordDirectoryTest() {
    for (int i = 0; i < kDomains * kPerDomain; ++i) {
      directories_.emplace_back(Member(i), StreamRecordDirectoryOptions{});
      directories_.back().SetMembers(Members());
    }
  }

  static int IndexOf(const DaemonId& daemon) { return std::stoi(daemon.value().substr(7)); }

  void Deliver(const std::vector<OutgoingStreamRecord>& sends, int owner) {
    for (const OutgoingStreamRecord& send : sends) {
      directories_[IndexOf(send.holder)].OnRecord(send.record, now_);
      directories_[owner].OnConfirmed(send.holder, send.record);
    }
  }

  // Looks up a key at one daemon. The daemons in `dead` don't reply and are no longer members.
  std::optional<StreamRecord> RunLookup(int at, const Sha256Digest& key,
                                        const std::vector<int>& dead) {
    StreamRecordDirectory& directory = directories_[at];
    directory.SetMembers(Members(dead));
    StreamLookup lookup(directory, key, 100ms, now_);
    for (int round = 0; round < 2; ++round) {
      for (const DaemonId& target : lookup.TakeQueries()) {
        lookup.OnReply(target, directories_[IndexOf(target)].Find(key, now_), now_);
      }
    }
    EXPECT_TRUE(lookup.finished());
    directory.SetMembers(Members());
    return lookup.result();
  }

  TimePoint now_{};
  std::vector<StreamRecordDirectory> directories_;
};

// Guards against both copies in the same failure domain.
TEST_F(StreamRecordDirectoryTest, OneHolderInsideAndOneOutside) {
  for (int i = 0; i < 100; ++i) {
    const auto holders = directories_[4].Holders(Key(i));
    ASSERT_EQ(holders.size(), 2U);
    EXPECT_EQ(IndexOf(holders[0]) / kPerDomain, 1);
    EXPECT_NE(IndexOf(holders[1]) / kPerDomain, 1);
    EXPECT_NE(holders[0], Member(4).daemon);
  }
}

// Guards against a record that other daemons can't find because they don't know the owner's failure
// domain.
TEST_F(StreamRecordDirectoryTest, AnyDaemonFindsTheRecordAfterTheOwnerDied) {
  for (int i = 0; i < 60; ++i) {
    const int owner = i % 12;
    Deliver(directories_[owner].OnRunStarted(Record(i), now_), owner);
    for (int at = 0; at < 12; ++at) {
      if (at != owner) {
        EXPECT_EQ(RunLookup(at, Key(i), {owner}), Record(i)) << "key " << i << " at " << at;
      }
    }
  }
}

// Guards against losing the record together with its owner's failure domain, or with the owner and
// either holder.
TEST_F(StreamRecordDirectoryTest, RecordSurvivesLossOfDomainOrHolder) {
  for (int i = 0; i < 60; ++i) {
    const int owner = i % 12;
    const int domain = owner / kPerDomain;
    Deliver(directories_[owner].OnRunStarted(Record(i), now_), owner);
    const auto holders = directories_[owner].Holders(Key(i));
    const int elsewhere = (owner + kPerDomain) % 12;
    EXPECT_EQ(RunLookup(elsewhere, Key(i), {domain * 3, domain * 3 + 1, domain * 3 + 2}),
              Record(i));
    for (const DaemonId& holder : holders) {
      const int dead = IndexOf(holder);
      for (int at = 0; at < 12; ++at) {
        if (at != dead && at != owner) {
          EXPECT_EQ(RunLookup(at, Key(i), {owner, dead}), Record(i)) << "key " << i << " at " << at;
        }
      }
    }
  }
}

// Guards against a lookup that never finishes when no daemon has the record or replies.
TEST_F(StreamRecordDirectoryTest, UnknownKeyIsNotFoundAfterTwoRounds) {
  EXPECT_EQ(RunLookup(0, Key(1), {}), std::nullopt);
  StreamLookup silent(directories_[0], Key(1), 100ms, now_);
  EXPECT_FALSE(silent.TakeQueries().empty());
  silent.Tick(now_ + 100ms);
  EXPECT_FALSE(silent.finished());
  silent.Tick(now_ + 200ms);
  EXPECT_TRUE(silent.finished());
}

// Guards against a delayed record that replaces the end of the run or a later run, and against
// returning the older of two replies.
TEST_F(StreamRecordDirectoryTest, DelayedRecordOfEarlierRunIsDropped) {
  StreamRecord second = Record(1);
  second.attempt = 2;
  StreamRecord ended = second;
  ended.ended = true;
  StreamRecordDirectory& holder = directories_[0];
  holder.OnRecord(ended, now_);
  holder.OnRecord(second, now_);
  holder.OnRecord(Record(1), now_);
  EXPECT_EQ(holder.Find(Key(1), now_), ended);
  StreamLookup lookup(directories_[5], Key(1), 100ms, now_);
  const auto targets = lookup.TakeQueries();
  lookup.OnReply(targets[0], second, now_);
  lookup.OnReply(targets[1], Record(1), now_);
  lookup.Tick(now_ + 100ms);
  EXPECT_EQ(lookup.result(), second);
}

// Guards against returning another caller's response: the same key of two accounts identifies two
// requests.
TEST_F(StreamRecordDirectoryTest, EqualKeysOfTwoAccountsDiffer) {
  const ServiceId service("assistant");
  EXPECT_NE(StreamKeyDigest(AccountId("a"), service, RequestKey("k")),
            StreamKeyDigest(AccountId("b"), service, RequestKey("k")));
  EXPECT_NE(StreamKeyDigest(AccountId("ab"), service, RequestKey("c")),
            StreamKeyDigest(AccountId("a"), service, RequestKey("bc")));
}

// Guards against handing over a stream before its holders have the record, or on the confirmation
// of an earlier record.
TEST_F(StreamRecordDirectoryTest, BothHoldersMustConfirmTheLastRecord) {
  StreamRecordDirectory& owner = directories_[0];
  const auto started = owner.OnRunStarted(Record(1), now_);
  ASSERT_EQ(started.size(), 2U);
  owner.OnConfirmed(started[0].holder, started[0].record);
  EXPECT_FALSE(owner.IsConfirmed(Key(1)));
  owner.OnConfirmed(started[1].holder, started[1].record);
  EXPECT_TRUE(owner.IsConfirmed(Key(1)));
  owner.OnRunEnded(Key(1), now_);
  owner.OnConfirmed(started[0].holder, started[0].record);
  EXPECT_FALSE(owner.IsConfirmed(Key(1)));
}

// Guards against a record whose message was lost.
TEST_F(StreamRecordDirectoryTest, UnconfirmedRecordIsResent) {
  StreamRecordDirectory& owner = directories_[0];
  const auto started = owner.OnRunStarted(Record(1), now_);
  owner.OnConfirmed(started[0].holder, started[0].record);
  EXPECT_TRUE(owner.Tick(now_ + 999ms).empty());
  EXPECT_EQ(owner.Tick(now_ + 1s), (std::vector<OutgoingStreamRecord>{started[1]}));
}

// Guards against losing a record because its holders fail one after the other.
TEST_F(StreamRecordDirectoryTest, NewHolderGetsTheRecordWhenAHolderDies) {
  StreamRecordDirectory& owner = directories_[0];
  Deliver(owner.OnRunStarted(Record(1), now_), 0);
  const int dead = IndexOf(owner.Holders(Key(1))[1]);
  const auto sends = owner.SetMembers(Members({dead}));
  ASSERT_EQ(sends.size(), 1U);
  EXPECT_NE(IndexOf(sends.front().holder), dead);
  EXPECT_FALSE(owner.IsConfirmed(Key(1)));
}

// Guards against having no copy if a failure domain is cut off or has only one daemon left.
TEST_F(StreamRecordDirectoryTest, BothHoldersComeFromOneSideIfTheOtherIsEmpty) {
  StreamRecordDirectory& owner = directories_[0];
  owner.SetMembers({Member(0), Member(1), Member(2)});
  EXPECT_EQ(owner.Holders(Key(1)).size(), 2U);
  owner.SetMembers({Member(0), Member(3), Member(6)});
  EXPECT_EQ(owner.Holders(Key(1)).size(), 2U);
  owner.SetMembers({Member(0)});
  EXPECT_TRUE(owner.Holders(Key(1)).empty());
  EXPECT_FALSE(owner.IsConfirmed(Key(1)));
}

// Guards against unbounded memory use, and against ended streams that evict running ones.
TEST_F(StreamRecordDirectoryTest, MemoryIsBoundedAndKeepsRunningStreams) {
  StreamRecordDirectory small(Member(0), {.max_records = 10});
  for (int i = 0; i < 10; ++i) {
    small.OnRecord(Record(i), now_);
  }
  StreamRecord ended = Record(3);
  ended.ended = true;
  small.OnRecord(ended, now_);
  small.OnRecord(Record(99), now_);
  EXPECT_EQ(small.held(), 10U);
  EXPECT_EQ(small.Find(Key(3), now_), std::nullopt);
  EXPECT_TRUE(small.Find(Key(0), now_));
}

// Guards against records that never expire, and against losing a stream that runs for longer than
// the lifetime of a record.
TEST_F(StreamRecordDirectoryTest, RecordsExpireAndLongStreamsAreRenewed) {
  Deliver(directories_[0].OnRunStarted(Record(1), now_), 0);
  const int holder = IndexOf(directories_[0].Holders(Key(1))[0]);
  for (int second = 0; second < 1500; ++second) {
    now_ += 1s;
    Deliver(directories_[0].Tick(now_), 0);
    directories_[holder].Tick(now_);
  }
  EXPECT_TRUE(directories_[holder].Find(Key(1), now_));
  Deliver(directories_[0].OnRunEnded(Key(1), now_), 0);
  now_ += 60s;
  EXPECT_EQ(directories_[holder].Find(Key(1), now_), std::nullopt);
  directories_[holder].Tick(now_);
  directories_[0].Tick(now_);
  EXPECT_EQ(directories_[holder].held(), 0U);
  EXPECT_EQ(directories_[0].owned(), 0U);
}

}  // namespace
}  // namespace savoryglade::recovery
