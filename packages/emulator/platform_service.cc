#include "emulator/platform_service.h"

#include <boost/asio.hpp>
#include <boost/json.hpp>
#include <optional>
#include <string>
#include <utility>

namespace savoryglade {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
namespace json = boost::json;

// Longer than the timeout of any client.
constexpr Duration kLostResponseDelay = 30s;

std::string GetString(const json::object& object, std::string_view name) {
  const json::value* value = object.if_contains(json::string_view(name.data(), name.size()));
  return value != nullptr && value->is_string() ? std::string(value->get_string()) : std::string();
}

bool GetBool(const json::object& object, std::string_view name) {
  const json::value* value = object.if_contains(json::string_view(name.data(), name.size()));
  return value != nullptr && value->is_bool() && value->get_bool();
}

std::uint64_t GetNumber(const json::object& object, std::string_view name) {
  const json::value* value = object.if_contains(json::string_view(name.data(), name.size()));
  return value != nullptr && value->is_number() ? value->to_number<std::uint64_t>() : 0;
}

provider::Transaction ParseTransaction(const json::object& object) {
  provider::Transaction transaction;
  for (const json::value& condition : object.at("conditions").as_array()) {
    const json::object& fields = condition.as_object();
    transaction.conditions.push_back({GetString(fields, "key"), GetNumber(fields, "version")});
  }
  for (const json::value& write : object.at("writes").as_array()) {
    const json::object& fields = write.as_object();
    std::optional<std::string> value;
    if (fields.at("value").is_string()) {
      value = std::string(fields.at("value").get_string());
    }
    transaction.writes.push_back({GetString(fields, "key"), std::move(value)});
  }
  return transaction;
}

json::array VmsToJson(const std::vector<provider::VmRecord>& vms) {
  json::array array;
  for (const provider::VmRecord& vm : vms) {
    array.emplace_back(json::object{{"vm", vm.vm.value()},
                                    {"failure_domain", vm.failure_domain.value()},
                                    {"daemon", vm.daemon.value()},
                                    {"peers_address", vm.peers_address},
                                    {"leaving", vm.leaving}});
  }
  return array;
}

asio::awaitable<void> RespondJson(HttpExchange& exchange, unsigned status, json::object object) {
  co_await exchange.Respond(status, ContentType("application/json"), json::serialize(object));
}

asio::awaitable<void> Sleep(Duration duration) {
  asio::steady_timer timer(co_await asio::this_coro::executor);
  timer.expires_after(duration);
  co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
}

}  // namespace

void PlatformService::SetFaults(const provider::Faults& faults) {
  const std::lock_guard lock(mutex_);
  faults_ = faults;
}

provider::Faults PlatformService::faults() const {
  const std::lock_guard lock(mutex_);
  return faults_;
}

asio::awaitable<void> PlatformService::Handle(HttpExchange& exchange) {
  const std::string_view target = exchange.target();
  const http::verb method = exchange.request().method();
  if (target == "/counts") {
    const provider::TableOperationCounts counts = state_.counts();
    json::object response = {{"table_reads", counts.reads},
                             {"table_writes", counts.writes},
                             {"vm_lists", vm_lists_.load()}};
    co_await RespondJson(exchange, 200, std::move(response));
    co_return;
  }
  if (target == "/faults" && method == http::verb::put) {
    const json::object body = json::parse(exchange.request().body()).as_object();
    SetFaults({.outage = GetBool(body, "outage"),
               .lose_answers = GetBool(body, "lose_answers"),
               .delay = std::chrono::milliseconds(GetNumber(body, "delay_ms"))});
    co_await RespondJson(exchange, 200, json::object());
    co_return;
  }
  const provider::Faults faults = this->faults();
  if (faults.outage) {
    json::object response = {{"status", "unavailable"}};
    co_await RespondJson(exchange, 503, std::move(response));
    co_return;
  }
  if (faults.delay > Duration::zero()) {
    co_await Sleep(faults.delay);
  }
  co_await ServePlatformRequest(exchange, faults);
}

asio::awaitable<void> PlatformService::ServePlatformRequest(HttpExchange& exchange,
                                                            const provider::Faults& faults) {
  const std::string path(exchange.target());
  const http::verb method = exchange.request().method();
  const std::string& body = exchange.request().body();
  unsigned status = 404;
  json::object response = {{"status", "no such resource"}};
  if (path == "/table/read" && method == http::verb::post) {
    state_.Read(GetString(json::parse(body).as_object(), "key"),
                [&](const provider::ReadResult& row) {
                  status = 200;
                  response = {{"version", row->version}, {"value", row->value}};
                });
  } else if (path == "/table/commit" && method == http::verb::post) {
    state_.Commit(ParseTransaction(json::parse(body).as_object()),
                  [&](provider::CommitStatus result) {
                    const bool committed = result == provider::CommitStatus::kCommitted;
                    status = committed ? 200 : 409;
                    response = {{"status", committed ? "committed" : "conflict"}};
                  });
  } else if (path == "/vms/list" && method == http::verb::post) {
    ++vm_lists_;
    state_.List(FailureDomainId(GetString(json::parse(body).as_object(), "failure_domain")),
                [&](const auto& vms) {
                  status = 200;
                  response = {{"vms", VmsToJson(*vms)}};
                });
  } else if (path == "/vms" && method == http::verb::put) {
    const json::object vm = json::parse(body).as_object();
    state_.PutVm({.vm = VmId(GetString(vm, "vm")),
                  .failure_domain = FailureDomainId(GetString(vm, "failure_domain")),
                  .daemon = DaemonId(GetString(vm, "daemon")),
                  .peers_address = GetString(vm, "peers_address"),
                  .leaving = GetBool(vm, "leaving")});
    status = 200;
    response = {};
  } else if (path.rfind("/vms/", 0) == 0 && method == http::verb::delete_) {
    state_.RemoveVm(VmId(path.substr(5)));
    status = 200;
    response = {};
  } else if (path.rfind("/objects/", 0) == 0 && method == http::verb::put) {
    state_.Put(path, body, [&](const auto&) {
      status = 200;
      response = {};
    });
  } else if (path.rfind("/objects/", 0) == 0 && method == http::verb::get) {
    state_.Get(path, [&](const Result<std::string>& object) {
      if (object) {
        status = 200;
        response = {{"object", *object}};
      }
    });
  }
  if (faults.lose_answers) {
    co_await Sleep(kLostResponseDelay);
    exchange.Abort();
    co_return;
  }
  co_await RespondJson(exchange, status, std::move(response));
}

}  // namespace savoryglade
