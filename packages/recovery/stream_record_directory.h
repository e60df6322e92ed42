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

struct StreamRecordDirectoryOptions {
  std::size_t max_records = 65536;
  // A record of a running stream is dropped after this time without an update. Owners resend the
  // record at half of it.
  Duration running_lifetime = 600s;
  // Engines keep a stream without a reader for 30 s, so the record of an ended stream is not needed
  // for much longer.
  Duration ended_lifetime = 60s;
  // Time after which a record is resent to a daemon that has not confirmed that it received it.
  Duration confirm_timeout = 1s;
};

// Live daemon with its failure domain.
struct StreamMember {
  DaemonId daemon;
  FailureDomainId domain;

  friend auto operator<=>(const StreamMember&, const StreamMember&) = default;
};

// Upstream on which a request runs. `body` distinguishes a resent request from a different request
// under the same key. `attempt` counts the runs of the request, so that a delayed record of an
// earlier run is recognised.
struct StreamRecord {
  Sha256Digest key{};
  Sha256Digest body{};
  UpstreamId upstream;
  std::string generation;
  std::uint32_t attempt = 1;
  bool ended = false;

  friend auto operator<=>(const StreamRecord&, const StreamRecord&) = default;
};

// Stream record to be sent to a holder, i.e. a daemon that keeps a copy of it for its owner.
struct OutgoingStreamRecord {
  DaemonId holder;
  StreamRecord record;

  friend auto operator<=>(const OutgoingStreamRecord&, const OutgoingStreamRecord&) = default;
};

// Returns the digest that identifies a request in records. It covers account and service, because
// the same key of two accounts identifies two different requests.
Sha256Digest StreamKeyDigest(const AccountId& account, const ServiceId& service,
                             const RequestKey& key);

// Stream records of one daemon: the records that it owns, with their confirmations, and the copies
// that it holds for other daemons. Not thread-safe: the daemon calls it under its own lock.
class StreamRecordDirectory {
 public:
  StreamRecordDirectory(StreamMember self, StreamRecordDirectoryOptions options)
      : self_(std::move(self)), options_(options) {}

  // Sets the live members; this daemon may be included or not. Returns the records to send to new
  // holders.
  std::vector<OutgoingStreamRecord> SetMembers(const std::vector<StreamMember>& members);

  // Records the start of a run that this daemon owns. Returns the records to send to the daemons
  // that keep copies.
  std::vector<OutgoingStreamRecord> OnRunStarted(const StreamRecord& record, TimePoint now);

  // Records the end of a run that this daemon owns. Returns the records to send to the daemons that
  // keep copies.
  std::vector<OutgoingStreamRecord> OnRunEnded(const Sha256Digest& key, TimePoint now);

  // Records that `holder`, a daemon that keeps copies of this daemon's records, has confirmed that
  // it received this record.
  void OnConfirmed(const DaemonId& holder, const StreamRecord& record);

  // Returns true if an owned run has at least one holder and every holder has confirmed its latest
  // record.
  bool IsConfirmed(const Sha256Digest& key) const;

  // Stores a record received from its owner. The caller confirms it in any case. A record older
  // than the stored one is dropped.
  void OnRecord(const StreamRecord& record, TimePoint now);

  // Returns the latest owned or held record of a key.
  std::optional<StreamRecord> Find(const Sha256Digest& key, TimePoint now) const;

  // Returns the records to resend, and removes expired records.
  std::vector<OutgoingStreamRecord> Tick(TimePoint now);

  // Returns the holders of a record of this daemon: the first daemon in rendezvous order inside its
  // failure domain and the first one outside it. If one side has no candidate, both holders come
  // from the other side.
  std::vector<DaemonId> Holders(const Sha256Digest& key) const;

  // Returns the daemons to query for a record whose owner is unknown. The first round consists of
  // the first member in rendezvous order, the first member outside that member's failure domain,
  // and the first member in this daemon's domain. One of the first two is the holder outside the
  // owner's failure domain, whichever domain the owner was in. The second round consists of the
  // first member of each remaining domain.
  std::vector<DaemonId> QueryTargets(const Sha256Digest& key, int round) const;

  std::size_t held() const { return held_.size(); }
  std::size_t owned() const { return owned_.size(); }

 private:
  struct OwnedRecord {
    StreamRecord record;
    // Daemons that keep a copy, and whether each has confirmed the latest record.
    std::map<DaemonId, bool> holders;
    TimePoint resend_at;
    TimePoint drop_at;
  };

  struct HeldRecord {
    StreamRecord record;
    TimePoint expires;
  };

  // Returns the other members in rendezvous order.
  std::vector<const StreamMember*> RankedMembers(const Sha256Digest& key) const;
  std::vector<OutgoingStreamRecord> SendUnconfirmed(OwnedRecord& owned, TimePoint now) const;
  void EraseHeld(const Sha256Digest& key);

  StreamMember self_;
  StreamRecordDirectoryOptions options_;
  std::vector<StreamMember> members_;
  std::map<Sha256Digest, OwnedRecord> owned_;
  std::map<Sha256Digest, HeldRecord> held_;
  // Held records ordered by expiry, earliest first.
  std::set<std::pair<TimePoint, Sha256Digest>> expiries_;
};

// Looks up a record on a daemon that has received a resent request. Queries other daemons in up to
// two rounds and keeps the record of the latest run.
class StreamLookup {
 public:
  StreamLookup(const StreamRecordDirectory& directory, const Sha256Digest& key,
               Duration round_timeout, TimePoint now);

  // Returns the daemons to query now; empty if none. Each daemon is returned once.
  std::vector<DaemonId> TakeQueries();

  // Handles the reply of a daemon. `record` is empty if the daemon has no record.
  void OnReply(const DaemonId& from, const std::optional<StreamRecord>& record, TimePoint now);

  // Ends a round that has timed out.
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
