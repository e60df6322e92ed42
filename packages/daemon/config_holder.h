#pragma once

#include <functional>
#include <memory>
#include <mutex>
#include <utility>
#include <vector>

#include "config/configuration.h"

namespace savoryglade {

// Holds the configuration in force. Readers get an immutable snapshot; versions only rise.
class ConfigHolder {
 public:
  using Snapshot = std::shared_ptr<const Configuration>;
  using Listener = std::function<void(const Snapshot&)>;

  // Returns the snapshot in force, never null.
  Snapshot Get() const;

  // Puts a snapshot in force if its version is higher, and tells the listeners. Returns false
  // otherwise.
  bool ApplyIfNewer(Configuration configuration);

  // Calls the listener with each later snapshot, in order of their versions.
  void Subscribe(Listener listener);

 private:
  mutable std::mutex mutex_;
  Snapshot snapshot_ = std::make_shared<const Configuration>();
  // Keeps notifications in order of the versions without holding the lock that readers take.
  std::mutex publish_mutex_;
  std::vector<Listener> listeners_;
};

}  // namespace savoryglade
