#include "wire/connection_codec.h"

#include <gtest/gtest.h>

namespace savoryglade::wire {
namespace {

constexpr char kKey[] = "fleet key of the tests";

Nonce MakeNonce(std::uint8_t seed) {
  Nonce nonce{};
  nonce.fill(seed);
  return nonce;
}

MessageT HeartbeatOf(std::uint64_t incarnation) {
  HeartbeatT heartbeat;
  heartbeat.incarnation = incarnation;
  return MakeMessage(std::move(heartbeat));
}

HelloT HelloOf(const std::string& daemon) {
  HelloT hello;
  hello.daemon = daemon;
  return hello;
}

// Both ends of a connection after the exchange of Hellos.
struct Pair {
  explicit Pair(std::uint8_t seed = 1)
      : dialer(kKey, Side::kDialer, MakeNonce(seed)),
        listener(kKey, Side::kListener, MakeNonce(seed + 1)) {
    listener.Append(dialer.SealHello(HelloOf("dialer")));
    dialer.Append(listener.SealHello(HelloOf("listener")));
    EXPECT_TRUE(listener.Next()->has_value());
    EXPECT_TRUE(dialer.Next()->has_value());
  }

  ConnectionCodec dialer;
  ConnectionCodec listener;
};

TEST(ConnectionCodec, TransfersMessagesInBothDirections) {
  Pair pair;
  EXPECT_FALSE(pair.listener.authenticated());
  pair.listener.Append(*pair.dialer.Seal(HeartbeatOf(7)));
  pair.dialer.Append(*pair.listener.Seal(HeartbeatOf(8)));
  EXPECT_EQ((*pair.listener.Next())->body.AsHeartbeat()->incarnation, 7U);
  EXPECT_EQ((*pair.dialer.Next())->body.AsHeartbeat()->incarnation, 8U);
  EXPECT_TRUE(pair.listener.authenticated());
}

// Guards against decoding a message before its last byte has been received.
TEST(ConnectionCodec, APartialFrameIsNotDecodedUntilItIsComplete) {
  Pair pair;
  const std::string frame = *pair.dialer.Seal(HeartbeatOf(7));
  for (std::size_t i = 0; i + 1 < frame.size(); ++i) {
    pair.listener.Append(frame.substr(i, 1));
    const auto next = pair.listener.Next();
    ASSERT_TRUE(next.has_value());
    ASSERT_FALSE(next->has_value());
  }
  pair.listener.Append(frame.substr(frame.size() - 1));
  EXPECT_TRUE(pair.listener.Next()->has_value());
}

// Guards against allocating memory for an announced payload that is never sent.
TEST(ConnectionCodec, AnOversizedLengthIsRejectedBeforeThePayloadArrives) {
  Pair pair;
  pair.listener.Append(*pair.dialer.Seal(HeartbeatOf(7)));
  ASSERT_TRUE(pair.listener.Next()->has_value());
  pair.listener.Append(std::string("\x01\x00\x10\x00", 4));
  EXPECT_EQ(pair.listener.Next().error().code, ErrorCode::kInvalid);
}

// Guards against an unauthenticated peer that makes the daemon buffer a megabyte per connection.
TEST(ConnectionCodec, BeforeAuthenticationALargeFrameIsRejected) {
  ConnectionCodec listener(kKey, Side::kListener, MakeNonce(1));
  listener.Append(std::string("\x01\x10\x00\x00", 4));
  EXPECT_EQ(listener.Next().error().code, ErrorCode::kInvalid);
}

// Guards against sending a payload for which the peer would close the connection.
TEST(ConnectionCodec, APayloadOverTheLimitIsRejected) {
  Pair pair;
  ConfigPushT push;
  push.document.assign(kLargestPayload, 'x');
  EXPECT_EQ(pair.dialer.Seal(MakeMessage(std::move(push))).error().code, ErrorCode::kInvalid);
}

// Guards against accepting a payload that was modified in transit, at any byte.
TEST(ConnectionCodec, ACorruptedByteIsDetectedAtAnyPosition) {
  const std::size_t size = Pair().dialer.Seal(HeartbeatOf(7))->size();
  for (std::size_t i = kLengthBytes; i < size; ++i) {
    Pair pair;
    std::string frame = *pair.dialer.Seal(HeartbeatOf(7));
    frame[i] = static_cast<char>(frame[i] ^ 1);
    pair.listener.Append(frame);
    ASSERT_EQ(pair.listener.Next().error().code, ErrorCode::kDenied) << i;
  }
}

// Guards against a frame that is accepted twice on its own connection.
TEST(ConnectionCodec, AReplayedFrameIsRejectedOnTheSameConnection) {
  Pair pair;
  const std::string frame = *pair.dialer.Seal(HeartbeatOf(7));
  pair.listener.Append(frame + frame);
  ASSERT_TRUE(pair.listener.Next()->has_value());
  EXPECT_EQ(pair.listener.Next().error().code, ErrorCode::kDenied);
}

// Guards against a recorded connection that is replayed to the same daemon.
TEST(ConnectionCodec, AReplayedConnectionIsNeverAuthenticated) {
  ConnectionCodec dialer(kKey, Side::kDialer, MakeNonce(1));
  ConnectionCodec first(kKey, Side::kListener, MakeNonce(2));
  ConnectionCodec second(kKey, Side::kListener, MakeNonce(3));
  const std::string hello = dialer.SealHello(HelloOf("dialer"));
  dialer.Append(first.SealHello(HelloOf("listener")));
  ASSERT_TRUE(dialer.Next()->has_value());
  const std::string recorded = hello + *dialer.Seal(HeartbeatOf(7));
  second.Append(recorded);
  ASSERT_TRUE(second.Next()->has_value());
  EXPECT_EQ(second.Next().error().code, ErrorCode::kDenied);
  EXPECT_FALSE(second.authenticated());
}

// Guards against accepting a frame that is reflected to its sender.
TEST(ConnectionCodec, AReflectedFrameIsRejected) {
  Pair pair;
  pair.dialer.Append(*pair.dialer.Seal(HeartbeatOf(7)));
  EXPECT_EQ(pair.dialer.Next().error().code, ErrorCode::kDenied);
  ConnectionCodec dialer(kKey, Side::kDialer, MakeNonce(1));
  dialer.Append(dialer.SealHello(HelloOf("dialer")));
  EXPECT_EQ(dialer.Next().error().code, ErrorCode::kDenied);
}

// Guards against accepting a daemon of another fleet, or any other process, as a peer.
TEST(ConnectionCodec, AnotherFleetKeyIsRejected) {
  ConnectionCodec stranger("another key", Side::kDialer, MakeNonce(1));
  ConnectionCodec listener(kKey, Side::kListener, MakeNonce(2));
  listener.Append(stranger.SealHello(HelloOf("dialer")));
  EXPECT_EQ(listener.Next().error().code, ErrorCode::kDenied);
}

// Guards against two versions of the daemon that misinterpret each other's messages.
TEST(ConnectionCodec, AnotherProtocolVersionIsRejectedWithBothVersionsNamed) {
  HelloT hello = HelloOf("dialer");
  hello.protocol = kProtocolVersion + 1;
  hello.nonce.assign(kNonceBytes, 1);
  // The payload is tagged as an older or newer daemon would tag it: with the same fleet key.
  ConnectionCodec dialer(kKey, Side::kDialer, MakeNonce(1));
  ConnectionCodec listener(kKey, Side::kListener, MakeNonce(2));
  listener.Append(dialer.SealPreparedHello(hello));
  const auto next = listener.Next();
  EXPECT_EQ(next.error().code, ErrorCode::kInvalid);
  EXPECT_NE(next.error().message.find("version 2, expected 1"), std::string::npos);
}

// Guards against using a payload that is not a valid FlatBuffer although its tag is valid.
TEST(ConnectionCodec, AnInvalidPayloadIsRejected) {
  EXPECT_FALSE(Decode("not a FlatBuffer").has_value());
  EXPECT_FALSE(Decode("").has_value());
  const std::string payload = Encode(HeartbeatOf(7));
  for (std::size_t size = 0; size + 1 < payload.size(); ++size) {
    const auto decoded = Decode(std::string_view(payload).substr(0, size));
    EXPECT_FALSE(decoded.has_value()) << size;
  }
}

// Guards against messages before or without a Hello, and against a second Hello.
TEST(ConnectionCodec, OnlyTheFirstFrameMayBeAHello) {
  Pair pair;
  pair.listener.Append(*pair.dialer.Seal(MakeMessage(HelloOf("again"))));
  EXPECT_EQ(pair.listener.Next().error().code, ErrorCode::kInvalid);
}

}  // namespace
}  // namespace savoryglade::wire
