#include "main/entry/suspension.h"

#include <utility>

#include "core/log/log.h"

namespace boragecroft {
namespace {

// After a gap of this length the peers may have given the connections up.
constexpr milliseconds kSuspensionThreshold = kHeartbeatTimeout;

}  // namespace

auto HandleSuspension(EntryState& state, Instant now) -> void {
  if (now - state.last_heartbeat < kSuspensionThreshold) {
    return;
  }
  Log(LogLevel::kWarning, "suspended",
      {{"for_ms",
        std::chrono::duration_cast<milliseconds>(now - state.last_heartbeat)
            .count()}});
  const auto suspended_at = std::exchange(state.last_heartbeat, now);
  for (const auto& [link, peer] : state.peers) {
    for (auto& [group, scheduler] : state.schedulers) {
      OnOriginLost(scheduler, link, suspended_at);
    }
  }
  OnSuspended(state.succession, now);
  // The peers have given these connections up. What they sent before must not
  // be acted on: a job in it may run elsewhere by now.
  state.link->EndAll();
}

}  // namespace boragecroft
