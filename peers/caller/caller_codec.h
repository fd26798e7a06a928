// The bodies of the callers' interface but submissions. See docs/API.md.
#ifndef PEERS_CALLER_CALLER_CODEC_H_
#define PEERS_CALLER_CALLER_CODEC_H_

#include <string_view>

#include "core/base/result.h"
#include "core/http/http_message.h"
#include "core/http/http_server.h"
#include "peers/caller/api_error.h"
#include "servers/dispatcher/caller_messages.h"

namespace boragecroft {

// A mint request and the version in which its answer goes back.
struct ParsedMint {
  MintRequest request;
  int schema_version = 2;
};

auto ParseMint(std::string_view body) -> Result<ParsedMint, ApiError>;

// The reply in the shape of `schema_version`.
auto ToHttp(const CallerReplyBody& body, int schema_version) -> HttpResponse;
auto ToHttp(const ApiError& error) -> HttpResponse;
auto ToHttp(HttpFault fault) -> HttpResponse;

}  // namespace boragecroft

#endif  // PEERS_CALLER_CALLER_CODEC_H_
