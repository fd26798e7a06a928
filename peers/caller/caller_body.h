// Parsing that all request bodies from callers share.
#ifndef PEERS_CALLER_CALLER_BODY_H_
#define PEERS_CALLER_CALLER_BODY_H_

#include <string_view>

#include "core/base/result.h"
#include "core/json/text.h"
#include "peers/caller/api_error.h"

namespace boragecroft {

// Parses strict JSON without repeated members, or returns the error for the
// response.
auto ParseCallerBody(std::string_view body) -> Result<json::value, ApiError>;

}  // namespace boragecroft

#endif  // PEERS_CALLER_CALLER_BODY_H_
