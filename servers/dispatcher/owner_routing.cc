#include "servers/dispatcher/owner_routing.h"

#include <utility>

#include "servers/dispatcher/replies.h"
#include "servers/dispatcher/submitting.h"

namespace boragecroft {
namespace {

auto WaitOf(const CallerCall& call) -> milliseconds {
  if (const auto* submit = std::get_if<SubmitRequest>(&call)) {
    return submit->wait;
  }
  const auto* fetch = std::get_if<FetchRequest>(&call);
  return fetch == nullptr ? milliseconds(0) : fetch->wait;
}

template <class Predicate>
auto TakeRelays(Dispatcher& dispatcher, const Predicate& is_wanted)
    -> std::vector<CallerRequest> {
  std::vector<CallerRequest> taken;
  for (auto it = dispatcher.relays.begin(); it != dispatcher.relays.end();) {
    if (!is_wanted(it->second)) {
      ++it;
      continue;
    }
    taken.push_back(std::move(it->second.request));
    it = dispatcher.relays.erase(it);
  }
  return taken;
}

}  // namespace

auto IsTakenOver(const Dispatcher& dispatcher, const JobId& id) -> bool {
  const auto found = dispatcher.adopted.find(id.incarnation);
  return found != dispatcher.adopted.end() &&
         Contains(found->second.used, id.sequence);
}

auto RelayTo(Step& step, const PeerInstance& owner, CallerRequest request)
    -> void {
  auto& dispatcher = step.dispatcher;
  const auto number = dispatcher.next_relay++;
  ++dispatcher.counters.relays_sent;
  PeerMessage message;
  message.from = dispatcher.self;
  message.body = RelayRequest{.number = number, .call = request.call};
  step.out.peers.emplace_back(
      SendToPeer{.to = owner.address, .message = std::move(message)});
  RelayedRequest relayed;
  relayed.owner = owner.incarnation;
  relayed.expires =
      step.now.boot + WaitOf(request.call) + dispatcher.settings.relay_timeout;
  relayed.request = std::move(request);
  dispatcher.relays.emplace(number, std::move(relayed));
}

auto RouteRequest(Step& step, CallerRequest request) -> void {
  auto& dispatcher = step.dispatcher;
  const auto owner = IdOf(request.call).incarnation;
  if (owner == dispatcher.self || IsTakenOver(dispatcher, IdOf(request.call))) {
    ServeOwnRequest(step, request);
    return;
  }
  // A request that was already relayed once is not sent on: two instances with
  // different views could pass it to and fro.
  const auto* peer = FindPeer(dispatcher.membership, owner);
  if (request.reply_to.IsLocal() && peer != nullptr &&
      IsReachable(dispatcher.membership, *peer, step.now.boot)) {
    RelayTo(step, *peer, std::move(request));
    return;
  }
  LookUp(step, std::move(request));
}

auto OnRelayRequest(Step& step, Incarnation from, RelayRequest request)
    -> void {
  ++step.dispatcher.counters.relays_served;
  CallerRequest local;
  local.reply_to = ReplyTo{.number = request.number, .relay = from};
  local.call = std::move(request.call);
  RouteRequest(step, std::move(local));
}

auto OnRelayReply(Step& step, Incarnation from, RelayReply reply) -> void {
  const auto it = step.dispatcher.relays.find(reply.number);
  if (it == step.dispatcher.relays.end() || it->second.owner != from) {
    return;
  }
  const auto reply_to = it->second.request.reply_to;
  step.dispatcher.relays.erase(it);
  Reply(step, reply_to, std::move(reply.body));
}

auto AskRecordsInstead(Step& step, Incarnation stopped) -> void {
  auto waiting = TakeRelays(step.dispatcher, [&](const RelayedRequest& it) {
    return it.owner == stopped;
  });
  for (auto& it : waiting) {
    LookUp(step, std::move(it));
  }
}

auto ExpireRelays(Step& step) -> void {
  auto& dispatcher = step.dispatcher;
  const auto expired = TakeRelays(dispatcher, [&](const RelayedRequest& it) {
    return it.expires <= step.now.boot;
  });
  for (const auto& it : expired) {
    ++dispatcher.counters.relays_timed_out;
    ReplyUndecided(step, it.reply_to,
                   "the instance that owns this id did not answer");
  }
}

}  // namespace boragecroft
