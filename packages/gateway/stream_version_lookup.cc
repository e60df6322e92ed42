#include "gateway/stream_version_lookup.h"

#include <string>

namespace savoryglade::gateway {

StreamVersion DirectoryVersionLookup::Find(const Call& call, TimePoint now) {
  if (!call.resumes_stream()) {
    return {.state = StreamVersion::State::kNotResumed};
  }
  const StreamOrigin origin =
      fleet_.stream_versions.Find(call.metadata.resumed_attempt, call.service, now);
  if (!origin.known()) {
    return {.state = StreamVersion::State::kUnknown};
  }
  return {.state = StreamVersion::State::kKnown, .key = origin.version};
}

void DirectoryVersionLookup::OnStreamBegan(const Call& call, std::uint64_t version, TimePoint now) {
  // Callers name the attempt that brought the first event, however often they resume the stream.
  const std::string& attempt =
      call.resumes_stream() ? call.metadata.resumed_attempt : call.metadata.attempt_id;
  if (!attempt.empty()) {
    fleet_.stream_versions.OnStreamBegan(attempt, call.service, version, now);
  }
}

}  // namespace savoryglade::gateway
