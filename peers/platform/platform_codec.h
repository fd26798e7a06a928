// The bodies of the platform's interface. See docs/PLATFORM.md.
#ifndef PEERS_PLATFORM_PLATFORM_CODEC_H_
#define PEERS_PLATFORM_PLATFORM_CODEC_H_

#include "core/base/result.h"
#include "core/http/http_connection.h"
#include "peers/platform/platform_messages.h"

namespace boragecroft {

auto EncodePlatformCall(const PlatformCommand& command) -> HttpRequest;

// Turns what came back over HTTP into the outcome of `command`. An answer that
// breaks the interface counts as none.
auto DecodePlatformAnswer(const PlatformCommand& command,
                          const Result<HttpResponse, HttpError>& answer)
    -> PlatformOutcome;

}  // namespace boragecroft

#endif  // PEERS_PLATFORM_PLATFORM_CODEC_H_
