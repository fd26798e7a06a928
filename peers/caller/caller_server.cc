#include "peers/caller/caller_server.h"

#include <boost/json/serialize.hpp>
#include <charconv>
#include <utility>

#include "core/json/object_reader.h"
#include "core/net/connection_pressure.h"
#include "peers/caller/caller_codec.h"
#include "peers/caller/submission_codec.h"

namespace boragecroft {
namespace {

constexpr milliseconds kMaxReplyWait{60000};
constexpr milliseconds kRetryAfter{200};
// Memory that the requests and answers of all callers may take together while
// they are not complete: four bodies of the largest size. A daemon has 120 MB
// on the smallest machine.
constexpr size_t kMaxHeldBytes = 32U << 20U;

auto ParseWait(const HttpRequest& request) -> milliseconds {
  const auto text = QueryParameter(request.target, "wait_ms");
  int64_t wait = 0;
  std::from_chars(text.data(), text.data() + text.size(), wait);
  return std::clamp(milliseconds(wait), milliseconds(0), kMaxReplyWait);
}

auto ParseSchemaVersion(const HttpRequest& request) -> int {
  return QueryParameter(request.target, "schema_version") == "1"
             ? 1
             : kNewestRecordVersion;
}

auto NotFound(const HttpRequest& request) -> HttpResponse {
  return ToHttp(ApiError{.code = ApiErrorCode::kNoSuchResource,
                         .field = "",
                         .reason = "nothing is at " + request.method + " " +
                                   request.target.substr(0, 100)});
}

// Returns the only method that the resource at `path` allows, or an empty text
// when callers have no such resource.
auto FindAllowedMethod(const std::vector<std::string>& path)
    -> std::string_view {
  if (path.size() < 2 || path[0] != "v1") {
    return {};
  }
  if (path[1] == "ids") {
    return path.size() == 2 ? "POST" : "";
  }
  if (path[1] != "jobs" || (path.size() > 2 && !ParseJobId(path[2]))) {
    return {};
  }
  if (path.size() == 3) {
    return "GET";
  }
  const auto is_cancel = path.size() == 4 && path[3] == "cancel";
  return path.size() == 2 || is_cancel ? "POST" : "";
}

auto WrongMethod(const HttpRequest& request, std::string_view allowed)
    -> HttpResponse {
  auto response =
      ToHttp(ApiError{.code = ApiErrorCode::kMethodNotAllowed,
                      .field = "",
                      .reason = "found " + request.method.substr(0, 20) +
                                ", allowed: " + std::string(allowed)});
  response.headers.push_back(HttpHeader{"Allow", std::string(allowed)});
  return response;
}

auto ProbeResponse(bool ok, std::string_view name) -> HttpResponse {
  json::object body;
  body[name] = ok;
  HttpResponse response;
  response.status = ok ? 200 : 503;
  response.body = json::serialize(body);
  return response;
}

}  // namespace

auto CallerServer::Listen(boost::asio::io_context& context,
                          const Address& address,
                          const SharedCallerView& view,
                          std::function<bool(CallerRequest)> submit)
    -> Result<std::unique_ptr<CallerServer>, std::string> {
  auto self =
      std::unique_ptr<CallerServer>(new CallerServer(view, std::move(submit)));
  HttpServerOptions options;
  options.listen = address;
  options.max_connections = DivideDescriptors(DescriptorLimit()).callers;
  options.max_held_bytes = kMaxHeldBytes;
  HttpServerCallbacks callbacks;
  callbacks.on_request = [server = self.get()](const HttpRequest& request,
                                               HttpResponder respond) {
    server->OnRequest(request, std::move(respond));
  };
  callbacks.on_head = [server = self.get()](const HttpRequest& head) {
    return server->CheckHead(head);
  };
  callbacks.on_fault = [](HttpFault fault) { return ToHttp(fault); };
  auto listening = HttpServer::Listen(context, options, std::move(callbacks));
  if (listening.has_error()) {
    return listening.error();
  }
  self->server_ = std::move(listening).value();
  return self;
}

CallerServer::CallerServer(const SharedCallerView& view,
                           std::function<bool(CallerRequest)> submit)
    : view_(view), submit_(std::move(submit)) {}

auto CallerServer::Port() const -> uint16_t {
  return server_->Port();
}

auto CallerServer::Deliver(const CallerReply& reply) -> void {
  const auto it = pending_.find(reply.reply_to.number);
  if (it == pending_.end()) {
    return;
  }
  const auto pending = std::move(it->second);
  pending_.erase(it);
  pending.respond(ToHttp(reply.body, pending.schema_version));
}

auto CallerServer::Drain() -> void {
  server_->Drain();
}

auto CallerServer::PendingRequests() const -> size_t {
  return pending_.size();
}

auto CallerServer::CheckHead(const HttpRequest& head) const
    -> std::optional<HttpResponse> {
  const auto view = view_.load();
  const auto length = FindHeader(head.headers, "Content-Length");
  uint64_t bytes = 0;
  std::from_chars(length.data(), length.data() + length.size(), bytes);
  if (!view->configuration ||
      bytes <= view->configuration->limits.max_body_bytes) {
    return std::nullopt;
  }
  return ToHttp(HttpFault::kBodyTooLarge);
}

auto CallerServer::OnRequest(const HttpRequest& request, HttpResponder respond)
    -> void {
  const auto path = PathSegments(request.target);
  if (path.size() == 1 && path[0] == "healthz") {
    respond(ProbeResponse(true, "live"));
  } else if (path.size() == 1 && path[0] == "readyz") {
    respond(ProbeResponse(view_.load()->ready, "ready"));
  } else if (const auto allowed = FindAllowedMethod(path); allowed.empty()) {
    respond(NotFound(request));
  } else if (request.method != allowed) {
    respond(WrongMethod(request, allowed));
  } else if (path[1] == "ids") {
    OnMint(request, respond);
  } else {
    OnJobs(request, path, std::move(respond));
  }
}

auto CallerServer::OnJobs(const HttpRequest& request,
                          const std::vector<std::string>& path,
                          HttpResponder respond) -> void {
  if (path.size() == 2) {
    OnSubmit(request, respond);
  } else if (path.size() == 3) {
    OnFetch(request, *ParseJobId(path[2]), std::move(respond));
  } else {
    OnCancel(request, *ParseJobId(path[2]), respond);
  }
}

auto CallerServer::OnMint(const HttpRequest& request,
                          const HttpResponder& respond) -> void {
  auto parsed = ParseMint(request.body);
  if (parsed.has_error()) {
    respond(ToHttp(parsed.error()));
    return;
  }
  SubmitToDispatcher(std::move(parsed.value().request),
                     parsed.value().schema_version, respond);
}

auto CallerServer::OnSubmit(const HttpRequest& request,
                            const HttpResponder& respond) -> void {
  const auto view = view_.load();
  if (!view->configuration) {
    // The id may belong to another instance, on which its job may have run, so
    // the response must not say "not run".
    respond(ToHttp(UndecidedReply{.reason = "no configuration is in force yet",
                                  .retry_after = kRetryAfter},
                   kNewestRecordVersion));
    return;
  }
  auto parsed = ParseSubmission(request.body, *view->configuration);
  if (parsed.has_error()) {
    respond(ToHttp(parsed.error()));
    return;
  }
  auto& submit = parsed.value();
  submit.wait = ParseWait(request);
  const auto version = submit.submission->schema_version;
  SubmitToDispatcher(std::move(submit), version, respond);
}

auto CallerServer::OnFetch(const HttpRequest& request,
                           const JobId& id,
                           HttpResponder respond) -> void {
  FetchRequest fetch;
  fetch.id = id;
  fetch.partner = QueryParameter(request.target, "partner");
  fetch.wait = ParseWait(request);
  SubmitToDispatcher(std::move(fetch), ParseSchemaVersion(request),
                     std::move(respond));
}

auto CallerServer::OnCancel(const HttpRequest& request,
                            const JobId& id,
                            const HttpResponder& respond) -> void {
  CancelRequest cancel;
  cancel.id = id;
  cancel.partner = QueryParameter(request.target, "partner");
  SubmitToDispatcher(std::move(cancel), ParseSchemaVersion(request), respond);
}

auto CallerServer::SubmitToDispatcher(CallerCall call,
                                      int schema_version,
                                      HttpResponder respond) -> void {
  const auto number = next_number_++;
  pending_.emplace(number, Pending{.respond = std::move(respond),
                                   .schema_version = schema_version});
  CallerRequest request;
  request.reply_to.number = number;
  request.call = std::move(call);
  if (submit_(std::move(request))) {
    return;
  }
  CallerReply reply;
  reply.reply_to.number = number;
  // It is not known here whether a job with this id has run.
  reply.body = UndecidedReply{
      .reason = "this instance takes no more requests at the moment",
      .retry_after = kRetryAfter};
  Deliver(reply);
}

}  // namespace boragecroft
