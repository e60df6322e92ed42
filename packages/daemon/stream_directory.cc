#include "daemon/stream_directory.h"

namespace savoryglade {

namespace asio = boost::asio;

void InMemoryStreamDirectory::Put(const StreamRecord& record) {
  const std::lock_guard lock(mutex_);
  if (!records_.insert_or_assign(record.key_digest, record).second) {
    return;
  }
  order_.push_back(record.key_digest);
  if (order_.size() > capacity_) {
    records_.erase(order_.front());
    order_.pop_front();
  }
}

asio::awaitable<std::optional<StreamRecord>> InMemoryStreamDirectory::Find(std::string key_digest) {
  const std::lock_guard lock(mutex_);
  const auto found = records_.find(key_digest);
  co_return found == records_.end() ? std::nullopt : std::optional(found->second);
}

asio::awaitable<bool> InMemoryStreamDirectory::Confirm(std::string key_digest) {
  const std::lock_guard lock(mutex_);
  co_return records_.contains(key_digest);
}

}  // namespace savoryglade
