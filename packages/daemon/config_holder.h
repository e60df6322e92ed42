#pragma once

#include <functional>
#include <memory>
#include <mutex>
#include <utility>
#include <vector>

#include "config/configuration.h"

namespace savoryglade {

// Holds the active configuration. Readers receive an immutable snapshot; versions only increase.
class ConfigHolder {
 public:
  using Snapshot = std::shared_ptr<const Configuration>;
  using Listener = std::function<void(const Snapshot&)>;

  // Returns the active snapshot, which is never null.
  Snapshot Get() const;

  // Activates a configuration and notifies the listeners if its version is higher than the active
  // one. Returns false otherwise.
  bool ApplyIfNewer(Configuration configuration);

  // Registers a listener that is called with each later snapshot, in order of version.
  void Subscribe(Listener listener);

 private:
  mutable std::mutex mutex_;
  Snapshot snapshot_ = std::make_shared<const Configuration>();
  // Keeps notifications in order of version without holding the lock that readers acquire.
  std::mutex publish_mutex_;
  std::vector<Listener> listeners_;
};

}  // namespace savoryglade
