// The operators' HTTP interface. See docs/operators/operator-api.md.
#ifndef PEERS_OPERATOR_OPERATOR_SERVER_H_
#define PEERS_OPERATOR_OPERATOR_SERVER_H_

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>

#include "core/http/http_server.h"
#include "peers/operator/metrics_page.h"
#include "servers/dispatcher/operator_messages.h"

namespace boragecroft {

class OperatorServer {
 public:
  // `submit` passes a request to the dispatcher and returns false when the
  // dispatcher accepts no more requests at the moment.
  static auto Listen(boost::asio::io_context& context,
                     const Address& address,
                     std::function<bool(OperatorRequest)> submit)
      -> Result<std::unique_ptr<OperatorServer>, std::string>;

  auto Port() const -> uint16_t;
  // Sends a reply to the operator that is waiting for it. It must be called on
  // the thread of the event loop.
  auto Deliver(const OperatorReply& reply) -> void;

 private:
  struct Pending {
    HttpResponder respond;
    bool metrics = false;
  };

  explicit OperatorServer(std::function<bool(OperatorRequest)> submit);

  auto OnRequest(const HttpRequest& request, const HttpResponder& respond)
      -> void;

  const std::function<bool(OperatorRequest)> submit_;
  std::unique_ptr<HttpServer> server_;
  std::unordered_map<uint64_t, Pending> pending_;
  uint64_t next_number_ = 1;
  MetricsPage metrics_;
};

}  // namespace boragecroft

#endif  // PEERS_OPERATOR_OPERATOR_SERVER_H_
