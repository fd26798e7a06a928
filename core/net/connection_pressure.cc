#include "core/net/connection_pressure.h"

#include <sys/resource.h>

#include <algorithm>

namespace boragecroft {
namespace {

// Reports whether `a` is closed before `b`.
auto IsClosedBefore(const ConnectionUse& a, const ConnectionUse& b) -> bool {
  if (a.phase != b.phase) {
    return a.phase < b.phase;
  }
  if (a.phase == ConnectionPhase::kIdle) {
    return a.id > b.id;
  }
  return a.phase_began != b.phase_began ? a.phase_began < b.phase_began
                                        : a.id < b.id;
}

template <class Filter>
auto Choose(const std::vector<ConnectionUse>& connections,
            uint64_t exempt,
            Filter filter) -> std::optional<uint64_t> {
  const ConnectionUse* first = nullptr;
  for (const auto& it : connections) {
    const auto may_close = it.id != exempt &&
                           it.phase != ConnectionPhase::kInProgress &&
                           filter(it);
    if (may_close && (first == nullptr || IsClosedBefore(it, *first))) {
      first = &it;
    }
  }
  return first == nullptr ? std::nullopt : std::optional(first->id);
}

}  // namespace

auto ChooseForRoom(const std::vector<ConnectionUse>& connections,
                   uint64_t exempt) -> std::optional<uint64_t> {
  return Choose(connections, exempt, [](const ConnectionUse&) { return true; });
}

auto ChooseForMemory(const std::vector<ConnectionUse>& connections,
                     uint64_t exempt) -> std::optional<uint64_t> {
  return Choose(connections, exempt,
                [](const ConnectionUse& it) { return it.held_bytes > 0; });
}

auto DivideDescriptors(size_t descriptors) -> ConnectionCounts {
  return {.callers = std::min<size_t>(4096, descriptors / 2),
          .instances = std::min<size_t>(1024, descriptors / 4),
          .operators = std::min<size_t>(256, descriptors / 8)};
}

auto DescriptorLimit() -> size_t {
  rlimit limit{};
  ::getrlimit(RLIMIT_NOFILE, &limit);
  return limit.rlim_cur;
}

}  // namespace boragecroft
