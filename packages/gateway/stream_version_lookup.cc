#include "gateway/stream_version_lookup.h"

#include <optional>

namespace savoryglade::gateway {

StreamVersion RegisteredVersionLookup::Find(const Call& call, TimePoint /*now*/) {
  if (!call.resumes_stream()) {
    return {.state = StreamVersion::State::kNotResumed};
  }
  const std::optional<std::uint64_t> version = fleet_.load_balancer.OnlyVersion(call.service);
  if (!version) {
    return {.state = StreamVersion::State::kUnknown};
  }
  return {.state = StreamVersion::State::kKnown, .key = *version};
}

void RegisteredVersionLookup::OnStreamBegan(const std::string& /*attempt_id*/,
                                            std::uint64_t /*version*/, TimePoint /*now*/) {}

}  // namespace savoryglade::gateway
