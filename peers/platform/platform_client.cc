#include "peers/platform/platform_client.h"

#include <utility>

#include "peers/platform/platform_codec.h"

namespace boragecroft {

PlatformClient::PlatformClient(boost::asio::io_context& context,
                               Address platform,
                               milliseconds timeout,
                               std::function<void(PlatformOutcome)> on_outcome)
    : context_(context),
      platform_(std::move(platform)),
      timeout_(timeout),
      on_outcome_(std::move(on_outcome)) {}

auto PlatformClient::Execute(const PlatformCommand& command) -> void {
  auto connection = TakeConnection();
  auto done = [this, command,
               connection](const Result<HttpResponse, HttpError>& answer) {
    if (connection->IsReusable()) {
      idle_.push_back(connection);
    }
    // The other idle connections may be unresponsive for the same reason, so
    // they are dropped and new ones are opened.
    if (answer.has_error()) {
      idle_.clear();
    }
    on_outcome_(DecodePlatformAnswer(command, answer));
  };
  connection->Send(EncodePlatformCall(command), timeout_, timeout_,
                   std::move(done));
}

auto PlatformClient::TakeConnection() -> std::shared_ptr<HttpConnection> {
  while (!idle_.empty()) {
    auto connection = std::move(idle_.back());
    idle_.pop_back();
    if (connection->IsReusable()) {
      return connection;
    }
  }
  return std::make_shared<HttpConnection>(context_, platform_);
}

}  // namespace boragecroft
