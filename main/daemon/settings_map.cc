#include "main/daemon/settings_map.h"

namespace boragecroft {
namespace {

// Number of consecutive missed heartbeats after which a peer counts as
// unreachable.
constexpr int kMaxMissedHeartbeats = 4;

}  // namespace

auto ToDispatcherSettings(const DaemonSettings& settings,
                          const Address& peer_address) -> DispatcherSettings {
  DispatcherSettings out;
  out.instance = settings.instance;
  out.zone = settings.availability_zone;
  out.peer_address = peer_address;
  out.seed_peers = settings.seed_instances;
  out.membership.zone_heartbeat_interval = settings.heartbeat_interval;
  out.membership.unresponsive_after =
      settings.heartbeat_interval * kMaxMissedHeartbeats;
  out.membership.dead_after = settings.dead_after;
  out.configuration.max_wait = settings.configuration_max_wait;
  out.configuration.pause_threshold = settings.pause_threshold;
  out.configuration_poll_interval = settings.configuration_poll_interval;
  out.list_poll_interval = settings.list_poll_interval;
  out.ledger.interval = settings.ledger_flush_interval;
  out.max_answer_bytes = size_t{settings.answer_memory_mb} << 20U;
  out.relay_timeout = settings.peer_timeout;
  out.query_timeout = settings.query_timeout;
  out.drain_timeout = settings.drain_timeout;
  out.balancer_grace = settings.balancer_grace;
  return out;
}

auto ToRingSizes(const DaemonSettings& settings) -> RingSizes {
  RingSizes out;
  out.callers = settings.caller_ring_size;
  out.endpoints = settings.endpoint_ring_size;
  out.instances = settings.instance_ring_size;
  out.platform = settings.platform_ring_size;
  out.operators = settings.operator_ring_size;
  return out;
}

}  // namespace boragecroft
