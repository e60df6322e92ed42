#pragma once

#include <boost/beast/core/tcp_stream.hpp>
#include <functional>
#include <memory>

namespace savoryglade {

// Learns that the peer of a connection has gone while nothing is read from it: it closed its side,
// or the connection broke. The watch ends when the peer sends further data, which belongs to its
// next request. Used on the worker of the connection only.
class PeerDisconnectMonitor {
 public:
  // Starts to watch. The stream must outlive the watch.
  explicit PeerDisconnectMonitor(boost::beast::tcp_stream& stream);
  ~PeerDisconnectMonitor();
  PeerDisconnectMonitor(const PeerDisconnectMonitor&) = delete;
  PeerDisconnectMonitor& operator=(const PeerDisconnectMonitor&) = delete;

  bool disconnected() const;

  // Calls the function once when the peer goes, or at once if it has gone. Replaces the function
  // of an earlier call; an empty one removes it.
  void OnDisconnect(std::function<void()> callback);

 private:
  struct State;

  static void Wait(const std::shared_ptr<State>& state);

  std::shared_ptr<State> state_;
};

}  // namespace savoryglade
