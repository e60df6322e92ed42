#include "recovery/stream_directory.h"

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

class StreamDirectoryTest : public ::testing::Test {
 protected:
  StreamDirectoryTest() {
    for (int i = 0; i < kDomains * kPerDomain; ++i) {
      directories_.emplace_back(Member(i), StreamDirectoryOptions{});
      directories_.back().SetMembers(Members());
    }
  }

  static int IndexOf(const DaemonId& daemon) { return std::stoi(daemon.value().substr(7)); }

  void Deliver(const std::vector<StreamRecordSend>& sends, int owner) {
    for (const StreamRecordSend& send : sends) {
      directories_[IndexOf(send.holder)].OnRecord(send.record, now_);
      directories_[owner].OnConfirmed(send.holder, send.record);
    }
  }

  // Looks a key up at one daemon; the daemons in `dead` don't answer and are not members any more.
  std::optional<StreamRecord> LookUp(int at, const Sha256Digest& key,
                                     const std::vector<int>& dead) {
    StreamDirectory& directory = directories_[at];
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
  std::vector<StreamDirectory> directories_;
};

// Guards against both copies in one failure domain.
TEST_F(StreamDirectoryTest, OneHolderInsideAndOneOutside) {
  for (int i = 0; i < 100; ++i) {
    const auto holders = directories_[4].Holders(Key(i));
    ASSERT_EQ(holders.size(), 2U);
    EXPECT_EQ(IndexOf(holders[0]) / kPerDomain, 1);
    EXPECT_NE(IndexOf(holders[1]) / kPerDomain, 1);
    EXPECT_NE(holders[0], Member(4).daemon);
  }
}

// Guards against a record that another daemon does not find because it does not know where the
// owner was.
TEST_F(StreamDirectoryTest, AnyDaemonFindsTheRecordAfterTheOwnerDied) {
  for (int i = 0; i < 60; ++i) {
    const int owner = i % 12;
    Deliver(directories_[owner].Start(Record(i), now_), owner);
    for (int at = 0; at < 12; ++at) {
      if (at != owner) {
        EXPECT_EQ(LookUp(at, Key(i), {owner}), Record(i)) << "key " << i << " at " << at;
      }
    }
  }
}

// Guards against the loss of the record with the failure domain of its owner, and with either
// holder.
TEST_F(StreamDirectoryTest, RecordSurvivesADomainOrAHolder) {
  for (int i = 0; i < 60; ++i) {
    const int owner = i % 12;
    const int domain = owner / kPerDomain;
    Deliver(directories_[owner].Start(Record(i), now_), owner);
    const auto holders = directories_[owner].Holders(Key(i));
    const int elsewhere = (owner + kPerDomain) % 12;
    EXPECT_EQ(LookUp(elsewhere, Key(i), {domain * 3, domain * 3 + 1, domain * 3 + 2}), Record(i));
    for (const DaemonId& holder : holders) {
      const int dead = IndexOf(holder);
      for (int at = 0; at < 12; ++at) {
        if (at != dead && at != owner) {
          EXPECT_EQ(LookUp(at, Key(i), {owner, dead}), Record(i)) << "key " << i << " at " << at;
        }
      }
    }
  }
}

// Guards against an open lookup when nobody has the record or nobody answers.
TEST_F(StreamDirectoryTest, UnknownKeyIsNotFoundAfterTwoRounds) {
  EXPECT_EQ(LookUp(0, Key(1), {}), std::nullopt);
  StreamLookup silent(directories_[0], Key(1), 100ms, now_);
  EXPECT_FALSE(silent.TakeQueries().empty());
  silent.Tick(now_ + 100ms);
  EXPECT_FALSE(silent.finished());
  silent.Tick(now_ + 200ms);
  EXPECT_TRUE(silent.finished());
}

// Guards against a late record that hides the end or a later run, and against the older of two
// answers.
TEST_F(StreamDirectoryTest, LateRecordOfAnEarlierRunIsDropped) {
  StreamRecord second = Record(1);
  second.attempt = 2;
  StreamRecord ended = second;
  ended.ended = true;
  StreamDirectory& holder = directories_[0];
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

// Guards against another caller's response: equal keys of two accounts are two requests.
TEST_F(StreamDirectoryTest, EqualKeysOfTwoAccountsDiffer) {
  const ServiceId service("assistant");
  EXPECT_NE(StreamKeyDigest(AccountId("a"), service, RequestKey("k")),
            StreamKeyDigest(AccountId("b"), service, RequestKey("k")));
  EXPECT_NE(StreamKeyDigest(AccountId("ab"), service, RequestKey("c")),
            StreamKeyDigest(AccountId("a"), service, RequestKey("bc")));
}

// Guards against a stream that is handed over before its holders have the record, or on a
// confirmation of an earlier record.
TEST_F(StreamDirectoryTest, BothHoldersMustConfirmTheLastRecord) {
  StreamDirectory& owner = directories_[0];
  const auto started = owner.Start(Record(1), now_);
  ASSERT_EQ(started.size(), 2U);
  owner.OnConfirmed(started[0].holder, started[0].record);
  EXPECT_FALSE(owner.IsConfirmed(Key(1)));
  owner.OnConfirmed(started[1].holder, started[1].record);
  EXPECT_TRUE(owner.IsConfirmed(Key(1)));
  owner.End(Key(1), now_);
  owner.OnConfirmed(started[0].holder, started[0].record);
  EXPECT_FALSE(owner.IsConfirmed(Key(1)));
}

// Guards against a record whose message was lost.
TEST_F(StreamDirectoryTest, UnconfirmedRecordIsSentAgain) {
  StreamDirectory& owner = directories_[0];
  const auto started = owner.Start(Record(1), now_);
  owner.OnConfirmed(started[0].holder, started[0].record);
  EXPECT_TRUE(owner.Tick(now_ + 999ms).empty());
  EXPECT_EQ(owner.Tick(now_ + 1s), (std::vector<StreamRecordSend>{started[1]}));
}

// Guards against a record that is lost with its holders one after the other.
TEST_F(StreamDirectoryTest, NewHolderGetsTheRecordWhenAHolderDies) {
  StreamDirectory& owner = directories_[0];
  Deliver(owner.Start(Record(1), now_), 0);
  const int dead = IndexOf(owner.Holders(Key(1))[1]);
  const auto sends = owner.SetMembers(Members({dead}));
  ASSERT_EQ(sends.size(), 1U);
  EXPECT_NE(IndexOf(sends.front().holder), dead);
  EXPECT_FALSE(owner.IsConfirmed(Key(1)));
}

// Guards against no copy at all in a failure domain that is cut off or has one daemon left.
TEST_F(StreamDirectoryTest, BothHoldersComeFromOneSideIfTheOtherIsEmpty) {
  StreamDirectory& owner = directories_[0];
  owner.SetMembers({Member(0), Member(1), Member(2)});
  EXPECT_EQ(owner.Holders(Key(1)).size(), 2U);
  owner.SetMembers({Member(0), Member(3), Member(6)});
  EXPECT_EQ(owner.Holders(Key(1)).size(), 2U);
  owner.SetMembers({Member(0)});
  EXPECT_TRUE(owner.Holders(Key(1)).empty());
  EXPECT_FALSE(owner.IsConfirmed(Key(1)));
}

// Guards against memory without bound, and against ended streams that displace running ones.
TEST_F(StreamDirectoryTest, MemoryIsBoundedAndKeepsRunningStreams) {
  StreamDirectory small(Member(0), {.max_records = 10});
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

// Guards against records without end, and against the loss of a stream that runs for longer than a
// record lives.
TEST_F(StreamDirectoryTest, RecordsExpireAndLongStreamsAreRenewed) {
  Deliver(directories_[0].Start(Record(1), now_), 0);
  const int holder = IndexOf(directories_[0].Holders(Key(1))[0]);
  for (int second = 0; second < 1500; ++second) {
    now_ += 1s;
    Deliver(directories_[0].Tick(now_), 0);
    directories_[holder].Tick(now_);
  }
  EXPECT_TRUE(directories_[holder].Find(Key(1), now_));
  Deliver(directories_[0].End(Key(1), now_), 0);
  now_ += 60s;
  EXPECT_EQ(directories_[holder].Find(Key(1), now_), std::nullopt);
  directories_[holder].Tick(now_);
  directories_[0].Tick(now_);
  EXPECT_EQ(directories_[holder].held(), 0U);
  EXPECT_EQ(directories_[0].owned(), 0U);
}

}  // namespace
}  // namespace savoryglade::recovery
