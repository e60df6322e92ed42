#include "emulator/stream_version_log.h"

namespace savoryglade {

void StreamVersionLog::OnRunStarted(const std::string& stream, const std::string& version,
                                    bool resumes) {
  const std::lock_guard lock(mutex_);
  if (!resumes) {
    begun_by_[stream] = version;
    return;
  }
  ++resumptions_;
  // A stream that none of the workers began counts as begun by the first one that continues it.
  const auto [found, is_new] = begun_by_.try_emplace(stream, version);
  if (!is_new && found->second != version) {
    mixed_streams_.push_back(
        {.stream = stream, .begun_by = found->second, .continued_by = version});
  }
}

std::string StreamVersionLog::BegunBy(const std::string& stream) const {
  const std::lock_guard lock(mutex_);
  const auto found = begun_by_.find(stream);
  return found == begun_by_.end() ? std::string() : found->second;
}

int StreamVersionLog::resumptions() const {
  const std::lock_guard lock(mutex_);
  return resumptions_;
}

std::vector<MixedStream> StreamVersionLog::mixed_streams() const {
  const std::lock_guard lock(mutex_);
  return mixed_streams_;
}

}  // namespace savoryglade
