#pragma once

#include <boost/beast/core/tcp_stream.hpp>
#include <functional>
#include <memory>

namespace savoryglade {

// Detects that the peer of a connection disconnects while nothing is read from it: the peer closes
// its side, or the connection fails. Used on the worker of the connection only.
class PeerDisconnectMonitor {
 public:
  // Starts monitoring. The stream must outlive the monitor.
  explicit PeerDisconnectMonitor(boost::beast::tcp_stream& stream);
  ~PeerDisconnectMonitor();
  PeerDisconnectMonitor(const PeerDisconnectMonitor&) = delete;
  PeerDisconnectMonitor& operator=(const PeerDisconnectMonitor&) = delete;

  // Returns true if a disconnect has been detected. The event loop may not have run since it
  // arrived; see Check.
  bool disconnected() const;

  // Asks the kernel whether the peer has disconnected, and calls the function of OnDisconnect if
  // so. Sees a close that has arrived at once, also behind bytes that nobody has read. To be called
  // directly before an action that must not follow a disconnect.
  bool Check();

  // Calls the function once when the peer disconnects, or immediately if it already has. Replaces
  // the function of an earlier call; an empty one removes it.
  void OnDisconnect(std::function<void()> callback);

 private:
  struct State;

  static void WaitForInput(const std::shared_ptr<State>& state);
  static void CheckLater(const std::shared_ptr<State>& state);

  std::shared_ptr<State> state_;
};

}  // namespace savoryglade
