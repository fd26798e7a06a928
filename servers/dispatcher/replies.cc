#include "servers/dispatcher/replies.h"

#include <utility>

#include "servers/model/submission_digest.h"

namespace boragecroft {
namespace {

constexpr size_t kMaxRefusedRelays = 16384;
// Longer than a duplicate of a message can be in transit.
constexpr milliseconds kRefusedRelayRetention{30000};

auto LeavesIdUnused(Refusal refusal) -> bool {
  return refusal == Refusal::kDraining || refusal == Refusal::kNotReady ||
         refusal == Refusal::kOverloaded;
}

auto StoreRefusedRelay(EventContext& context, const ReplyTo& reply_to) -> void {
  auto& dispatcher = context.dispatcher;
  auto& until = dispatcher.refused_relays_until;
  while (!until.empty() && (until.front().first <= context.now.boot ||
                            until.size() >= kMaxRefusedRelays)) {
    dispatcher.refused_relays.erase(until.front().second);
    until.pop_front();
  }
  const RefusedRelay refused{.from = reply_to.relay, .number = reply_to.number};
  dispatcher.refused_relays.insert(refused);
  until.emplace_back(context.now.boot + kRefusedRelayRetention, refused);
}

}  // namespace

auto Reply(EventContext& context, const ReplyTo& reply_to, CallerReplyBody body)
    -> void {
  if (reply_to.IsLocal()) {
    context.out.callers.push_back(
        CallerReply{.reply_to = reply_to, .body = std::move(body)});
    return;
  }
  const auto* peer = FindPeer(context.dispatcher.membership, reply_to.relay);
  if (peer == nullptr) {
    return;
  }
  PeerMessage message;
  message.from = context.dispatcher.self;
  message.body = RelayReply{.number = reply_to.number, .body = std::move(body)};
  context.out.peers.emplace_back(
      SendToPeer{.to = peer->address, .message = std::move(message)});
}

auto ReplyRefused(EventContext& context,
                  const ReplyTo& reply_to,
                  Refusal refusal,
                  std::string reason,
                  milliseconds retry_after) -> void {
  ++context.dispatcher.counters.jobs_refused[static_cast<size_t>(refusal)];
  if (!reply_to.IsLocal() && LeavesIdUnused(refusal)) {
    StoreRefusedRelay(context, reply_to);
  }
  Reply(context, reply_to,
        RefusalReply{.refusal = refusal,
                     .reason = std::move(reason),
                     .retry_after = retry_after});
}

auto RefuseDigestMismatch(EventContext& context,
                          const CallerRequest& request,
                          uint64_t digest) -> bool {
  const auto* submit = std::get_if<SubmitRequest>(&request.call);
  if (submit == nullptr || digest == 0 ||
      DigestOf(*submit->submission) == digest) {
    return false;
  }
  ReplyRefused(context, request.reply_to, Refusal::kIdReused,
               "the id belongs to another submission, which was accepted: "
               "fetch the id for the state of that submission",
               {});
  return true;
}

auto ReplyUndecided(EventContext& context,
                    const ReplyTo& reply_to,
                    std::string reason) -> void {
  Reply(context, reply_to,
        UndecidedReply{.reason = std::move(reason),
                       .retry_after = kUndecidedRetry});
}

}  // namespace boragecroft
