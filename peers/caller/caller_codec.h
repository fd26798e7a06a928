// Decodes requests and encodes responses of the callers' interface, except for
// submissions. See docs/API.md.
#ifndef PEERS_CALLER_CALLER_CODEC_H_
#define PEERS_CALLER_CALLER_CODEC_H_

#include <string_view>

#include "core/base/result.h"
#include "core/http/http_message.h"
#include "core/http/http_server.h"
#include "peers/caller/api_error.h"
#include "servers/dispatcher/caller_messages.h"

namespace boragecroft {

// Request for new ids and the schema version of its response.
struct ParsedMint {
  MintRequest request;
  int schema_version = 2;
};

auto ParseMint(std::string_view body) -> Result<ParsedMint, ApiError>;

// Returns the reply in the form that `schema_version` specifies.
auto ToHttp(const CallerReplyBody& body, int schema_version) -> HttpResponse;
auto ToHttp(const ApiError& error) -> HttpResponse;
auto ToHttp(HttpFault fault) -> HttpResponse;

}  // namespace boragecroft

#endif  // PEERS_CALLER_CALLER_CODEC_H_
