#include "servers/dispatcher/replies.h"

#include <utility>

#include "servers/model/submission_digest.h"

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

auto RefuseOtherWork(Step& step, const CallerRequest& request, uint64_t digest)
    -> bool {
  const auto* submit = std::get_if<SubmitRequest>(&request.call);
  if (submit == nullptr || digest == 0 ||
      DigestOf(*submit->submission) == digest) {
    return false;
  }
  ReplyRefused(step, request.reply_to, Refusal::kIdReused,
               "the id stands for another submission, which was taken: fetch "
               "the id to see how that one stands",
               {});
  return true;
}

auto ReplyUndecided(Step& step, const ReplyTo& reply_to, std::string reason)
    -> void {
  Reply(step, reply_to,
        UndecidedReply{.reason = std::move(reason),
                       .retry_after = kUndecidedRetry});
}

}  // namespace boragecroft
