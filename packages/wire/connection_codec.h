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
// Largest payload in bytes before the peer is authenticated, which limits what an unauthenticated
// peer can make the daemon buffer.
constexpr std::size_t kLargestUnauthenticatedPayload = 4 * 1024;
constexpr std::size_t kLengthBytes = 4;
constexpr std::size_t kTagBytes = 16;
constexpr std::size_t kNonceBytes = 16;

using Nonce = std::array<std::uint8_t, kNonceBytes>;

// End of a connection. The key of each direction depends on it, so a frame that is reflected to its
// sender is rejected.
enum class Side : std::uint8_t { kDialer, kListener };

// Serializes a message into a payload.
std::string Encode(const MessageT& message);

// Verifies and parses a payload. The error code is kInvalid.
Result<MessageT> Decode(std::string_view payload);

// Returns a message with a body of one of the body types, e.g. MakeMessage(HeartbeatT{...}).
template <typename Body>
MessageT MakeMessage(Body body) {
  MessageT message;
  message.body.Set(std::move(body));
  return message;
}

// Encodes messages into authenticated frames and decodes them, for one end of one connection.
//
// A frame consists of the payload length (4 bytes, little-endian), a tag of 16 bytes and the
// payload. The tag is a truncated HMAC-SHA-256 over the sequence number and the payload. The Hello
// of each side contains a fresh nonce and is tagged with a key derived from the fleet key; all
// later frames are tagged with a key derived from the fleet key, both nonces and the direction. A
// peer that replays a Hello therefore can't send any further valid frame.
class ConnectionCodec {
 public:
  // The nonce must be random and must never have been used before.
  ConnectionCodec(std::string fleet_key, Side side, const Nonce& nonce);

  // Returns the frame of this end's Hello, after setting its protocol version and nonce.
  std::string SealHello(HelloT hello) const;
  // Returns the frame of a Hello whose protocol version and nonce are already set.
  std::string SealPreparedHello(const HelloT& hello) const;

  // Returns the next frame to send. The peer's Hello must have been received. The error code is
  // kInvalid for a payload that is too large.
  Result<std::string> Seal(const MessageT& message);

  // Appends received bytes.
  void Append(std::string_view bytes) { buffer_.append(bytes); }

  // Returns the next complete message, or nothing if more bytes are needed. After an error the
  // connection must be closed. The error codes are kInvalid and kDenied (wrong tag).
  Result<std::optional<MessageT>> Next();

  // Returns true if the peer's Hello has been received, so that Seal may be called.
  bool has_peer_hello() const { return has_peer_hello_; }
  // Returns true if the peer has proven that it holds the fleet key and that this connection is not
  // a replay.
  bool authenticated() const { return frames_received_ > 0; }

 private:
  std::string DirectionKey(Side sender) const;
  Result<std::optional<MessageT>> ProcessPayload(std::string_view payload);

  std::string fleet_key_;
  Side side_;
  Nonce nonce_;
  std::string sending_key_;
  std::string receiving_key_;
  std::uint64_t frames_sent_ = 0;
  std::uint64_t frames_received_ = 0;
  bool has_peer_hello_ = false;
  Nonce peer_nonce_{};
  std::string buffer_;
};

}  // namespace savoryglade::wire
