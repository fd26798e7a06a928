// Encodes the HTTP requests to the platform and decodes its answers. See
// docs/PLATFORM.md.
#ifndef PEERS_PLATFORM_PLATFORM_CODEC_H_
#define PEERS_PLATFORM_PLATFORM_CODEC_H_

#include "core/base/result.h"
#include "core/http/http_connection.h"
#include "peers/platform/platform_messages.h"

namespace boragecroft {

// Returns the HTTP request for the command.
auto EncodePlatformCall(const PlatformCommand& command) -> HttpRequest;

// Returns the outcome of `command` that an HTTP answer or an HTTP error means.
// An answer that violates the interface is handled as a missing answer.
auto DecodePlatformAnswer(const PlatformCommand& command,
                          const Result<HttpResponse, HttpError>& answer)
    -> PlatformOutcome;

}  // namespace boragecroft

#endif  // PEERS_PLATFORM_PLATFORM_CODEC_H_
