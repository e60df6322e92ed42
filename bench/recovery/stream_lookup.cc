#include <algorithm>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "bench/recovery/measures.h"
#include "core/random.h"
#include "recovery/stream_record_directory.h"

namespace savoryglade {
namespace {

using recovery::OutgoingStreamRecord;
using recovery::StreamLookup;
using recovery::StreamMember;
using recovery::StreamRecord;
using recovery::StreamRecordDirectory;
using recovery::StreamRecordDirectoryOptions;

// Daemons that are lost: the owner of the stream, its whole failure domain, or the owner and one
// holder.
enum class Loss { kOwner, kDomain, kOwnerAndHolder };

struct LookupResult {
  double found = 0;
  double queries = 0;
  // Number of queries of a lookup that queries every live daemon.
  double broadcast_queries = 0;
  double largest_share = 0;
};

class LookupSimulation {
 public:
  LookupSimulation(std::uint64_t seed, int domains, int daemons) : random_(seed) {
    for (int i = 0; i < daemons; ++i) {
      const StreamMember member{DaemonId("daemon-" + std::to_string(i)),
                                FailureDomainId("domain-" + std::to_string(i % domains))};
      index_[member.daemon] = i;
      members_.push_back(member);
      directories_.push_back(
          std::make_unique<StreamRecordDirectory>(member, StreamRecordDirectoryOptions{}));
    }
    for (const auto& directory : directories_) {
      directory->SetMembers(members_);
    }
  }

  LookupResult Run(Loss loss, int stream_count) {
    LookupResult result;
    std::vector<std::pair<int, StreamRecord>> streams;
    for (int s = 0; s < stream_count; ++s) {
      const int owner = static_cast<int>(random_.UniformInt(members_.size()));
      const StreamRecord record{
          ComputeSha256(std::to_string(random_.Next())), {}, UpstreamId("u"), "g"};
      streams.emplace_back(owner, record);
      for (const OutgoingStreamRecord& send : directories_[owner]->OnRunStarted(record, now_)) {
        directories_[index_[send.holder]]->OnRecord(send.record, now_);
      }
    }
    std::size_t largest = 0;
    for (const auto& directory : directories_) {
      largest = std::max(largest, directory->held());
    }
    result.largest_share = static_cast<double>(largest * members_.size()) / (2.0 * stream_count);
    for (const auto& [owner, record] : streams) {
      RunLookup(owner, record, loss, &result);
    }
    result.found *= 100.0 / stream_count;
    result.queries /= stream_count;
    result.broadcast_queries /= stream_count;
    return result;
  }

 private:
  void RunLookup(int owner, const StreamRecord& record, Loss loss, LookupResult* result) {
    const std::vector<DaemonId> holders = directories_[owner]->Holders(record.key);
    const DaemonId& holder = holders[random_.UniformInt(holders.size())];
    std::vector<StreamMember> live;
    for (const StreamMember& member : members_) {
      const bool lost = member.daemon == members_[owner].daemon ||
                        (loss == Loss::kDomain && member.domain == members_[owner].domain) ||
                        (loss == Loss::kOwnerAndHolder && member.daemon == holder);
      if (!lost) {
        live.push_back(member);
      }
    }
    result->broadcast_queries += static_cast<double>(live.size()) - 1;
    const int at = index_[live[random_.UniformInt(live.size())].daemon];
    directories_[at]->SetMembers(live);
    StreamLookup lookup(*directories_[at], record.key, 100ms, now_);
    for (int round = 0; round < 2; ++round) {
      for (const DaemonId& target : lookup.TakeQueries()) {
        ++result->queries;
        lookup.OnReply(target, directories_[index_[target]]->Find(record.key, now_), now_);
      }
    }
    directories_[at]->SetMembers(members_);
    result->found += lookup.result() == record ? 1 : 0;
  }

  Random random_;
  TimePoint now_{};
  std::vector<StreamMember> members_;
  std::map<DaemonId, int> index_;
  std::vector<std::unique_ptr<StreamRecordDirectory>> directories_;
};

void MeasureLoss(const std::string& name, int domains, int daemons, Loss loss) {
  std::vector<Sample> found;
  std::vector<Sample> queries;
  std::vector<Sample> largest;
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    // Uses fewer streams with many daemons, because each lookup is more expensive.
    const int stream_count = daemons > 100 ? 500 : 2000;
    const LookupResult result = LookupSimulation(seed, domains, daemons).Run(loss, stream_count);
    found.push_back({100, result.found, seed});
    queries.push_back({result.broadcast_queries, result.queries, seed});
    largest.push_back({1, result.largest_share, seed});
  }
  PrintSamples("stream-lookup", name + ": records found", "percent", found, Better::kLarger);
  PrintSamples("stream-lookup", name + ": queries for a lookup", "messages", queries);
  if (loss == Loss::kOwner && daemons < 100) {
    PrintSamples("stream-lookup", name + ": most records of a daemon, of the mean", "ratio",
                 largest);
  }
}

}  // namespace

void MeasureStreamLookup() {
  MeasureLoss("8 daemons, owner lost", 4, 8, Loss::kOwner);
  MeasureLoss("8 daemons, domain lost", 4, 8, Loss::kDomain);
  MeasureLoss("8 daemons, owner and holder lost", 4, 8, Loss::kOwnerAndHolder);
  MeasureLoss("350 daemons, owner lost", 28, 350, Loss::kOwner);
  MeasureLoss("350 daemons, domain lost", 28, 350, Loss::kDomain);
  MeasureLoss("350 daemons, owner and holder lost", 28, 350, Loss::kOwnerAndHolder);
}

}  // namespace savoryglade
