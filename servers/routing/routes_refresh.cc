#include "servers/routing/routes_refresh.h"

#include <algorithm>

namespace boragecroft {
namespace {

// Time for the store's feed to deliver a version that a peer knows already.
constexpr milliseconds kFeedLead{300};
// Interval between the first two requests; it doubles with each one.
constexpr milliseconds kFirstInterval{1000};
constexpr milliseconds kMaxInterval{8000};

}  // namespace

auto ShouldRequestRoutes(RoutesRefresh& state,
                         uint64_t known,
                         uint64_t offered,
                         Instant now) -> bool {
  if (offered <= known) {
    return false;
  }
  if (state.next_request == Instant()) {
    state.next_request = now + kFeedLead;
    state.interval = kFirstInterval;
    return false;
  }
  if (now < state.next_request) {
    return false;
  }
  state.next_request = now + state.interval;
  state.interval = std::min(state.interval * 2, kMaxInterval);
  return true;
}

auto OnRoutesAdopted(RoutesRefresh& state) -> void {
  state = RoutesRefresh();
}

}  // namespace boragecroft
