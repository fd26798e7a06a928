// Encodes the HTTP requests to endpoints and decodes their answers. See
// docs/ENDPOINT.md.
#ifndef PEERS_ENDPOINT_ENDPOINT_CODEC_H_
#define PEERS_ENDPOINT_ENDPOINT_CODEC_H_

#include <string>

#include "core/base/result.h"
#include "core/http/http_connection.h"
#include "peers/endpoint/endpoint_messages.h"

namespace boragecroft {

// Return the HTTP request for a start, a lease renewal or a query.
auto EncodeStart(const StartAttempt& start) -> HttpRequest;
auto EncodeRenewal(const RenewLeases& renewal) -> HttpRequest;
auto EncodeQuery(const QueryAttempt& query) -> HttpRequest;

// Return the outcome that an HTTP answer or an HTTP error means for the
// attempt. An answer that does not carry the id of the attempt results in
// kProtocol.
auto DecodeStartAnswer(const AttemptId& id,
                       const Result<HttpResponse, HttpError>& answer)
    -> AttemptOutcome;
auto DecodeQueryAnswer(const AttemptId& id,
                       const Result<HttpResponse, HttpError>& answer)
    -> AttemptOutcome;

}  // namespace boragecroft

#endif  // PEERS_ENDPOINT_ENDPOINT_CODEC_H_
