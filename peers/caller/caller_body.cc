#include "peers/caller/caller_body.h"

#include <string>

#include "core/json/repeated_member.h"

namespace boragecroft {

auto ParseCallerBody(std::string_view body) -> Result<json::value, ApiError> {
  auto document = ParseJson(body);
  if (document.has_error()) {
    const auto& error = document.error();
    return ApiError{
        .code = ApiErrorCode::kMalformedJson,
        .field = "",
        .reason = error.reason + " at byte " + std::to_string(error.offset)};
  }
  if (auto repeated = FindRepeatedMember(body)) {
    return ApiError{.code = ApiErrorCode::kInvalidField,
                    .field = *std::move(repeated),
                    .reason = "found it twice, allowed: each member once"};
  }
  return std::move(document).value();
}

}  // namespace boragecroft
