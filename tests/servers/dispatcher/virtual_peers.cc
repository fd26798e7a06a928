#include "tests/servers/dispatcher/virtual_peers.h"

#include <algorithm>

namespace boragecroft {

auto CarryToPeer(VirtualFleet& fleet, size_t node, const SendToPeer& send)
    -> void {
  for (size_t to = 0; to < fleet.nodes.size(); ++to) {
    if (fleet.nodes[to].settings.peer_address != send.to ||
        fleet.partitions.contains(std::minmax(node, to)) ||
        Chance(fleet, fleet.rates.peer_lost)) {
      continue;
    }
    const auto copies = Chance(fleet, fleet.rates.peer_repeated) ? 2 : 1;
    for (auto i = 0; i < copies; ++i) {
      const auto late = Chance(fleet, fleet.rates.peer_late);
      Schedule(
          fleet, milliseconds(1 + DrawBelow(fleet.random, late ? 3000 : 3)),
          [&fleet, to, message = send.message] {
            Deliver(fleet, to, {}, [&fleet, message](EventContext& context) {
              if (std::holds_alternative<RelayReply>(message.body)) {
                fleet.responder = message.from;
              }
              OnPeerMessage(context, message);
            });
          });
    }
  }
}

}  // namespace boragecroft
