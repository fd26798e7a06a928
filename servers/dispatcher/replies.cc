#include "servers/dispatcher/replies.h"

#include <utility>

#include "servers/model/submission_digest.h"

namespace boragecroft {
namespace {

constexpr size_t kMaxRefusedRelays = 16384;
// Longer than a copy of a message can be on its way.
constexpr milliseconds kRefusedRelayMemory{30000};

auto LeavesIdUnused(Refusal refusal) -> bool {
  return refusal == Refusal::kDraining || refusal == Refusal::kNotReady ||
         refusal == Refusal::kOverloaded;
}

auto RememberRefusedRelay(Step& step, const ReplyTo& reply_to) -> void {
  auto& dispatcher = step.dispatcher;
  auto& until = dispatcher.refused_relays_until;
  while (!until.empty() && (until.front().first <= step.now.boot ||
                            until.size() >= kMaxRefusedRelays)) {
    dispatcher.refused_relays.erase(until.front().second);
    until.pop_front();
  }
  const RefusedRelay refused{.from = reply_to.relay, .number = reply_to.number};
  dispatcher.refused_relays.insert(refused);
  until.emplace_back(step.now.boot + kRefusedRelayMemory, refused);
}

}  // namespace

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
  if (!reply_to.IsLocal() && LeavesIdUnused(refusal)) {
    RememberRefusedRelay(step, reply_to);
  }
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
