// The bodies of the endpoint's interface. See docs/ENDPOINT.md.
#ifndef PEERS_ENDPOINT_ENDPOINT_CODEC_H_
#define PEERS_ENDPOINT_ENDPOINT_CODEC_H_

#include <string>

#include "core/base/result.h"
#include "core/http/http_connection.h"
#include "peers/endpoint/endpoint_messages.h"

namespace boragecroft {

auto EncodeStart(const StartAttempt& start) -> HttpRequest;
auto EncodeRenewal(const RenewLeases& renewal) -> HttpRequest;
auto EncodeQuery(const QueryAttempt& query) -> HttpRequest;

// Turns what came back over HTTP into an outcome. Anything that does not carry
// the attempt's own id is kProtocol.
auto DecodeStartAnswer(const AttemptId& id,
                       const Result<HttpResponse, HttpError>& answer)
    -> AttemptOutcome;
auto DecodeQueryAnswer(const AttemptId& id,
                       const Result<HttpResponse, HttpError>& answer)
    -> AttemptOutcome;

}  // namespace boragecroft

#endif  // PEERS_ENDPOINT_ENDPOINT_CODEC_H_
