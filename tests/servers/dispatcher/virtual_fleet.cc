#include "tests/servers/dispatcher/virtual_fleet.h"

#include <array>
#include <boost/log/core.hpp>

#include "tests/servers/dispatcher/promise_checks.h"
#include "tests/servers/dispatcher/virtual_exchanges.h"
#include "tests/servers/dispatcher/virtual_peers.h"
#include "tests/servers/dispatcher/virtual_platform.h"

namespace boragecroft {
namespace {

constexpr milliseconds kTick{20};
constexpr size_t kLeavingEndpoints = 2;
constexpr std::array kZones = {"bilbao", "santander"};

auto DeliverOutputs(VirtualFleet& fleet, size_t node, Outputs out) -> void {
  for (const auto& it : out.callers) {
    CheckReply(fleet, it);
  }
  for (auto& it : out.operators) {
    fleet.operator_replies[it.number] = std::move(it);
  }
  for (const auto& it : out.endpoints) {
    CarryToEndpoint(fleet, node, it);
  }
  for (const auto& it : out.peers) {
    if (const auto* send = std::get_if<SendToPeer>(&it)) {
      CheckRelayed(fleet, *send);
      CarryToPeer(fleet, node, *send);
    }
  }
  for (auto& it : out.platform) {
    ServePlatform(fleet, node, it);
  }
}

auto RecordFaults(VirtualFleet& fleet) -> void {
  for (auto& it : fleet.nodes) {
    if (IsPlatformUnavailable(fleet, it)) {
      it.platform_up_since = fleet.now.boot;
      fleet.last_fault = fleet.now.boot;
    }
    if (it.paused) {
      it.awake_since = fleet.now.boot;
      fleet.last_fault = fleet.now.boot;
    }
  }
}

auto Tick(VirtualFleet& fleet) -> void {
  fleet.now.boot += kTick;
  fleet.now.wall += kTick;
  RecordFaults(fleet);
  while (!fleet.event_queue.empty() &&
         fleet.event_queue.begin()->first <= fleet.now.boot) {
    const auto action = std::move(fleet.event_queue.begin()->second);
    fleet.event_queue.erase(fleet.event_queue.begin());
    action();
  }
  for (size_t i = 0; i < fleet.nodes.size(); ++i) {
    auto& node = fleet.nodes[i];
    if (node.dispatcher == nullptr || node.paused) {
      continue;
    }
    const auto waiting = std::exchange(node.inbox, {});
    for (const auto& it : waiting) {
      Deliver(fleet, i, node.dispatcher->self, it);
    }
    Deliver(fleet, i, node.dispatcher->self,
            [](EventContext& context) { Advance(context); });
    CheckNode(fleet, node);
    if (IsStopped(*node.dispatcher)) {
      node.dispatcher.reset();
      if (fleet.restarts) {
        Boot(fleet, i);
      }
    }
  }
}

}  // namespace

auto Chance(VirtualFleet& fleet, uint32_t percent) -> bool {
  return DrawBelow(fleet.random, 100) < percent;
}

auto Schedule(VirtualFleet& fleet,
              milliseconds delay,
              std::function<void()> action) -> void {
  fleet.event_queue.emplace(fleet.now.boot + delay, std::move(action));
}

auto Deliver(VirtualFleet& fleet, size_t node, Incarnation to, Event event)
    -> void {
  auto& it = fleet.nodes[node];
  if (it.dispatcher == nullptr ||
      (to.value != 0 && it.dispatcher->self != to)) {
    return;
  }
  if (it.paused || !it.inbox.empty()) {
    it.inbox.push_back(std::move(event));
    return;
  }
  Outputs out;
  fleet.responder = it.dispatcher->self;
  EventContext context{*it.dispatcher, fleet.now, out};
  event(context);
  DeliverOutputs(fleet, node, std::move(out));
}

auto IsPlatformUnavailable(const VirtualFleet& fleet, const VirtualNode& node)
    -> bool {
  return fleet.platform_down ||
         fleet.zones_without_platform.contains(node.settings.zone);
}

auto MakeFleet(size_t nodes, uint64_t seed, size_t zones)
    -> std::unique_ptr<VirtualFleet> {
  boost::log::core::get()->set_logging_enabled(false);
  auto fleet = std::make_unique<VirtualFleet>();
  fleet->random.seed(seed);
  std::vector<Address> seeds;
  for (size_t i = 0; i < nodes; ++i) {
    seeds.push_back({.ip = "10.0.0.1", .port = static_cast<uint16_t>(1 + i)});
  }
  for (size_t i = 0; i < nodes; ++i) {
    auto& node = fleet->nodes.emplace_back();
    node.settings.instance = "entry-" + std::to_string(i);
    node.settings.zone = kZones[i % zones];
    node.settings.peer_address = seeds[i];
    node.settings.seed_peers = seeds;
  }
  fleet->permanent_endpoints = zones;
  for (size_t i = 0; i < kLeavingEndpoints + zones; ++i) {
    const Address address{.ip = "10.0.1.1",
                          .port = static_cast<uint16_t>(1 + i)};
    fleet->endpoints[address].zone = kZones[i % zones];
  }
  WriteConfiguration(*fleet);
  for (size_t i = 0; i < nodes; ++i) {
    Boot(*fleet, i);
  }
  Elapse(*fleet, seconds(3));
  return fleet;
}

auto Boot(VirtualFleet& fleet, size_t node) -> void {
  auto& it = fleet.nodes[node];
  it.paused = false;
  it.inbox.clear();
  it.highest_version = 0;
  it.awake_since = fleet.now.boot;
  fleet.last_fault = fleet.now.boot;
  it.dispatcher =
      MakeDispatcher(it.settings, Incarnation{fleet.next_incarnation++},
                     fleet.random(), fleet.now);
}

auto Kill(VirtualFleet& fleet, size_t node) -> void {
  auto& it = fleet.nodes[node];
  if (it.dispatcher != nullptr) {
    fleet.presumed_terminated.insert(it.dispatcher->self);
    it.dispatcher.reset();
  }
}

auto Drain(VirtualFleet& fleet, size_t node) -> void {
  Deliver(fleet, node, {}, [](EventContext& context) { BeginDrain(context); });
}

auto Elapse(VirtualFleet& fleet, milliseconds time) -> void {
  for (auto left = time; left.count() > 0; left -= kTick) {
    Tick(fleet);
  }
}

auto EndAllFaults(VirtualFleet& fleet) -> void {
  fleet.rates = {};
  fleet.platform_down = false;
  fleet.zones_without_platform.clear();
  fleet.partitions.clear();
  for (size_t i = 0; i < fleet.nodes.size(); ++i) {
    fleet.nodes[i].paused = false;
    if (fleet.nodes[i].dispatcher == nullptr) {
      Boot(fleet, i);
    }
  }
  Elapse(fleet, seconds(45));
}

}  // namespace boragecroft
