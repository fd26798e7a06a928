#include "main/ctl/operator_client.h"

#include <boost/asio/io_context.hpp>
#include <optional>
#include <utility>

#include "core/http/http_connection.h"

namespace boragecroft {
namespace {

auto Exchange(const Address& instance,
              const HttpRequest& request,
              milliseconds timeout) -> Result<HttpResponse, HttpError> {
  boost::asio::io_context context;
  HttpConnection connection(context, instance);
  std::optional<Result<HttpResponse, HttpError>> outcome;
  connection.Send(request, timeout, timeout, [&](auto result) {
    outcome = std::move(result);
    context.stop();
  });
  context.run();
  return std::move(*outcome);
}

auto AddReason(OperatorCallError& error, const std::string& reason) -> void {
  if (!error.reason.empty()) {
    error.reason += "; ";
  }
  error.reason += reason;
}

}  // namespace

auto CallInstances(const std::vector<Address>& instances,
                   const HttpRequest& request,
                   milliseconds timeout)
    -> Result<OperatorReply, OperatorCallError> {
  OperatorCallError error;
  for (const auto& it : instances) {
    const auto response = Exchange(it, request, timeout);
    if (response.has_error()) {
      error.request_sent |= response.error().request_sent;
      AddReason(error, response.error().reason);
      continue;
    }
    auto body = ParseJson(response.value().body);
    if (body.has_error()) {
      error.request_sent = true;
      AddReason(error,
                ToString(it) + ": answer is not JSON: " + body.error().reason);
      continue;
    }
    return OperatorReply{.status = response.value().status,
                         .body = std::move(body.value())};
  }
  return error;
}

}  // namespace boragecroft
