#include "daemon/platform_client.h"

#include <fmt/format.h>

#include <boost/asio.hpp>
#include <boost/json.hpp>
#include <utility>

namespace savoryglade {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
namespace json = boost::json;
using provider::CommitStatus;
using provider::ReadResult;
using provider::VmRecord;

constexpr Duration kConnectTimeout = 1s;
// A slow platform responds within seconds; a lost response must not block the caller for longer.
constexpr Duration kResponseTimeout = 5s;
constexpr std::size_t kMaxResponseBytes = 16 * 1024 * 1024;

tl::unexpected<Error> MalformedResponse(const char* target) {
  return tl::make_unexpected(
      Error{.code = ErrorCode::kUnavailable,
            .message = fmt::format("The platform's response to {} is malformed.", target)});
}

std::string GetString(const json::object& object, const char* name) {
  const json::value* value = object.if_contains(name);
  return value != nullptr && value->is_string() ? std::string(value->get_string()) : std::string();
}

std::string FormatTransaction(const provider::Transaction& transaction) {
  json::array conditions;
  for (const auto& condition : transaction.conditions) {
    conditions.emplace_back(json::object{{"key", condition.key}, {"version", condition.version}});
  }
  json::array writes;
  for (const auto& write : transaction.writes) {
    json::object object = {{"key", write.key}, {"value", nullptr}};
    if (write.value) {
      object["value"] = *write.value;
    }
    writes.emplace_back(std::move(object));
  }
  return json::serialize(
      json::object{{"conditions", std::move(conditions)}, {"writes", std::move(writes)}});
}

// Spawns an operation and passes its result to a callback.
template <typename T, typename Callback>
void SpawnWithCallback(asio::io_context& context, asio::awaitable<T> operation, Callback callback) {
  asio::co_spawn(context, std::move(operation),
                 [callback = std::move(callback)](const std::exception_ptr& failure, T result) {
                   if (failure) {
                     std::rethrow_exception(failure);
                   }
                   callback(std::move(result));
                 });
}

}  // namespace

PlatformClient::PlatformClient(asio::io_context& context, Endpoint endpoint,
                               MetricRegistry& metrics)
    : context_(context),
      endpoint_(std::move(endpoint)),
      connections_({}, metrics.GetCounter("savoryglade_platform_silent_connections_total")),
      reads_(metrics.GetCounter("savoryglade_table_reads_total")),
      writes_(metrics.GetCounter("savoryglade_table_writes_total")),
      failures_(metrics.GetCounter("savoryglade_platform_failures_total")) {}

void PlatformClient::Read(const std::string& key, provider::ReadCallback callback) {
  reads_.Add();
  SpawnWithCallback(context_, ReadRow(key), std::move(callback));
}

void PlatformClient::Commit(const provider::Transaction& transaction,
                            provider::CommitCallback callback) {
  writes_.Add();
  SpawnWithCallback(context_, CommitRows(FormatTransaction(transaction)), std::move(callback));
}

void PlatformClient::List(const FailureDomainId& failure_domain,
                          std::function<void(Result<std::vector<VmRecord>>)> callback) {
  SpawnWithCallback(
      context_, ListVms(json::serialize(json::object{{"failure_domain", failure_domain.value()}})),
      std::move(callback));
}

asio::awaitable<Result<HttpResponse>> PlatformClient::SendRequest(const char* target,
                                                                  std::string body) {
  HttpRequest request(http::verb::post, target, 11);
  request.set(http::field::host, endpoint_.address);
  request.set(http::field::content_type, "application/json");
  request.body() = std::move(body);
  request.prepare_payload();
  auto connection = co_await connections_.Acquire(endpoint_, kConnectTimeout);
  if (!connection) {
    failures_.Add();
    co_return tl::make_unexpected(
        Error{.code = ErrorCode::kUnavailable, .message = connection.error().message});
  }
  const Result<void> sent = co_await (*connection)->Send(request, kResponseTimeout);
  // A conditional expression with co_await in it is miscompiled by g++ 12.
  Result<HttpResponse> response = tl::make_unexpected(Error{});
  if (sent) {
    response = co_await (*connection)
                   ->ReadLargeResponse(kMaxResponseBytes, kResponseTimeout, kResponseTimeout);
  } else {
    response = tl::make_unexpected(sent.error());
  }
  if (!response) {
    failures_.Add();
    co_return tl::make_unexpected(
        Error{.code = ErrorCode::kTimeout, .message = response.error().message});
  }
  connections_.Release(std::move(*connection));
  if (response->result_int() == 503) {
    failures_.Add();
    co_return tl::make_unexpected(
        Error{.code = ErrorCode::kUnavailable, .message = "The platform is unavailable."});
  }
  co_return response;
}

asio::awaitable<ReadResult> PlatformClient::ReadRow(std::string key) {
  std::string body = json::serialize(json::object{{"key", key}});
  const Result<HttpResponse> response = co_await SendRequest("/table/read", std::move(body));
  if (!response) {
    co_return tl::make_unexpected(response.error());
  }
  json::error_code error;
  const json::value document = json::parse(response->body(), error);
  const json::object* object = error ? nullptr : document.if_object();
  const json::value* version = object == nullptr ? nullptr : object->if_contains("version");
  if (response->result_int() != 200 || version == nullptr || !version->is_number()) {
    co_return MalformedResponse("a read");
  }
  co_return provider::Row{.value = GetString(*object, "value"),
                          .version = version->to_number<std::uint64_t>()};
}

asio::awaitable<CommitStatus> PlatformClient::CommitRows(std::string body) {
  const Result<HttpResponse> response = co_await SendRequest("/table/commit", std::move(body));
  if (!response) {
    co_return response.error().code == ErrorCode::kUnavailable ? CommitStatus::kUnavailable
                                                               : CommitStatus::kUnknown;
  }
  switch (response->result_int()) {
    case 200:
      co_return CommitStatus::kCommitted;
    case 409:
      co_return CommitStatus::kConflict;
    default:
      co_return CommitStatus::kUnknown;
  }
}

asio::awaitable<Result<std::vector<VmRecord>>> PlatformClient::ListVms(std::string body) {
  const Result<HttpResponse> response = co_await SendRequest("/vms/list", std::move(body));
  if (!response) {
    co_return tl::make_unexpected(response.error());
  }
  json::error_code error;
  const json::value document = json::parse(response->body(), error);
  const json::object* object = error ? nullptr : document.if_object();
  const json::value* vms = object == nullptr ? nullptr : object->if_contains("vms");
  if (response->result_int() != 200 || vms == nullptr || !vms->is_array()) {
    co_return MalformedResponse("a VM list");
  }
  std::vector<VmRecord> records;
  for (const json::value& element : vms->get_array()) {
    const json::object* vm = element.if_object();
    if (vm == nullptr) {
      co_return MalformedResponse("a VM list");
    }
    const json::value* leaving = vm->if_contains("leaving");
    records.push_back({.vm = VmId(GetString(*vm, "vm")),
                       .failure_domain = FailureDomainId(GetString(*vm, "failure_domain")),
                       .daemon = DaemonId(GetString(*vm, "daemon")),
                       .peers_address = GetString(*vm, "peers_address"),
                       .leaving = leaving != nullptr && leaving->is_bool() && leaving->get_bool()});
  }
  co_return records;
}

namespace {

// Awaits the callback of an operation. The result is posted, because the embedded platform invokes
// the callback before the operation returns, and a coroutine must not be resumed while it is being
// suspended.
template <typename T, typename Operation>
asio::awaitable<T> AwaitCallback(Operation operation) {
  const auto executor = co_await asio::this_coro::executor;
  co_return co_await asio::async_initiate<const asio::use_awaitable_t<>, void(T)>(
      [&operation, executor](auto handler) {
        auto shared = std::make_shared<decltype(handler)>(std::move(handler));
        operation([shared, executor](T result) {
          asio::post(executor, [shared, result = std::move(result)]() mutable {
            std::move (*shared)(std::move(result));
          });
        });
      },
      asio::use_awaitable);
}

}  // namespace

asio::awaitable<ReadResult> AwaitRead(provider::Table& table, std::string key) {
  auto operation = [&table, &key](auto callback) { table.Read(key, std::move(callback)); };
  co_return co_await AwaitCallback<ReadResult>(std::move(operation));
}

asio::awaitable<CommitStatus> AwaitCommit(provider::Table& table,
                                          provider::Transaction transaction) {
  auto operation = [&table, &transaction](auto callback) {
    table.Commit(transaction, std::move(callback));
  };
  co_return co_await AwaitCallback<CommitStatus>(std::move(operation));
}

asio::awaitable<Result<std::vector<VmRecord>>> AwaitVmList(provider::VmList& list,
                                                           FailureDomainId failure_domain) {
  auto operation = [&list, &failure_domain](auto callback) {
    list.List(failure_domain, std::move(callback));
  };
  co_return co_await AwaitCallback<Result<std::vector<VmRecord>>>(std::move(operation));
}

}  // namespace savoryglade
