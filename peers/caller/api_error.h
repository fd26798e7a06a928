// The error for a request that violates the callers' interface. No part of such
// a request was run.
#ifndef PEERS_CALLER_API_ERROR_H_
#define PEERS_CALLER_API_ERROR_H_

#include <string>

namespace boragecroft {

enum class ApiErrorCode {
  kMalformedHttp,
  kBodyTooLarge,
  kHeadTooLarge,
  kFramingTooLarge,
  kTooSlow,
  kMalformedJson,
  kInvalidField,
  kUnknownVersion,
  kNoTasks,
  kTooManyTasks,
  kNoSuchResource,
  kMethodNotAllowed,
};

struct ApiError {
  ApiErrorCode code = ApiErrorCode::kMalformedJson;
  std::string field;   // empty when no single field is invalid
  std::string reason;  // what was found and what is allowed
};

}  // namespace boragecroft

#endif  // PEERS_CALLER_API_ERROR_H_
