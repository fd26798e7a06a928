// Decodes the submissions of callers in every schema version. See docs/API.md.
#ifndef PEERS_CALLER_SUBMISSION_CODEC_H_
#define PEERS_CALLER_SUBMISSION_CODEC_H_

#include <string_view>

#include "core/base/result.h"
#include "peers/caller/api_error.h"
#include "servers/configuration/configuration.h"
#include "servers/dispatcher/caller_messages.h"

namespace boragecroft {

inline constexpr int kOldestRecordVersion = 1;
inline constexpr int kNewestRecordVersion = 2;

// Parses and checks the whole body. The error names the first invalid field.
// The `wait` of the request is not part of the body and keeps its default.
auto ParseSubmission(std::string_view body, const Configuration& configuration)
    -> Result<SubmitRequest, ApiError>;

}  // namespace boragecroft

#endif  // PEERS_CALLER_SUBMISSION_CODEC_H_
