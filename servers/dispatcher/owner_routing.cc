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
auto ExtractRelays(Dispatcher& dispatcher, const Predicate& is_wanted)
    -> std::vector<CallerRequest> {
  std::vector<CallerRequest> extracted;
  for (auto it = dispatcher.relays.begin(); it != dispatcher.relays.end();) {
    if (!is_wanted(it->second)) {
      ++it;
      continue;
    }
    extracted.push_back(std::move(it->second.request));
    it = dispatcher.relays.erase(it);
  }
  return extracted;
}

}  // namespace

auto IsInheritedJob(const Dispatcher& dispatcher, const JobId& id) -> bool {
  const auto found = dispatcher.inherited.find(id.incarnation);
  return found != dispatcher.inherited.end() &&
         Contains(found->second.used, id.sequence);
}

auto RelayTo(EventContext& context,
             const PeerInstance& owner,
             CallerRequest request) -> void {
  auto& dispatcher = context.dispatcher;
  const auto number = dispatcher.next_relay++;
  ++dispatcher.counters.relays_sent;
  PeerMessage message;
  message.from = dispatcher.self;
  message.body = RelayRequest{.number = number, .call = request.call};
  context.out.peers.emplace_back(
      SendToPeer{.to = owner.address, .message = std::move(message)});
  RelayedRequest relayed;
  relayed.owner = owner.incarnation;
  relayed.expires = context.now.boot + WaitOf(request.call) +
                    dispatcher.settings.relay_timeout;
  relayed.request = std::move(request);
  dispatcher.relays.emplace(number, std::move(relayed));
}

auto RouteRequest(EventContext& context, CallerRequest request) -> void {
  auto& dispatcher = context.dispatcher;
  const auto owner = IdOf(request.call).incarnation;
  if (owner == dispatcher.self ||
      IsInheritedJob(dispatcher, IdOf(request.call))) {
    ServeOwnRequest(context, request);
    return;
  }
  // A request that was relayed to this instance is not relayed again, because
  // two instances with different views of the membership could send it back and
  // forth.
  const auto* peer = FindPeer(dispatcher.membership, owner);
  if (request.reply_to.IsLocal() && peer != nullptr &&
      IsReachable(dispatcher.membership, *peer, context.now.boot)) {
    RelayTo(context, *peer, std::move(request));
    return;
  }
  LookUp(context, std::move(request));
}

auto OnRelayRequest(EventContext& context,
                    Incarnation from,
                    RelayRequest request) -> void {
  const RefusedRelay relay{.from = from, .number = request.number};
  if (context.dispatcher.refused_relays.contains(relay)) {
    return;
  }
  ++context.dispatcher.counters.relays_served;
  CallerRequest local;
  local.reply_to = ReplyTo{.number = request.number, .relay = from};
  local.call = std::move(request.call);
  RouteRequest(context, std::move(local));
}

auto OnRelayReply(EventContext& context, Incarnation from, RelayReply reply)
    -> void {
  const auto it = context.dispatcher.relays.find(reply.number);
  if (it == context.dispatcher.relays.end() || it->second.owner != from) {
    return;
  }
  const auto reply_to = it->second.request.reply_to;
  context.dispatcher.relays.erase(it);
  Reply(context, reply_to, std::move(reply.body));
}

auto ResolveRelaysFromRecords(EventContext& context, Incarnation stopped)
    -> void {
  auto waiting = ExtractRelays(
      context.dispatcher,
      [&](const RelayedRequest& it) { return it.owner == stopped; });
  for (auto& it : waiting) {
    LookUp(context, std::move(it));
  }
}

auto ExpireRelays(EventContext& context) -> void {
  auto& dispatcher = context.dispatcher;
  const auto expired = ExtractRelays(dispatcher, [&](const RelayedRequest& it) {
    return it.expires <= context.now.boot;
  });
  for (const auto& it : expired) {
    ++dispatcher.counters.relays_timed_out;
    ReplyUndecided(context, it.reply_to,
                   "the instance that owns this id did not answer");
  }
}

}  // namespace boragecroft
