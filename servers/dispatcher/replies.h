// Replies to callers, whether they wait here or at the instance that relayed
// their request.
#ifndef SERVERS_DISPATCHER_REPLIES_H_
#define SERVERS_DISPATCHER_REPLIES_H_

#include <string>

#include "servers/dispatcher/state.h"

namespace boragecroft {

// How long a caller should wait before it asks again about something undecided.
inline constexpr milliseconds kUndecidedRetry{500};
// The same after a refusal that time may lift.
inline constexpr milliseconds kRefusalRetry{200};

auto Reply(EventContext& context, const ReplyTo& reply_to, CallerReplyBody body)
    -> void;
auto ReplyRefused(EventContext& context,
                  const ReplyTo& reply_to,
                  Refusal refusal,
                  std::string reason,
                  milliseconds retry_after) -> void;
// Refuses a submission whose id stands for other work, of which `digest` is
// known unless it is 0. Whether it did.
auto RefuseDigestMismatch(EventContext& context,
                          const CallerRequest& request,
                          uint64_t digest) -> bool;
auto ReplyUndecided(EventContext& context,
                    const ReplyTo& reply_to,
                    std::string reason) -> void;

}  // namespace boragecroft

#endif  // SERVERS_DISPATCHER_REPLIES_H_
