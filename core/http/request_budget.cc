#include "core/http/request_budget.h"

namespace boragecroft {

auto ToString(HttpFault fault) -> const char* {
  switch (fault) {
    case HttpFault::kMalformed:
      return "malformed_http";
    case HttpFault::kHeadTooLarge:
      return "head_too_large";
    case HttpFault::kBodyTooLarge:
      return "body_too_large";
    case HttpFault::kFramingTooLarge:
      return "framing_too_large";
    case HttpFault::kTooSlow:
      return "too_slow";
    case HttpFault::kTooManyConnections:
      return "too_many_connections";
  }
  return "unknown";
}

auto CheckRequestSize(const HttpRequestLimits& limits,
                      const RequestProgress& progress)
    -> std::optional<HttpFault> {
  if (!progress.head_complete) {
    return progress.head + progress.pending > limits.max_head_bytes
               ? std::optional(HttpFault::kHeadTooLarge)
               : std::nullopt;
  }
  if (progress.head > limits.max_head_bytes) {
    return HttpFault::kHeadTooLarge;
  }
  if (progress.body > limits.max_body_bytes) {
    return HttpFault::kBodyTooLarge;
  }
  const auto framing = progress.after_head - progress.body + progress.pending;
  const auto allowed =
      limits.max_head_bytes + kFramingBytesPerBodyByte * progress.body;
  // A single line that is not complete is kept in memory, so what the body has
  // allowed so far does not count for it.
  if (framing > allowed || progress.pending > limits.max_head_bytes) {
    return HttpFault::kFramingTooLarge;
  }
  return std::nullopt;
}

auto HeadMemory(const RequestProgress& progress, size_t lines) -> size_t {
  // A line takes at least 4 bytes ("a:" and a line end) and up to 192 bytes of
  // memory beside its text, in the parser's list and in the copy for the
  // application. Before the header is complete the lines are not counted, and
  // only the parser's list exists: 64 bytes for each line.
  constexpr size_t kBytesPerLine = 192;
  constexpr size_t kMaxGrowthInParser = 16;
  return progress.head_complete ? 2 * progress.head + lines * kBytesPerLine
                                : kMaxGrowthInParser * progress.head;
}

auto MaxDiscardedBytes(const HttpRequestLimits& limits) -> size_t {
  // A body of up to twice the limit is read to its end.
  return limits.max_head_bytes + 2 * limits.max_body_bytes;
}

}  // namespace boragecroft
