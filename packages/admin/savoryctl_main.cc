#include <docopt/docopt.h>
#include <fmt/format.h>

#include <boost/asio.hpp>
#include <boost/beast/http.hpp>
#include <cstdlib>
#include <optional>
#include <string>

#include "net/http_client.h"

namespace {

using savoryglade::Endpoint;
using savoryglade::HttpRequest;
using savoryglade::HttpResponse;
using savoryglade::Result;

constexpr char kUsage[] = R"(savoryctl: operators' command of savoryglade.

Usage:
  savoryctl [--daemon=ADDRESS] get
  savoryctl [--daemon=ADDRESS] metrics
  savoryctl --help
  savoryctl --version

Options:
  --daemon=ADDRESS  Administration address of a daemon [default: 127.0.0.1:8081].
  --help            Show this text.
  --version         Show the version.

The operator key is taken from the environment variable SAVORYGLADE_OPERATOR_KEY.
)";

constexpr int kExitInvalid = 2;
constexpr int kExitUnreachable = 4;
constexpr savoryglade::Duration kTimeout = std::chrono::seconds(5);

Result<HttpResponse> Fetch(const Endpoint& endpoint, const std::string& target) {
  HttpRequest request(boost::beast::http::verb::get, target, 11);
  if (const char* key = std::getenv("SAVORYGLADE_OPERATOR_KEY")) {
    request.set(boost::beast::http::field::authorization, fmt::format("Bearer {}", key));
  }
  boost::asio::io_context context;
  std::optional<Result<HttpResponse>> response;
  boost::asio::co_spawn(
      context, savoryglade::FetchOnce(endpoint, std::move(request), kTimeout),
      [&response](const std::exception_ptr&, Result<HttpResponse> r) { response = std::move(r); });
  context.run();
  return *response;
}

}  // namespace

int main(int argc, char** argv) {
  const auto arguments =
      docopt::docopt(kUsage, {argv + 1, argv + argc}, true, "savoryctl " SAVORYGLADE_VERSION);
  const Result<Endpoint> endpoint = savoryglade::ParseEndpoint(arguments.at("--daemon").asString());
  if (!endpoint) {
    fmt::print(stderr, "--daemon: {}\n", endpoint.error().message);
    return kExitInvalid;
  }
  const std::string target = arguments.at("get").asBool() ? "/v1/configuration" : "/metrics";
  const Result<HttpResponse> response = Fetch(*endpoint, target);
  if (!response) {
    fmt::print(stderr, "{}\n", response.error().message);
    return kExitUnreachable;
  }
  fmt::print("{}", response->body());
  return response->result_int() == 200 ? 0 : 1;
}
