#include "daemon/config_holder.h"

namespace savoryglade {

ConfigHolder::Snapshot ConfigHolder::Get() const {
  const std::lock_guard lock(mutex_);
  return snapshot_;
}

bool ConfigHolder::ApplyIfNewer(Configuration configuration) {
  const std::lock_guard publish_lock(publish_mutex_);
  Snapshot snapshot;
  {
    const std::lock_guard lock(mutex_);
    if (configuration.version <= snapshot_->version) {
      return false;
    }
    snapshot = std::make_shared<const Configuration>(std::move(configuration));
    snapshot_ = snapshot;
  }
  for (const Listener& listener : listeners_) {
    listener(snapshot);
  }
  return true;
}

void ConfigHolder::Subscribe(Listener listener) {
  const std::lock_guard publish_lock(publish_mutex_);
  listeners_.push_back(std::move(listener));
}

}  // namespace savoryglade
