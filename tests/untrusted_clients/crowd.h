#pragma once

#include <cstddef>
#include <memory>
#include <string>
#include <vector>

#include "net/endpoint.h"

namespace savoryglade {

// What each client of a crowd sends. It never reads.
struct CrowdText {
  // Sent first, then `filler` is repeated up to `filler_bytes`.
  std::string head;
  std::string filler;
  std::size_t filler_bytes = 0;
  // How often head and filler are sent on a connection.
  int repeats = 1;
  // Most bytes of one write.
  std::size_t piece = 256 * 1024;
};

// Clients that send at once and leave their connections open. Used by one thread.
class Crowd {
 public:
  Crowd(const Endpoint& endpoint, int clients, CrowdText text);
  ~Crowd();
  Crowd(const Crowd&) = delete;
  Crowd& operator=(const Crowd&) = delete;

  // Sends until each client has sent everything, or the server takes nothing more of any.
  void Send();
  // Closes every second connection.
  void CloseHalf();

 private:
  struct Client {
    int socket = -1;
    std::size_t offset = 0;
  };

  // Writes one piece. Returns false if the client has ended, is done, or must wait.
  bool SendPiece(Client& client);
  std::size_t TotalBytes() const { return static_cast<std::size_t>(text_.repeats) * RoundBytes(); }
  std::size_t RoundBytes() const { return text_.head.size() + text_.filler_bytes; }

  CrowdText text_;
  std::vector<Client> clients_;
};

}  // namespace savoryglade
