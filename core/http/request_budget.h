// Limits what is read of one HTTP request before it is complete.
#ifndef CORE_HTTP_REQUEST_BUDGET_H_
#define CORE_HTTP_REQUEST_BUDGET_H_

#include <cstddef>
#include <optional>

namespace boragecroft {

// Reason for which a request could not be read.
enum class HttpFault {
  kMalformed,
  kHeadTooLarge,
  kBodyTooLarge,
  kFramingTooLarge,  // chunk sizes, chunk extensions and trailers
  kTooSlow,
  kTooManyConnections
};

// Returns the name of a fault in logs and metrics.
auto ToString(HttpFault fault) -> const char*;

struct HttpRequestLimits {
  // Start line and header lines; the trailers have the same limit.
  size_t max_head_bytes = 8192;
  size_t max_body_bytes = 8U << 20U;
};

// Bytes of chunk sizes and extensions that each byte of a body allows. A chunk
// of one byte needs 5: its size in hexadecimal digits and two line ends.
inline constexpr size_t kFramingBytesPerBodyByte = 8;

// Bytes of a request so far. `pending` bytes were received, but the parser
// needs more before it can use them.
struct RequestProgress {
  bool head_complete = false;
  size_t head = 0;        // used by the parser
  size_t after_head = 0;  // used by the parser: framing and body
  size_t body = 0;
  size_t pending = 0;
};

// Returns the limit that a request has passed. The body of a request with a
// length is checked by the parser when its header is complete.
auto CheckRequestSize(const HttpRequestLimits& limits,
                      const RequestProgress& progress)
    -> std::optional<HttpFault>;

// Returns the memory in bytes that the header of a request takes as parsed.
// `lines` is the number of header lines once the header is complete.
auto HeadMemory(const RequestProgress& progress, size_t lines) -> size_t;

// Returns how many bytes are read and discarded after a refusal, so that the
// client can read the response before the connection is closed.
auto MaxDiscardedBytes(const HttpRequestLimits& limits) -> size_t;

}  // namespace boragecroft

#endif  // CORE_HTTP_REQUEST_BUDGET_H_
