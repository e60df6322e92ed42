#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "core/strong_id.h"
#include "core/time.h"
#include "recovery/sha256_digest.h"

namespace savoryglade::recovery {

struct StreamDirectoryOptions {
  std::size_t max_records = 65536;
  // A record of a stream that has not ended is dropped after this time without news of it. Owners
  // send the record again at half of it.
  Duration running_lifetime = 600s;
  // Engines keep a stream without a reader for 30 s, so an ended one is of no use much longer.
  Duration ended_lifetime = 60s;
  // A record is sent again after this time without a confirmation.
  Duration confirm_timeout = 1s;
};

// Live daemon with its failure domain.
struct StreamMember {
  DaemonId daemon;
  FailureDomainId domain;

  friend auto operator<=>(const StreamMember&, const StreamMember&) = default;
};

// Where a request runs. The body tells a resent request from another one under the same key.
// `attempt` counts the runs of the request, so that a late record of an earlier run is recognised.
struct StreamRecord {
  Sha256Digest key{};
  Sha256Digest body{};
  UpstreamId upstream;
  std::string generation;
  std::uint32_t attempt = 1;
  bool ended = false;

  friend auto operator<=>(const StreamRecord&, const StreamRecord&) = default;
};

// Record that is to be sent to a holder.
struct StreamRecordSend {
  DaemonId holder;
  StreamRecord record;

  friend auto operator<=>(const StreamRecordSend&, const StreamRecordSend&) = default;
};

// Returns the digest that names a request in records. It covers account and service, because equal
// keys of two accounts are different requests.
Sha256Digest StreamKeyDigest(const AccountId& account, const ServiceId& service,
                             const RequestKey& key);

// Stream records of one daemon: those that it owns, with their confirmations, and the copies that
// it holds for others. Not safe to use from several threads: the daemon holds its lock.
class StreamDirectory {
 public:
  StreamDirectory(StreamMember self, StreamDirectoryOptions options)
      : self_(std::move(self)), options_(options) {}

  // Takes the live members, with or without this daemon. Returns the records whose holders have
  // changed.
  std::vector<StreamRecordSend> SetMembers(const std::vector<StreamMember>& members);

  // Takes the start of a run that this daemon owns. Returns the records to send.
  std::vector<StreamRecordSend> Start(const StreamRecord& record, TimePoint now);

  // Takes the end of a run that this daemon owns.
  std::vector<StreamRecordSend> End(const Sha256Digest& key, TimePoint now);

  // Takes the confirmation of a holder.
  void OnConfirmed(const DaemonId& holder, const StreamRecord& record);

  // Returns true if every holder of an owned run has confirmed its last record, and there is at
  // least one.
  bool IsConfirmed(const Sha256Digest& key) const;

  // Takes a record from its owner; it is to be confirmed in any case. Older records than the known
  // one are dropped.
  void OnRecord(const StreamRecord& record, TimePoint now);

  // Answers a query from owned and held records.
  std::optional<StreamRecord> Find(const Sha256Digest& key, TimePoint now) const;

  // Returns the records to send again, and drops what has expired.
  std::vector<StreamRecordSend> Tick(TimePoint now);

  // Returns the holders of a record of this daemon: the first of the rendezvous order in its
  // failure domain and the first outside it. Without a candidate on one side both come from the
  // other.
  std::vector<DaemonId> Holders(const Sha256Digest& key) const;

  // Returns whom to ask for a record whose owner is not known. The first round holds the first of
  // all members, the first outside that one's failure domain and the first in the own one; one of
  // the first two is the holder outside the owner's failure domain, wherever the owner was. The
  // second round holds the first of each other domain.
  std::vector<DaemonId> QueryTargets(const Sha256Digest& key, int round) const;

  std::size_t held() const { return held_.size(); }
  std::size_t owned() const { return owned_.size(); }

 private:
  struct Owned {
    StreamRecord record;
    // Holders with their confirmation of the last record.
    std::map<DaemonId, bool> holders;
    TimePoint send_again;
    TimePoint drop;
  };

  struct Held {
    StreamRecord record;
    TimePoint expires;
  };

  // Members but this daemon, first of the rendezvous order first.
  std::vector<const StreamMember*> Ranked(const Sha256Digest& key) const;
  std::vector<StreamRecordSend> SendAll(Owned& owned, TimePoint now) const;
  void Erase(const Sha256Digest& key);

  StreamMember self_;
  StreamDirectoryOptions options_;
  std::vector<StreamMember> members_;
  std::map<Sha256Digest, Owned> owned_;
  std::map<Sha256Digest, Held> held_;
  // Held records by expiry: the next to leave first.
  std::set<std::pair<TimePoint, Sha256Digest>> expiries_;
};

// Search for a record by a daemon that got a request again. Asks in up to two rounds and takes the
// answer of the latest run.
class StreamLookup {
 public:
  StreamLookup(const StreamDirectory& directory, const Sha256Digest& key, Duration round_timeout,
               TimePoint now);

  // Daemons to ask now; empty if none. Each is returned once.
  std::vector<DaemonId> TakeQueries();

  // Takes the answer of a daemon; nothing if it has no record.
  void OnReply(const DaemonId& from, const std::optional<StreamRecord>& record, TimePoint now);

  // Ends a round whose answers are overdue.
  void Tick(TimePoint now);

  bool finished() const { return finished_; }
  const std::optional<StreamRecord>& result() const { return result_; }

 private:
  void EndRound(TimePoint now);

  Sha256Digest key_;
  Duration round_timeout_;
  std::vector<DaemonId> second_round_;
  std::vector<DaemonId> queries_;
  std::set<DaemonId> waiting_;
  TimePoint round_ends_;
  bool in_second_round_ = false;
  bool finished_ = false;
  std::optional<StreamRecord> result_;
};

}  // namespace savoryglade::recovery
