#include "daemon/active_requests.h"

#include <boost/asio.hpp>

namespace savoryglade {
namespace {

void PostRaise(const boost::asio::any_io_executor& executor, std::weak_ptr<Interrupt> interrupt,
               InterruptCause cause) {
  boost::asio::post(executor, [interrupt = std::move(interrupt), cause] {
    if (const auto locked = interrupt.lock()) {
      locked->Raise(cause);
    }
  });
}

}  // namespace

ActiveRequests::Registration::Registration(ActiveRequests& requests,
                                           const boost::asio::any_io_executor& executor,
                                           const std::shared_ptr<Interrupt>& interrupt)
    : requests_(requests) {
  const std::lock_guard lock(requests.mutex_);
  id_ = requests.next_id_++;
  requests.entries_.emplace(id_, Entry{.executor = executor, .interrupt = interrupt});
  if (requests.raised_ != InterruptCause::kNone) {
    PostRaise(executor, interrupt, requests.raised_);
  }
}

ActiveRequests::Registration::~Registration() {
  const std::lock_guard lock(requests_.mutex_);
  requests_.entries_.erase(id_);
}

void ActiveRequests::InterruptAll(InterruptCause cause) {
  const std::lock_guard lock(mutex_);
  raised_ = cause;
  for (const auto& [id, entry] : entries_) {
    PostRaise(entry.executor, entry.interrupt, cause);
  }
}

void ActiveRequests::Clear() {
  const std::lock_guard lock(mutex_);
  entries_.clear();
}

}  // namespace savoryglade
