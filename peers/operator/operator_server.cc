#include "peers/operator/operator_server.h"

#include <boost/json/serialize.hpp>
#include <charconv>
#include <utility>

#include "core/json/object_reader.h"
#include "core/net/connection_pressure.h"

namespace boragecroft {
namespace {

constexpr int64_t kDefaultJobLimit = 100;
// Memory that the requests and answers of all operators may take together while
// they are not complete. The largest body, a declarations document, has 8 MB.
constexpr size_t kMaxHeldBytes = 16U << 20U;

// Call parsed from a request, or the response to an invalid request.
struct ParsedCall {
  std::optional<OperatorCall> call;
  HttpResponse error;
};

auto JsonResponse(int status, const json::value& body) -> HttpResponse {
  HttpResponse response;
  response.status = status;
  response.body = json::serialize(body);
  return response;
}

auto ErrorResponse(int status, std::string_view code, std::string_view reason)
    -> HttpResponse {
  json::object error;
  error["code"] = code;
  error["reason"] = reason;
  json::object body;
  body["error"] = std::move(error);
  return JsonResponse(status, body);
}

auto StatusOf(HttpFault fault) -> int {
  switch (fault) {
    case HttpFault::kBodyTooLarge:
      return 413;
    case HttpFault::kHeadTooLarge:
    case HttpFault::kFramingTooLarge:
      return 431;
    case HttpFault::kTooSlow:
      return 408;
    case HttpFault::kTooManyConnections:
      return 503;
    case HttpFault::kMalformed:
      break;
  }
  return 400;
}

auto InvalidCall(int status, std::string_view code, std::string_view reason)
    -> ParsedCall {
  return ParsedCall{.call = std::nullopt,
                    .error = ErrorResponse(status, code, reason)};
}

auto ValidCall(OperatorCall call) -> ParsedCall {
  return ParsedCall{.call = std::move(call), .error = {}};
}

auto NumberParameter(std::string_view target,
                     std::string_view name,
                     int64_t fallback) -> int64_t {
  const auto text = QueryParameter(target, name);
  auto number = fallback;
  std::from_chars(text.data(), text.data() + text.size(), number);
  return number;
}

auto ParseApply(const HttpRequest& request) -> ParsedCall {
  const auto document = ParseJson(request.body);
  if (document.has_error()) {
    return InvalidCall(400, "malformed_json", document.error().reason);
  }
  std::vector<FieldError> errors;
  ObjectReader reader(document.value(), "", errors);
  ApplyConfiguration apply;
  apply.expected_version = static_cast<uint64_t>(
      reader.Integer("expected_version", {.low = 0, .high = INT64_MAX}));
  apply.operation_id = reader.Text("operation_id");
  const auto* declarations = reader.Raw("document");
  reader.RejectUnknown();
  if (declarations == nullptr) {
    reader.Fail("document", "nothing", "a declarations document");
  }
  if (!errors.empty()) {
    return InvalidCall(400, "invalid_field", ToString(errors.front()));
  }
  apply.document = *declarations;
  return ValidCall(std::move(apply));
}

auto ParseJobs(const HttpRequest& request, const std::vector<std::string>& path)
    -> ParsedCall {
  if (path.size() == 2 && request.method == "GET") {
    ListJobs list;
    list.state = QueryParameter(request.target, "state");
    list.partner = QueryParameter(request.target, "partner");
    list.limit = static_cast<uint32_t>(
        NumberParameter(request.target, "limit", kDefaultJobLimit));
    return ValidCall(std::move(list));
  }
  const auto id = path.size() > 2 ? ParseJobId(path[2]) : std::nullopt;
  if (!id) {
    return InvalidCall(404, "no_such_resource", "this is no job id");
  }
  if (path.size() == 3 && request.method == "GET") {
    return ValidCall(ShowJob{.id = *id});
  }
  if (path.size() == 4 && path[3] == "cancel" && request.method == "POST") {
    return ValidCall(CancelJob{.id = *id});
  }
  return InvalidCall(404, "no_such_resource", "nothing is here");
}

auto ParseAccount(const HttpRequest& request) -> ParsedCall {
  ShowAccount account;
  account.partner = QueryParameter(request.target, "partner");
  account.from =
      WallTime(milliseconds(NumberParameter(request.target, "from_ms", 0)));
  account.to = WallTime(
      milliseconds(NumberParameter(request.target, "to_ms", INT64_MAX / 2)));
  return ValidCall(std::move(account));
}

auto ParseConfigurationCall(const HttpRequest& request) -> ParsedCall {
  if (request.method == "PUT") {
    return ParseApply(request);
  }
  const auto version = NumberParameter(request.target, "schema_version", 2);
  if (version < 1 || version > 2) {
    return InvalidCall(422, "unknown_version",
                       "schema versions 1 and 2 are known");
  }
  return ValidCall(
      ShowConfiguration{.schema_version = static_cast<int>(version)});
}

auto ParseCall(const HttpRequest& request) -> ParsedCall {
  const auto path = PathSegments(request.target);
  const auto is_get = request.method == "GET";
  if (path.size() < 2 || path[0] != "v1") {
    return InvalidCall(404, "no_such_resource", "nothing is here");
  }
  if (path[1] == "configuration" && path.size() == 2) {
    return ParseConfigurationCall(request);
  }
  if (path[1] == "jobs") {
    return ParseJobs(request, path);
  }
  if (path[1] == "account" && is_get) {
    return ParseAccount(request);
  }
  if (path[1] == "dump" && is_get) {
    return ValidCall(DumpState());
  }
  if (path[1] == "instances" && is_get) {
    return ValidCall(ShowInstances());
  }
  if (path[1] == "drain" && request.method == "POST") {
    return ValidCall(StartDrain());
  }
  return InvalidCall(404, "no_such_resource", "nothing is here");
}

}  // namespace

auto OperatorServer::Listen(boost::asio::io_context& context,
                            const Address& address,
                            std::function<bool(OperatorRequest)> submit)
    -> Result<std::unique_ptr<OperatorServer>, std::string> {
  auto self =
      std::unique_ptr<OperatorServer>(new OperatorServer(std::move(submit)));
  HttpServerOptions options;
  options.listen = address;
  options.max_connections = DivideDescriptors(DescriptorLimit()).operators;
  options.max_held_bytes = kMaxHeldBytes;
  HttpServerCallbacks callbacks;
  callbacks.on_request = [server = self.get()](const HttpRequest& request,
                                               const HttpResponder& respond) {
    server->OnRequest(request, respond);
  };
  callbacks.on_fault = [](HttpFault fault) {
    return ErrorResponse(StatusOf(fault), ToString(fault),
                         "the request cannot be read");
  };
  auto listening = HttpServer::Listen(context, options, std::move(callbacks));
  if (listening.has_error()) {
    return listening.error();
  }
  self->server_ = std::move(listening).value();
  return self;
}

OperatorServer::OperatorServer(std::function<bool(OperatorRequest)> submit)
    : submit_(std::move(submit)) {}

auto OperatorServer::Port() const -> uint16_t {
  return server_->Port();
}

auto OperatorServer::Deliver(const OperatorReply& reply) -> void {
  const auto it = pending_.find(reply.number);
  if (it == pending_.end()) {
    return;
  }
  const auto pending = std::move(it->second);
  pending_.erase(it);
  if (!pending.metrics) {
    pending.respond(JsonResponse(reply.status, reply.body));
    return;
  }
  HttpResponse response;
  response.content_type = "text/plain; version=0.0.4";
  response.body = metrics_.Render(reply.body.as_object());
  pending.respond(std::move(response));
}

auto OperatorServer::OnRequest(const HttpRequest& request,
                               const HttpResponder& respond) -> void {
  const auto metrics = TargetPath(request.target) == "/metrics";
  auto parsed = metrics ? ValidCall(ShowCounters()) : ParseCall(request);
  if (!parsed.call) {
    respond(std::move(parsed.error));
    return;
  }
  const auto number = next_number_++;
  pending_.emplace(number, Pending{.respond = respond, .metrics = metrics});
  if (!submit_(
          OperatorRequest{.number = number, .call = std::move(*parsed.call)})) {
    pending_.erase(number);
    respond(
        ErrorResponse(503, "overloaded",
                      "this instance takes no more requests at the moment"));
  }
}

}  // namespace boragecroft
