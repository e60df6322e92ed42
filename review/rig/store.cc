#include <algorithm>
#include <boost/json.hpp>
#include <chrono>
#include <cstdlib>
#include <cstring>

#include "rig.h"

namespace rig {
namespace {

namespace json = boost::json;

constexpr char kBase64[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

std::string EncodeBase64(const std::string& bytes) {
  std::string text;
  for (std::size_t i = 0; i < bytes.size(); i += 3) {
    std::uint32_t group = 0;
    for (std::size_t j = 0; j < 3; ++j) {
      group = group << 8 | (i + j < bytes.size() ? static_cast<unsigned char>(bytes[i + j]) : 0);
    }
    for (std::size_t j = 0; j < 4; ++j) {
      text += i + j > bytes.size() ? '=' : kBase64[group >> (18 - 6 * j) & 63];
    }
  }
  return text;
}

std::string DecodeBase64(const std::string& text) {
  std::string bytes;
  std::uint32_t group = 0;
  int bits = 0;
  for (const char c : text) {
    const char* found = std::strchr(kBase64, c);
    if (c == '=' || found == nullptr) {
      break;
    }
    group = group << 6 | static_cast<std::uint32_t>(found - kBase64);
    bits += 6;
    if (bits >= 8) {
      bits -= 8;
      bytes += static_cast<char>(group >> bits & 255);
    }
  }
  return bytes;
}

std::string QueryParameter(const std::string& target, const std::string& name) {
  std::size_t begin = target.find('?');
  while (begin != std::string::npos) {
    const std::size_t end = target.find('&', begin + 1);
    const std::string item =
        target.substr(begin + 1, end == std::string::npos ? end : end - begin - 1);
    if (item.compare(0, name.size() + 1, name + "=") == 0) {
      const std::string raw = item.substr(name.size() + 1);
      std::string value;
      for (std::size_t i = 0; i < raw.size(); ++i) {
        if (raw[i] == '%' && i + 2 < raw.size()) {
          value += static_cast<char>(std::stoi(raw.substr(i + 1, 2), nullptr, 16));
          i += 2;
        } else {
          value += raw[i];
        }
      }
      return value;
    }
    begin = end;
  }
  return {};
}

std::uint64_t NumericParameter(const std::string& target, const std::string& name) {
  const std::string text = QueryParameter(target, name);
  return text.empty() ? 0 : std::stoull(text);
}

std::string JsonAnswer(int status, const std::string& headers, const std::string& body) {
  return "HTTP/1.1 " + std::to_string(status) + " X\r\nContent-Type: application/json\r\n" +
         headers + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

}  // namespace

Store::Store(const std::string& ip, Record& record) : record_(record) {
  listener_ = std::make_unique<Listener>(ip, [this](Connection& connection) { Serve(connection); });
  std::thread([this] { KeepCopies(); }).detach();
}

void Store::KeepCopies() {
  constexpr double kInterval = 0.1;
  constexpr std::size_t kCopies = 100;
  while (true) {
    {
      const std::lock_guard lock(mutex_);
      copies_.push_back({.at = Now(), .rows = rows_, .version = version_});
      if (copies_.size() > kCopies) {
        copies_.erase(copies_.begin());
      }
    }
    SleepFor(kInterval);
  }
}

void Store::Put(const std::string& table, const std::string& key, const std::string& value) {
  const std::lock_guard lock(mutex_);
  rows_[{table, key}] = {.value = value, .version = ++version_};
  changed_.notify_all();
}

void Store::Remove(const std::string& table, const std::string& key) {
  const std::lock_guard lock(mutex_);
  rows_[{table, key}] = {.value = std::nullopt, .version = ++version_};
  changed_.notify_all();
}

std::string Store::ValueOf(const std::string& table, const std::string& key) {
  const std::lock_guard lock(mutex_);
  const auto found = rows_.find({table, key});
  return found == rows_.end() ? std::string() : found->second.value.value_or("");
}

void Store::Drill(double away_s, double copy_age_s) {
  Copy copy;
  Rows written;
  {
    const std::lock_guard lock(mutex_);
    away_ = true;
    changed_.notify_all();
    copy = copies_.front();
    for (const Copy& each : copies_) {
      if (each.at <= Now() - copy_age_s) {
        copy = each;
      }
    }
  }
  record_.Line("store: away for a drill");
  SleepFor(away_s);
  const std::lock_guard lock(mutex_);
  for (const auto& [name, row] : rows_) {
    if (name.first == "op" || name.first == "servers") {
      written[name] = row;
    }
  }
  record_.Line("store: back from a copy that is " + std::to_string(Now() - copy.at) +
               " s old; version " + std::to_string(version_) + " -> " +
               std::to_string(copy.version));
  for (const auto& [name, row] : rows_) {
    const auto kept = copy.rows.find(name);
    if (name.first != "op" && name.first != "servers" &&
        (kept == copy.rows.end() || kept->second.version != row.version)) {
      record_.Line("store: the copy lacks the last write of " + name.first + " " + name.second);
    }
  }
  rows_ = copy.rows;
  version_ = copy.version;
  ++era_;
  for (const auto& [name, row] : written) {
    const auto kept = rows_.find(name);
    if (kept == rows_.end() || kept->second.value != row.value) {
      rows_[name] = {.value = row.value, .version = ++version_};
    }
  }
  copies_.clear();
  copies_.push_back({.at = Now(), .rows = rows_, .version = version_});
  away_ = false;
  changed_.notify_all();
}

std::string Store::Page(const std::string& table, const std::string& from, const std::string& to,
                        std::uint64_t after, std::size_t limit, bool feed, bool& empty) {
  std::vector<std::pair<std::string, Row>> found;
  for (const auto& [name, row] : rows_) {
    if (name.first != table || name.second < from || (!to.empty() && name.second >= to) ||
        row.version <= after || (!feed && !row.value)) {
      continue;
    }
    found.emplace_back(name.second, row);
  }
  if (feed) {
    std::ranges::sort(found, {}, [](const auto& item) { return item.second.version; });
  }
  json::array rows;
  bool has_more = false;
  for (const auto& [key, row] : found) {
    if (rows.size() == limit) {
      has_more = true;
      break;
    }
    json::object item{{"table", table}, {"part", ""}, {"key", key}, {"ver", row.version}};
    if (row.value) {
      item["value"] = EncodeBase64(*row.value);
    } else {
      item["deleted"] = true;
    }
    rows.emplace_back(std::move(item));
  }
  empty = rows.empty();
  return json::serialize(json::object{{"rows", std::move(rows)},
                                      {"has_more", has_more},
                                      {"ver", version_},
                                      {"now_ms", std::uint64_t(Now() * 1000)}});
}

void Store::Serve(Connection& connection) {
  constexpr double kAnswerTime = 0.004;
  constexpr double kIdleTime = 60;
  Message request;
  while (connection.ReadRequest(request, kIdleTime)) {
    SleepFor(kAnswerTime);
    std::unique_lock lock(mutex_);
    const std::uint64_t era = era_;
    const auto headers = [this] { return "Store-Era: " + std::to_string(era_) + "\r\n"; };
    std::string answer;
    const std::string& target = request.target;
    if (away_) {
      // A 503 means that nothing was done.
      answer = JsonAnswer(503, headers(), "");
    } else if (target.starts_with("/v1/rows-get")) {
      bool empty = false;
      std::size_t limit = NumericParameter(target, "limit");
      limit = limit == 0 ? 50 : std::min<std::size_t>(limit, 500);
      answer = JsonAnswer(200, headers(),
                          Page(QueryParameter(target, "table"), QueryParameter(target, "from"),
                               QueryParameter(target, "to"), 0, limit, false, empty));
    } else if (target.starts_with("/v1/rows-feed")) {
      const std::uint64_t after = NumericParameter(target, "after_rev");
      const double until = Now() + static_cast<double>(NumericParameter(target, "wait_ms")) / 1000;
      while (true) {
        if (away_ || era != era_ || after > version_) {
          answer = JsonAnswer(away_ ? 503 : 410, headers(), "");
          break;
        }
        bool empty = false;
        std::string page =
            Page(QueryParameter(target, "table"), "", "", after, SIZE_MAX, true, empty);
        const double left = until - Now();
        if (!empty || left <= 0) {
          answer = JsonAnswer(200, headers(), page);
          break;
        }
        changed_.wait_for(lock, std::chrono::duration<double>(left));
      }
    } else if (target == "/v1/rows-tx") {
      const json::object body = json::parse(request.body).as_object();
      int status = 200;
      const auto name_of = [](const json::value& entry) {
        const json::object& row = entry.as_object();
        return std::pair(std::string(row.at("table").as_string()),
                         std::string(row.at("key").as_string()));
      };
      for (const json::value& entry : body.at("expected_rev").as_array()) {
        const auto found = rows_.find(name_of(entry));
        const std::uint64_t version =
            found == rows_.end() || !found->second.value ? 0 : found->second.version;
        if (version != entry.as_object().at("ver").to_number<std::uint64_t>()) {
          status = 412;
        }
      }
      if (status == 200) {
        ++version_;
        for (const json::value& entry : body.at("puts").as_array()) {
          const auto name = name_of(entry);
          rows_[name] = {
              .value = DecodeBase64(std::string(entry.as_object().at("value").as_string())),
              .version = version_};
        }
        for (const json::value& entry : body.at("remove").as_array()) {
          const auto found = rows_.find(name_of(entry));
          if (found != rows_.end()) {
            found->second = {.value = std::nullopt, .version = version_};
          }
        }
        changed_.notify_all();
      }
      answer = JsonAnswer(status, headers(),
                          json::serialize(json::object{{"rows", json::array{}},
                                                       {"ver", version_},
                                                       {"now_ms", std::uint64_t(Now() * 1000)}}));
    } else {
      answer = JsonAnswer(404, headers(), "");
    }
    lock.unlock();
    if (!connection.Write(answer)) {
      return;
    }
  }
}

Cloud::Cloud(const std::string& ip, Record& record) : record_(record) {
  listener_ = std::make_unique<Listener>(ip, [this](Connection& connection) {
    Message request;
    while (connection.ReadRequest(request, 60)) {
      DutyCall call{.at = Now(),
                    .target = request.target,
                    .holder = request.Header("Duty-Holder"),
                    .token = std::strtoull(request.Header("Fence-Token").c_str(), nullptr, 10),
                    .body = request.body};
      record_.Line("cloud: " + call.target + " of " + call.holder + " token " +
                   std::to_string(call.token) + " " + call.body + " -> 200");
      {
        const std::lock_guard lock(mutex_);
        calls_.push_back(call);
      }
      connection.Write(JsonAnswer(200, "", "{}"));
    }
  });
}

std::vector<DutyCall> Cloud::calls() {
  const std::lock_guard lock(mutex_);
  return calls_;
}

std::string Cloud::LastHolder() {
  const std::lock_guard lock(mutex_);
  return calls_.empty() ? std::string() : calls_.back().holder;
}

}  // namespace rig
