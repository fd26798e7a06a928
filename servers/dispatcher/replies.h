// Sends replies to callers that wait at this instance or at the instance that
// relayed their request.
#ifndef SERVERS_DISPATCHER_REPLIES_H_
#define SERVERS_DISPATCHER_REPLIES_H_

#include <string>

#include "servers/dispatcher/state.h"

namespace boragecroft {

// Time that a caller should wait before it retries an undecided request.
inline constexpr milliseconds kUndecidedRetry{500};
// Time that a caller should wait after a temporary refusal.
inline constexpr milliseconds kRefusalRetry{200};

auto Reply(EventContext& context, const ReplyTo& reply_to, CallerReplyBody body)
    -> void;
auto ReplyRefused(EventContext& context,
                  const ReplyTo& reply_to,
                  Refusal refusal,
                  std::string reason,
                  milliseconds retry_after) -> void;
// Refuses a submission whose digest differs from `digest`, which belongs to the
// submission already accepted under the same id. A `digest` of 0 is unknown and
// matches any submission. Returns true when the request was refused.
auto RefuseDigestMismatch(EventContext& context,
                          const CallerRequest& request,
                          uint64_t digest) -> bool;
auto ReplyUndecided(EventContext& context,
                    const ReplyTo& reply_to,
                    std::string reason) -> void;

}  // namespace boragecroft

#endif  // SERVERS_DISPATCHER_REPLIES_H_
