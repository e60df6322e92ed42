#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <memory>
#include <string>
#include <vector>

#include "metrics/registry.h"
#include "net/endpoint.h"
#include "net/http_client.h"
#include "provider/services.h"
#include "provider/table.h"

namespace savoryglade {

// Client of the platform's table and VM list over HTTP and JSON. Callbacks run on the given
// context, which must be stopped before the client is destroyed.
class PlatformClient : public provider::Table, public provider::VmList {
 public:
  PlatformClient(boost::asio::io_context& context, Endpoint endpoint, MetricRegistry& metrics);

  void Read(const std::string& key, provider::ReadCallback callback) override;
  void Commit(const provider::Transaction& transaction, provider::CommitCallback callback) override;
  void List(const FailureDomainId& failure_domain,
            std::function<void(Result<std::vector<provider::VmRecord>>)> callback) override;

 private:
  // Sends a request. The error code kUnavailable means that the request was not sent or was
  // rejected; after any other error it may have taken effect.
  boost::asio::awaitable<Result<HttpResponse>> SendRequest(const char* target, std::string body);
  boost::asio::awaitable<provider::ReadResult> ReadRow(std::string key);
  boost::asio::awaitable<provider::CommitStatus> CommitRows(std::string body);
  boost::asio::awaitable<Result<std::vector<provider::VmRecord>>> ListVms(std::string body);

  boost::asio::io_context& context_;
  Endpoint endpoint_;
  ConnectionPool connections_;
  Counter& reads_;
  Counter& writes_;
  Counter& failures_;
};

// Await an operation of the platform. The callback must run on the executor of the coroutine.
boost::asio::awaitable<provider::ReadResult> AwaitRead(provider::Table& table, std::string key);
boost::asio::awaitable<provider::CommitStatus> AwaitCommit(provider::Table& table,
                                                           provider::Transaction transaction);
boost::asio::awaitable<Result<std::vector<provider::VmRecord>>> AwaitVmList(
    provider::VmList& list, FailureDomainId failure_domain);

}  // namespace savoryglade
