#include <string>
#include <string_view>

#include "gtest/gtest.h"
#include "tests/daemon/daemon_fixture.h"

namespace savoryglade {
namespace {

constexpr int kTokens = 10;
constexpr std::size_t kHalf = 5;
constexpr std::string_view kKey = "Idempotency-Key: open-1\r\n";

std::string Raw(std::string_view header, std::string_view body = {}) {
  return std::string(header) + "\r\n\r\n" + std::string(body);
}

std::string ChatBody(std::string_view body) {
  return MakePlainRequest("POST", "/v1/chat/completions", "", body);
}

// Guards against input of one caller that disturbs the request of another, or stays unanswered.
TEST(LimitsTest, MalformedInputIsAnsweredAndDisturbsNobody) {
  struct Case {
    std::string name;
    std::string input;
    unsigned status;
    std::string reason;
  };
  const std::string chunked =
      "POST /orders/1 HTTP/1.1\r\nAuthorization: Bearer key\r\nTransfer-Encoding: chunked";
  const std::string long_header(20'000, 'x');
  const Case cases[] = {
      {"no HTTP", "\x16\x03\x01 hello\r\n\r\n", 400, "malformed_request"},
      {"bad version", Raw("GET / HTTP/9.9"), 400, "malformed_request"},
      {"header without colon", Raw("GET / HTTP/1.1\r\nnonsense"), 400, "malformed_request"},
      {"two lengths", Raw("POST /orders/1 HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 2", "a"),
       400, "malformed_request"},
      {"negative length", Raw("POST /orders/1 HTTP/1.1\r\nContent-Length: -1"), 400,
       "malformed_request"},
      {"length and chunks", Raw(chunked + "\r\nContent-Length: 3", "0\r\n\r\n"), 400,
       "malformed_request"},
      {"bad chunk size", Raw(chunked, "zz\r\nabc\r\n0\r\n\r\n"), 400, "malformed_request"},
      {"huge chunk size", Raw(chunked, "fffffffffffffffff\r\n"), 400, "malformed_request"},
      {"cut chunked body", Raw(chunked, "5\r\nab"), 400, "malformed_request"},
      {"cut body", Raw("POST /orders/1 HTTP/1.1\r\nContent-Length: 10", "abc"), 400,
       "malformed_request"},
      {"large header", Raw("GET / HTTP/1.1\r\nX-Long: " + long_header), 431, "request_too_large"},
      {"large body", Raw("POST /orders/1 HTTP/1.1\r\nContent-Length: 99999999"), 413,
       "request_too_large"},
      {"large chunk", Raw(chunked, "5f5e100\r\nabc"), 413, "request_too_large"},
      {"no JSON", ChatBody("{\"model\":"), 400, "malformed_request"},
      {"JSON of another type", ChatBody("[1]"), 400, "malformed_request"},
      {"deep JSON", ChatBody(std::string(5000, '[')), 400, "malformed_request"},
      {"invalid UTF-8", ChatBody("{\"model\":\"\xff\xfe\",\"messages\":[]}"), 400,
       "malformed_request"},
      {"negative tokens", ChatBody(R"({"model":"assistant","messages":[],"max_tokens":-1})"), 400,
       "malformed_request"},
      {"stream of another type", ChatBody(R"({"model":"assistant","messages":[],"stream":"yes"})"),
       400, "malformed_request"},
      {"key with a quote", MakeChatRequest(1, "Idempotency-Key: a\"b\r\n"), 400,
       "malformed_request"},
      {"key too long", MakeChatRequest(1, "Idempotency-Key: " + std::string(129, 'k') + "\r\n"),
       400, "malformed_request"},
      {"event id of another key",
       MakeChatRequest(1, "Idempotency-Key: a\r\nLast-Event-ID: b:1\r\n"), 400,
       "malformed_request"},
      {"event id without number",
       MakeChatRequest(1, "Idempotency-Key: a\r\nLast-Event-ID: a:x\r\n"), 400,
       "malformed_request"},
      {"unknown key", Raw("GET /orders/1 HTTP/1.1\r\nAuthorization: Bearer other"), 401,
       "unknown_key"},
  };
  const std::string expected = ReferenceStream(kTokens, kKey);
  EngineServer engine;
  const auto daemon = StartDaemon({.engines = {engine.endpoint}});
  engine.engine.SetFault(EngineFault::kStall, kHalf);
  CallerConnection open(daemon->callers_endpoint());
  open.Send(MakeChatRequest(kTokens, kKey));
  open.ReadUntilTokenCount(kHalf);
  for (const Case& test : cases) {
    CallerConnection caller(daemon->callers_endpoint());
    caller.Send(test.input);
    caller.ShutdownSend();
    EXPECT_TRUE(caller.ReadAll()) << test.name;
    EXPECT_EQ(caller.status(), test.status) << test.name;
    EXPECT_EQ(caller.Header("Savoryglade-Reason"), test.reason) << test.name;
    EXPECT_EQ(caller.Header("Savoryglade-Verdict"), "not_run") << test.name;
  }
  engine.engine.SetFault(EngineFault::kNone);
  EXPECT_TRUE(open.ReadAll());
  EXPECT_EQ(open.body(), expected);
}

// Guards against callers that use up all connections without an answer to those that come later.
TEST(LimitsTest, ConnectionsBeyondTheLimitAreRefused) {
  EngineServer engine;
  const auto daemon = StartDaemon({.engines = {engine.endpoint}, .limits = {.connections = 2}});
  CallerConnection first(daemon->callers_endpoint());
  CallerConnection second(daemon->callers_endpoint());
  // Their answers show that both have been accepted.
  for (CallerConnection* caller : {&first, &second}) {
    caller->Send(MakeChatRequest(1));
    EXPECT_TRUE(caller->ReadAll());
  }
  CallerConnection third(daemon->callers_endpoint());
  EXPECT_TRUE(third.ReadAll());
  EXPECT_EQ(third.status(), 503U);
  EXPECT_EQ(third.Header("Savoryglade-Reason"), "too_many_connections");
  EXPECT_EQ(third.Header("Savoryglade-Verdict"), "not_run");
}

// Guards against senders that hold a connection for ever with half a request.
TEST(LimitsTest, SlowSenderLosesItsConnection) {
  const auto daemon = StartDaemon({.limits = {.read_timeout = 50ms}});
  CallerConnection slow(daemon->callers_endpoint());
  slow.Send("POST /orders/1 HTTP/1.1\r\nContent-Le");
  EXPECT_FALSE(slow.ReadAll());
}

// Guards against a reader that stops reading and so holds a stream, its slot and its buffers.
TEST(LimitsTest, ReaderThatStopsReadingLosesItsConnection) {
  // Enough tokens to fill all buffers between engine and caller.
  EngineServer engine({.time_to_first_token = 0ms, .step_interval = 100us});
  const auto daemon =
      StartDaemon({.engines = {engine.endpoint}, .limits = {.write_timeout = 100ms}});
  CallerConnection slow(daemon->callers_endpoint());
  slow.Send(MakeChatRequest(1'000'000));
  Counter& gone =
      daemon->metrics().GetCounter("savoryglade_callers_gone_total", {{"stage", "running"}});
  WaitFor([&] { return gone.value() == 1; });
  EXPECT_LT(daemon->metrics().GetCounter("savoryglade_tokens_relayed_total").value(), 1'000'000U);
  WaitFor([&] { return engine.engine.counts().cancelled == 1; });
}

}  // namespace
}  // namespace savoryglade
