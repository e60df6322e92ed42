#include "emulator/store_service.h"

#include <algorithm>
#include <boost/asio.hpp>
#include <boost/json.hpp>
#include <boost/url.hpp>
#include <chrono>
#include <limits>

#include "net/base64.h"

namespace savoryglade {
namespace {

namespace asio = boost::asio;
namespace json = boost::json;

constexpr Duration kFeedPollInterval = 5ms;
// Rows of a page unless the request names a limit, and the greatest limit.
constexpr std::size_t kDefaultPageRows = 50;
constexpr std::size_t kMaxPageRows = 500;

// Returns the percent-decoded value of a query parameter, or an empty string if it is missing.
std::string QueryParameter(std::string_view target, std::string_view name) {
  const auto url = boost::urls::parse_origin_form({target.data(), target.size()});
  if (!url) {
    return {};
  }
  for (const auto& parameter : url->params()) {
    if (std::string_view(parameter.key.data(), parameter.key.size()) == name) {
      return std::string(parameter.value);
    }
  }
  return {};
}

std::uint64_t NumericQueryParameter(std::string_view target, std::string_view name) {
  const std::string text = QueryParameter(target, name);
  return text.empty() ? 0 : std::stoull(text);
}

std::string GetString(const json::object& row, const char* name) {
  return std::string(row.at(name).as_string());
}

}  // namespace

void StoreService::SetFaults(const StoreFaults& faults) {
  const std::lock_guard lock(mutex_);
  faults_ = faults;
}

void StoreService::Put(const std::string& table, const std::string& key, const std::string& value) {
  const std::lock_guard lock(mutex_);
  rows_[{table, key}] = {.value = value, .version = ++version_};
}

void StoreService::Remove(const std::string& table, const std::string& key) {
  const std::lock_guard lock(mutex_);
  rows_[{table, key}] = {.version = ++version_, .removed = true};
}

std::shared_ptr<const StoreService::Copy> StoreService::MakeCopy() const {
  const std::lock_guard lock(mutex_);
  return std::make_shared<const Copy>(Copy{.rows = rows_, .version = version_});
}

void StoreService::ReturnTo(const Copy& copy, const std::string& table,
                            const std::map<std::string, std::string>& writes) {
  const std::lock_guard lock(mutex_);
  rows_ = copy.rows;
  version_ = copy.version;
  ++era_;
  for (const auto& [key, value] : writes) {
    rows_[{table, key}] = {.value = value, .version = ++version_};
  }
}

HttpHeaders StoreService::ResponseHeaders() const {
  const std::lock_guard lock(mutex_);
  HttpHeaders headers = ContentType("application/json");
  headers.emplace_back("Store-Era", std::to_string(era_));
  return headers;
}

std::map<std::string, std::string> StoreService::Rows(const std::string& table) const {
  const std::lock_guard lock(mutex_);
  std::map<std::string, std::string> rows;
  for (const auto& [name, row] : rows_) {
    if (name.first == table && !row.removed) {
      rows.emplace(name.second, row.value);
    }
  }
  return rows;
}

std::uint64_t StoreService::calls() const {
  const std::lock_guard lock(mutex_);
  return calls_;
}

std::uint64_t StoreService::reads(const std::string& table) const {
  const std::lock_guard lock(mutex_);
  const auto found = reads_.find(table);
  return found == reads_.end() ? 0 : found->second;
}

asio::awaitable<void> StoreService::Handle(HttpExchange& exchange) {
  const std::string_view target = exchange.target();
  StoreFaults faults;
  {
    const std::lock_guard lock(mutex_);
    ++calls_;
    ++reads_[QueryParameter(target, "table")];
    faults = faults_;
  }
  if (faults.outage) {
    co_await exchange.Respond(503, {}, {});
  } else if (target.starts_with("/v1/rows-get")) {
    co_await ReadRows(exchange);
  } else if (target.starts_with("/v1/rows-feed")) {
    if (faults.discard_feed_history) {
      co_await exchange.Respond(410, {}, {});
    } else {
      co_await ReadFeed(exchange);
    }
  } else if (target == "/v1/rows-tx") {
    co_await Transact(exchange);
  } else {
    co_await exchange.Respond(404, {}, {});
  }
}

std::string StoreService::SerializeRows(const std::string& table, const std::string& from,
                                        const std::string& to, std::uint64_t after,
                                        std::size_t limit, bool* empty) const {
  const std::lock_guard lock(mutex_);
  json::array rows;
  bool has_more = false;
  for (const auto& [name, row] : rows_) {
    const bool in_range = name.first == table && name.second >= from &&
                          (to.empty() || name.second < to) && row.version > after;
    if (!in_range || (row.removed && after == 0)) {
      continue;
    }
    if (rows.size() == limit) {
      has_more = true;
      break;
    }
    json::object row_object;
    row_object["table"] = table;
    row_object["part"] = "";
    row_object["key"] = name.second;
    row_object["ver"] = row.version;
    if (row.removed) {
      row_object["deleted"] = true;
    } else {
      row_object["value"] = EncodeBase64(row.value);
    }
    rows.emplace_back(std::move(row_object));
  }
  *empty = rows.empty();
  json::object page;
  page["rows"] = std::move(rows);
  page["has_more"] = has_more;
  page["ver"] = version_;
  page["now_ms"] = 0;
  return json::serialize(page);
}

asio::awaitable<void> StoreService::ReadRows(HttpExchange& exchange) {
  const std::string_view target = exchange.target();
  bool empty = false;
  const std::uint64_t wanted = NumericQueryParameter(target, "limit");
  const std::size_t limit =
      wanted == 0 ? kDefaultPageRows : std::min<std::size_t>(wanted, kMaxPageRows);
  std::string page = SerializeRows(QueryParameter(target, "table"), QueryParameter(target, "from"),
                                   QueryParameter(target, "to"), 0, limit, &empty);
  co_await exchange.Respond(200, ResponseHeaders(), std::move(page));
}

asio::awaitable<void> StoreService::ReadFeed(HttpExchange& exchange) {
  const std::string target(exchange.target());
  const TimePoint deadline = std::chrono::steady_clock::now() +
                             std::chrono::milliseconds(NumericQueryParameter(target, "wait_ms"));
  asio::steady_timer timer(co_await asio::this_coro::executor);
  while (true) {
    bool is_known = false;
    {
      const std::lock_guard lock(mutex_);
      is_known = NumericQueryParameter(target, "after_rev") <= version_;
    }
    if (!is_known) {
      co_await exchange.Respond(410, ResponseHeaders(), {});
      co_return;
    }
    bool empty = false;
    std::string page = SerializeRows(QueryParameter(target, "table"), {}, {},
                                     NumericQueryParameter(target, "after_rev"),
                                     std::numeric_limits<std::size_t>::max(), &empty);
    if (!empty || std::chrono::steady_clock::now() >= deadline) {
      co_await exchange.Respond(200, ResponseHeaders(), std::move(page));
      co_return;
    }
    timer.expires_after(kFeedPollInterval);
    co_await timer.async_wait(asio::use_awaitable);
  }
}

asio::awaitable<void> StoreService::Transact(HttpExchange& exchange) {
  const json::value body = json::parse(exchange.request().body());
  unsigned status = 200;
  bool drop_response = false;
  json::object response;
  {
    const std::lock_guard lock(mutex_);
    drop_response = faults_.drop_responses;
    for (const json::value& entry : body.at("expected_rev").as_array()) {
      const json::object& row = entry.as_object();
      const auto found = rows_.find({GetString(row, "table"), GetString(row, "key")});
      const bool exists = found != rows_.end() && !found->second.removed;
      const std::uint64_t version = exists ? found->second.version : 0;
      if (version != row.at("ver").to_number<std::uint64_t>()) {
        status = 412;
      }
    }
    if (status == 200) {
      ++version_;
      for (const json::value& entry : body.at("puts").as_array()) {
        const json::object& row = entry.as_object();
        rows_[{GetString(row, "table"), GetString(row, "key")}] = {
            .value = DecodeBase64(GetString(row, "value")).value_or(""), .version = version_};
      }
      for (const json::value& entry : body.at("remove").as_array()) {
        const json::object& row = entry.as_object();
        rows_[{GetString(row, "table"), GetString(row, "key")}] = {.version = version_,
                                                                   .removed = true};
      }
    }
    response["ver"] = version_;
    response["now_ms"] = 0;
  }
  if (drop_response) {
    exchange.Abort();
    co_return;
  }
  co_await exchange.Respond(status, ResponseHeaders(), json::serialize(response));
}

}  // namespace savoryglade
