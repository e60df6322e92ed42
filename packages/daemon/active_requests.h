#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <utility>

namespace savoryglade {

// Why a request in flight, or one of its attempts, is interrupted.
enum class InterruptCause {
  kNone,
  kCallerGone,
  kDrainLimit,
  // The upstream of the attempt is silent, and gone or no longer needed.
  kUpstreamSilent,
  // Another attempt of the request goes on.
  kSuperseded,
};

// Interrupts one request in flight or one of its attempts. Used on the worker of the request only.
class Interrupt {
 public:
  InterruptCause cause() const { return cause_; }
  bool raised() const { return cause_ != InterruptCause::kNone; }

  // Sets the cause and runs the current callback. Does nothing if a cause is already set.
  void Raise(InterruptCause cause) {
    if (raised()) {
      return;
    }
    cause_ = cause;
    if (callback_) {
      std::exchange(callback_, nullptr)();
    }
  }

  // Sets the function that looks for a cause that the event loop has not delivered yet.
  void SetProbe(std::function<void()> probe) { probe_ = std::move(probe); }
  // Looks for such a cause, and returns true if one is set. To be called directly before a send,
  // which must not follow the cause.
  bool Check() {
    if (probe_) {
      probe_();
    }
    return raised();
  }

  // Sets the callback that ends the current wait of the request; empty if it can't be ended.
  void SetCallback(std::function<void()> callback) { callback_ = std::move(callback); }

 private:
  InterruptCause cause_ = InterruptCause::kNone;
  std::function<void()> callback_;
  std::function<void()> probe_;
};

// Sets the callback of an interrupt for a scope. Runs it at once if the interrupt is raised.
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
  // Registers one request while it is in flight.
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

  // Raises the interrupts of all current and later requests, on the workers of the requests.
  void InterruptAll(InterruptCause cause);

  // Discards all requests; to be called when the workers have stopped.
  void Clear();

 private:
  struct Entry {
    boost::asio::any_io_executor executor;
    std::weak_ptr<Interrupt> interrupt;
  };

  std::mutex mutex_;
  // Cause with which requests are interrupted on registration; kNone until InterruptAll is called.
  InterruptCause interrupt_cause_ = InterruptCause::kNone;
  std::uint64_t next_id_ = 1;
  std::map<std::uint64_t, Entry> entries_;
};

}  // namespace savoryglade
