#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <utility>

namespace savoryglade {

// Why a request is ended from outside.
enum class InterruptCause { kNone, kCallerGone, kDrainLimit };

// Ends one request from outside. Used on the worker of the request only.
class Interrupt {
 public:
  InterruptCause cause() const { return cause_; }
  bool raised() const { return cause_ != InterruptCause::kNone; }

  // Sets the cause, if there is none yet, and calls the callback in force.
  void Raise(InterruptCause cause) {
    if (raised()) {
      return;
    }
    cause_ = cause;
    if (callback_) {
      std::exchange(callback_, nullptr)();
    }
  }

  // Sets what ends the present wait of the request; empty if nothing may end it.
  void SetCallback(std::function<void()> callback) { callback_ = std::move(callback); }

 private:
  InterruptCause cause_ = InterruptCause::kNone;
  std::function<void()> callback_;
};

// Sets the callback of an interrupt for a scope, and calls it at once if the interrupt was raised.
class InterruptScope {
 public:
  InterruptScope(Interrupt& interrupt, std::function<void()> callback) : interrupt_(interrupt) {
    if (interrupt.raised()) {
      callback();
    } else {
      interrupt.SetCallback(std::move(callback));
    }
  }
  ~InterruptScope() { interrupt_.SetCallback(nullptr); }
  InterruptScope(const InterruptScope&) = delete;
  InterruptScope& operator=(const InterruptScope&) = delete;

 private:
  Interrupt& interrupt_;
};

// The requests in flight of one daemon. Safe to use from all workers.
class ActiveRequests {
 public:
  // Keeps one request in the list while it is in flight.
  class Registration {
   public:
    Registration(ActiveRequests& requests, const boost::asio::any_io_executor& executor,
                 const std::shared_ptr<Interrupt>& interrupt);
    ~Registration();
    Registration(const Registration&) = delete;
    Registration& operator=(const Registration&) = delete;

   private:
    ActiveRequests& requests_;
    std::uint64_t id_;
  };

  // Raises the interrupt of all requests, and of those that come later, on their workers.
  void InterruptAll(InterruptCause cause);

  // Forgets all requests; to be called when the workers have stopped.
  void Clear();

 private:
  struct Entry {
    boost::asio::any_io_executor executor;
    std::weak_ptr<Interrupt> interrupt;
  };

  std::mutex mutex_;
  InterruptCause raised_ = InterruptCause::kNone;
  std::uint64_t next_id_ = 1;
  std::map<std::uint64_t, Entry> entries_;
};

}  // namespace savoryglade
