#include "wire/connection_codec.h"

#include <fmt/format.h>
#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>

#include <algorithm>
#include <utility>

namespace savoryglade::wire {
namespace {

constexpr std::size_t kDigestSize = 32;

std::string EncodeLittleEndian(std::uint64_t number, std::size_t size) {
  std::string bytes;
  for (std::size_t i = 0; i < size; ++i) {
    bytes.push_back(static_cast<char>((number >> (8 * i)) & 0xff));
  }
  return bytes;
}

std::size_t ReadLength(std::string_view bytes) {
  std::size_t length = 0;
  for (std::size_t i = 0; i < kLengthBytes; ++i) {
    length |= static_cast<std::size_t>(static_cast<std::uint8_t>(bytes[i])) << (8 * i);
  }
  return length;
}

std::string HmacSha256(std::string_view key, std::string_view text) {
  std::string digest(kDigestSize, '\0');
  unsigned size = 0;
  HMAC(EVP_sha256(), key.data(), static_cast<int>(key.size()),
       reinterpret_cast<const unsigned char*>(text.data()), text.size(),
       reinterpret_cast<unsigned char*>(digest.data()), &size);
  return digest;
}

std::string Tag(std::string_view key, std::uint64_t sequence, std::string_view payload) {
  std::string text = EncodeLittleEndian(sequence, 8);
  text.append(payload);
  return HmacSha256(key, text).substr(0, kTagBytes);
}

std::string Frame(std::string_view key, std::uint64_t sequence, std::string_view payload) {
  std::string frame = EncodeLittleEndian(payload.size(), kLengthBytes);
  frame += Tag(key, sequence, payload);
  frame.append(payload);
  return frame;
}

std::string ToBytes(const Nonce& nonce) { return {nonce.begin(), nonce.end()}; }

std::string HelloKey(const std::string& fleet_key, Side sender) {
  return HmacSha256(fleet_key,
                    sender == Side::kDialer ? "savoryglade hello dialer" : "savoryglade hello");
}

Side PeerSide(Side side) { return side == Side::kDialer ? Side::kListener : Side::kDialer; }

tl::unexpected<Error> InvalidError(std::string message) {
  return tl::make_unexpected(Error{.code = ErrorCode::kInvalid, .message = std::move(message)});
}

}  // namespace

std::string Encode(const MessageT& message) {
  flatbuffers::FlatBufferBuilder builder;
  builder.Finish(Message::Pack(builder, &message));
  return {reinterpret_cast<const char*>(builder.GetBufferPointer()), builder.GetSize()};
}

Result<MessageT> Decode(std::string_view payload) {
  const auto* data = reinterpret_cast<const std::uint8_t*>(payload.data());
  flatbuffers::Verifier verifier(data, payload.size());
  if (!verifier.VerifyBuffer<Message>(nullptr)) {
    return InvalidError("The frame contains no valid message.");
  }
  const Message* message = flatbuffers::GetRoot<Message>(data);
  // Body types of later protocol versions pass verification but can't be unpacked.
  if (message->body_type() == Body_NONE || message->body_type() > Body_MAX) {
    return InvalidError("The frame contains a message of an unknown type.");
  }
  MessageT unpacked;
  message->UnPackTo(&unpacked);
  return unpacked;
}

ConnectionCodec::ConnectionCodec(std::string fleet_key, Side side, const Nonce& nonce)
    : fleet_key_(std::move(fleet_key)), side_(side), nonce_(nonce) {}

std::string ConnectionCodec::SealHello(HelloT hello) const {
  hello.protocol = kProtocolVersion;
  hello.nonce.assign(nonce_.begin(), nonce_.end());
  return SealPreparedHello(hello);
}

std::string ConnectionCodec::SealPreparedHello(const HelloT& hello) const {
  return Frame(HelloKey(fleet_key_, side_), 0, Encode(MakeMessage(hello)));
}

std::string ConnectionCodec::DirectionKey(Side sender) const {
  const Nonce& dialer = side_ == Side::kDialer ? nonce_ : peer_nonce_;
  const Nonce& listener = side_ == Side::kDialer ? peer_nonce_ : nonce_;
  const std::string label =
      sender == Side::kDialer ? "savoryglade from dialer" : "savoryglade from listener";
  return HmacSha256(fleet_key_, label + ToBytes(dialer) + ToBytes(listener));
}

Result<std::string> ConnectionCodec::Seal(const MessageT& message) {
  const std::string payload = Encode(message);
  if (payload.size() > kLargestPayload) {
    return InvalidError(fmt::format("The message has {} bytes, more than the limit of {}.",
                                    payload.size(), kLargestPayload));
  }
  return Frame(sending_key_, frames_sent_++, payload);
}

Result<std::optional<MessageT>> ConnectionCodec::Next() {
  if (buffer_.size() < kLengthBytes) {
    return std::nullopt;
  }
  const std::size_t length = ReadLength(buffer_);
  const std::size_t limit = authenticated() ? kLargestPayload : kLargestUnauthenticatedPayload;
  if (length > limit) {
    return InvalidError(fmt::format(
        "The frame has a payload of {} bytes, more than the limit of {}.", length, limit));
  }
  const std::size_t frame_size = kLengthBytes + kTagBytes + length;
  if (buffer_.size() < frame_size) {
    return std::nullopt;
  }
  const std::string payload = buffer_.substr(kLengthBytes + kTagBytes, length);
  const std::string key = has_peer_hello_ ? receiving_key_ : HelloKey(fleet_key_, PeerSide(side_));
  const std::string expected = Tag(key, frames_received_, payload);
  if (CRYPTO_memcmp(expected.data(), buffer_.data() + kLengthBytes, kTagBytes) != 0) {
    return tl::make_unexpected(Error{.code = ErrorCode::kDenied,
                                     .message = "The frame has an invalid authentication tag."});
  }
  buffer_.erase(0, frame_size);
  return ProcessPayload(payload);
}

Result<std::optional<MessageT>> ConnectionCodec::ProcessPayload(std::string_view payload) {
  Result<MessageT> message = Decode(payload);
  if (!message) {
    return tl::make_unexpected(message.error());
  }
  const HelloT* hello = message->body.AsHello();
  if (has_peer_hello_ == (hello != nullptr)) {
    return InvalidError("The first frame of a connection, and no other, must be a Hello.");
  }
  if (has_peer_hello_) {
    ++frames_received_;
    return std::optional<MessageT>(std::move(*message));
  }
  if (hello->protocol != kProtocolVersion) {
    return InvalidError(fmt::format("The peer uses protocol version {}, expected {}.",
                                    hello->protocol, kProtocolVersion));
  }
  if (hello->nonce.size() != kNonceBytes) {
    return InvalidError("The Hello has a nonce of the wrong size.");
  }
  std::copy(hello->nonce.begin(), hello->nonce.end(), peer_nonce_.begin());
  has_peer_hello_ = true;
  sending_key_ = DirectionKey(side_);
  receiving_key_ = DirectionKey(PeerSide(side_));
  return std::optional<MessageT>(std::move(*message));
}

}  // namespace savoryglade::wire
