#include "servers/dispatcher/replies.h"

#include <utility>

namespace boragecroft {

auto Reply(Step& step, const ReplyTo& reply_to, CallerReplyBody body) -> void {
  if (reply_to.IsLocal()) {
    step.out.callers.push_back(
        CallerReply{.reply_to = reply_to, .body = std::move(body)});
    return;
  }
  const auto* peer = FindPeer(step.dispatcher.membership, reply_to.relay);
  if (peer == nullptr) {
    return;
  }
  PeerMessage message;
  message.from = step.dispatcher.self;
  message.body = RelayReply{.number = reply_to.number, .body = std::move(body)};
  step.out.peers.emplace_back(
      SendToPeer{.to = peer->address, .message = std::move(message)});
}

auto ReplyRefused(Step& step,
                  const ReplyTo& reply_to,
                  Refusal refusal,
                  std::string reason,
                  milliseconds retry_after) -> void {
  ++step.dispatcher.counters.jobs_refused[static_cast<size_t>(refusal)];
  Reply(step, reply_to,
        RefusalReply{.refusal = refusal,
                     .reason = std::move(reason),
                     .retry_after = retry_after});
}

auto ReplyUndecided(Step& step, const ReplyTo& reply_to, std::string reason)
    -> void {
  Reply(step, reply_to,
        UndecidedReply{.reason = std::move(reason),
                       .retry_after = kUndecidedRetry});
}

}  // namespace boragecroft
