#pragma once

#include <messages_generated.h>

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "core/error.h"

namespace savoryglade::wire {

constexpr std::uint32_t kProtocolVersion = 1;
// Largest payload of a frame in bytes.
constexpr std::size_t kLargestPayload = 1024 * 1024;
// Largest payload before the peer has proven that it holds the fleet key, so that a stranger can't
// make the daemon buffer much.
constexpr std::size_t kLargestUnauthenticatedPayload = 4 * 1024;
constexpr std::size_t kLengthBytes = 4;
constexpr std::size_t kTagBytes = 16;
constexpr std::size_t kNonceBytes = 16;

using Nonce = std::array<std::uint8_t, kNonceBytes>;

// Which end of a connection this is. The key of each direction depends on it, so a frame can't be
// sent back to its sender.
enum class Side : std::uint8_t { kDialer, kListener };

// Returns the payload of a message.
std::string Encode(const MessageT& message);

// Parses a payload after it has been verified. The error code is kInvalid.
Result<MessageT> Decode(std::string_view payload);

// Makes a message of one of the body types, e.g. MakeMessage(HeartbeatT{...}).
template <typename Body>
MessageT MakeMessage(Body body) {
  MessageT message;
  message.body.Set(std::move(body));
  return message;
}

// Turns messages into authenticated frames and back, for one end of one connection.
//
// A frame is a length of 4 bytes (little-endian, of the payload), a tag of 16 bytes and the
// payload. The tag is HMAC-SHA-256, truncated, over the sequence number and the payload. The Hello
// of each side carries a fresh nonce and is tagged with the fleet key; all later frames are tagged
// with a key that is derived from the fleet key, both nonces and the direction. A replayed Hello
// therefore leads to a connection on which the replaying side can send nothing.
class ConnectionCodec {
 public:
  // The nonce must be random and never used before.
  ConnectionCodec(std::string fleet_key, Side side, const Nonce& nonce);

  // Returns the frame of our Hello; protocol and nonce are filled in.
  std::string SealHello(HelloT hello) const;
  // Returns the frame of a Hello whose protocol and nonce are set already.
  std::string SealHelloOfProtocol(const HelloT& hello) const;

  // Returns the next frame to send. The peer's Hello must have been received. The error code is
  // kInvalid for a payload that is too large.
  Result<std::string> Seal(const MessageT& message);

  // Adds bytes that have arrived.
  void Append(std::string_view bytes) { buffer_.append(bytes); }

  // Returns the next whole message, or nothing until more bytes arrive. After an error the
  // connection must be closed. The error codes are kInvalid and kDenied (wrong tag).
  Result<std::optional<MessageT>> Next();

  // Peer's Hello has been received, so Seal may be called.
  bool has_peer_hello() const { return has_peer_hello_; }
  // The peer has proven that it holds the fleet key and that this connection is not a replay.
  bool authenticated() const { return received_ > 0; }

 private:
  std::string DirectionKey(Side sender) const;
  Result<std::optional<MessageT>> Accept(std::string_view payload);

  std::string fleet_key_;
  Side side_;
  Nonce nonce_;
  std::string sending_key_;
  std::string receiving_key_;
  std::uint64_t sent_ = 0;
  std::uint64_t received_ = 0;
  bool has_peer_hello_ = false;
  Nonce peer_nonce_{};
  std::string buffer_;
};

}  // namespace savoryglade::wire
