// The callers' HTTP interface: checks requests, passes them to the dispatcher
// and sends its replies to the callers.
#ifndef PEERS_CALLER_CALLER_SERVER_H_
#define PEERS_CALLER_CALLER_SERVER_H_

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>

#include "core/http/http_server.h"
#include "servers/dispatcher/caller_messages.h"
#include "servers/dispatcher/caller_view.h"

namespace boragecroft {

class CallerServer {
 public:
  // `submit` passes a request to the dispatcher and returns false when the
  // dispatcher accepts no more requests at the moment.
  static auto Listen(boost::asio::io_context& context,
                     const Address& address,
                     const SharedCallerView& view,
                     std::function<bool(CallerRequest)> submit)
      -> Result<std::unique_ptr<CallerServer>, std::string>;

  auto Port() const -> uint16_t;
  // Sends a reply to the caller that is waiting for it. It must be called on
  // the thread of the event loop.
  auto Deliver(const CallerReply& reply) -> void;
  // Stops accepting connections and closes idle ones.
  auto Drain() -> void;
  // Returns the number of requests without a reply.
  auto PendingRequests() const -> size_t;

 private:
  struct Pending {
    HttpResponder respond;
    int schema_version = 2;
  };

  CallerServer(const SharedCallerView& view,
               std::function<bool(CallerRequest)> submit);

  // Rejects a body that is longer than the configured limit before it is read.
  auto CheckHead(const HttpRequest& head) const -> std::optional<HttpResponse>;
  auto OnRequest(const HttpRequest& request, HttpResponder respond) -> void;
  auto OnJobs(const HttpRequest& request,
              const std::vector<std::string>& path,
              HttpResponder respond) -> void;
  auto OnMint(const HttpRequest& request, const HttpResponder& respond) -> void;
  auto OnSubmit(const HttpRequest& request, const HttpResponder& respond)
      -> void;
  auto OnFetch(const HttpRequest& request,
               const JobId& id,
               HttpResponder respond) -> void;
  auto OnCancel(const HttpRequest& request,
                const JobId& id,
                const HttpResponder& respond) -> void;
  auto SubmitToDispatcher(CallerCall call,
                          int schema_version,
                          HttpResponder respond) -> void;

  const SharedCallerView& view_;
  const std::function<bool(CallerRequest)> submit_;
  std::unique_ptr<HttpServer> server_;
  std::unordered_map<uint64_t, Pending> pending_;
  uint64_t next_number_ = 1;
};

}  // namespace boragecroft

#endif  // PEERS_CALLER_CALLER_SERVER_H_
