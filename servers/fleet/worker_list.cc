// Applies the platform's list of workers, which lags, to the fleet.
#include <algorithm>
#include <map>
#include <unordered_set>
#include <utility>

#include "servers/fleet/fleet.h"

namespace boragecroft {

namespace {

// A list that is older than the current one is applied anyway if no newer one
// came for this long, because the platform's clock may have been set back.
constexpr auto kStaleListTimeout = seconds(60);
// A worker is removed after it was missing from this many lists and for this
// long.
constexpr uint32_t kMissingListsUntilRemoved = 2;
constexpr auto kMissingTimeUntilRemoved = seconds(3);

using Key = std::pair<std::string, std::string>;  // service and worker

struct ServiceCount {
  size_t known_live = 0;
  size_t listed = 0;
};

auto KeyOf(const ListedWorker& listed) -> Key {
  return {listed.service, listed.name};
}

// Indexes the entries that are not removed, and the removed entries whose
// worker may come back.
auto IndexByKey(const Fleet& fleet) -> std::map<Key, size_t> {
  std::map<Key, size_t> result;
  for (const auto& [service, indices] : fleet.by_service) {
    for (const auto n : indices) {
      const auto key = KeyOf(fleet.workers[n].listed);
      const auto [it, is_new] = result.emplace(key, n);
      if (!is_new && fleet.workers[n].state != WorkerState::kRemoved) {
        it->second = n;
      }
    }
  }
  return result;
}

auto CountByService(const Fleet& fleet, const WorkerList& list)
    -> std::map<std::string, ServiceCount> {
  std::map<std::string, ServiceCount> result;
  for (const auto& it : fleet.workers) {
    result[it.listed.service].known_live +=
        it.state == WorkerState::kLive ? 1 : 0;
  }
  for (const auto& it : list.workers) {
    ++result[it.service].listed;
  }
  return result;
}

auto AddWorker(Fleet& fleet, const ListedWorker& listed) -> size_t {
  auto index = fleet.workers.size();
  if (fleet.unused.empty()) {
    fleet.workers.emplace_back();
  } else {
    index = fleet.unused.back();
    fleet.unused.pop_back();
    fleet.workers[index] = {};
  }
  fleet.workers[index].id = {++fleet.last_id};
  fleet.workers[index].listed = listed;
  fleet.workers[index].incarnation = listed.incarnation;
  fleet.by_service[listed.service].push_back(index);
  return index;
}

auto IsSameIncarnation(const ListedWorker& a, const ListedWorker& b) -> bool {
  return a.incarnation == b.incarnation && a.address == b.address;
}

auto ApplyListedWorker(Fleet& fleet,
                       std::map<Key, size_t>& index_by_key,
                       const ListedWorker& listed,
                       Now now,
                       ListChange& change) -> WorkerId {
  const auto it = index_by_key.find(KeyOf(listed));
  auto index = it == index_by_key.end() ? fleet.workers.size() : it->second;
  if (it == index_by_key.end() ||
      !IsSameIncarnation(fleet.workers[index].listed, listed)) {
    if (it != index_by_key.end() &&
        fleet.workers[index].state != WorkerState::kRemoved) {
      fleet.workers[index].state = WorkerState::kRemoved;
      change.removed.push_back(fleet.workers[index].id);
    }
    index = AddWorker(fleet, listed);
    index_by_key[KeyOf(listed)] = index;
    change.added.push_back(fleet.workers[index].id);
  }
  auto& worker = fleet.workers[index];
  worker.listed = listed;
  if (worker.state == WorkerState::kLeaving && !listed.leaving) {
    worker.draining = false;
  }
  worker.state = listed.leaving ? WorkerState::kLeaving : WorkerState::kLive;
  worker.listed_at = now.boot;
  worker.missing_lists = 0;
  return worker.id;
}

auto ApplyMissingWorker(FleetWorker& worker, bool list_is_plausible, Now now)
    -> void {
  if (worker.missing_lists == 0) {
    worker.missing_since = now.boot;
  }
  ++worker.missing_lists;
  const auto confirmed =
      worker.missing_lists >= kMissingListsUntilRemoved &&
      now.boot - worker.missing_since >= kMissingTimeUntilRemoved;
  const auto unreachable = worker.connect_failures > 0 &&
                           worker.connect_failed_at >= worker.missing_since;
  if (worker.state == WorkerState::kLeaving || unreachable ||
      (list_is_plausible && confirmed)) {
    worker.state = WorkerState::kRemoved;
  }
}

auto ReleaseRemovedWorkers(Fleet& fleet) -> void {
  for (auto& [service, indices] : fleet.by_service) {
    std::erase_if(indices, [&](size_t n) {
      const auto& worker = fleet.workers[n];
      const auto drop =
          worker.state == WorkerState::kRemoved && worker.in_progress == 0;
      if (drop) {
        fleet.unused.push_back(n);
      }
      return drop;
    });
  }
}

auto IsStale(const Fleet& fleet, const WorkerList& list, Now now) -> bool {
  return list.as_of < fleet.list_as_of &&
         now.boot - fleet.list_applied_at < kStaleListTimeout;
}

}  // namespace

auto ApplyWorkerList(Fleet& fleet,
                     const std::optional<WorkerList>& list,
                     Now now) -> ListChange {
  ListChange change;
  if (!list || list->workers.empty()) {
    change.effect = ListEffect::kIgnoredEmpty;
    return change;
  }
  if (IsStale(fleet, *list, now)) {
    change.effect = ListEffect::kIgnoredStale;
    return change;
  }
  const auto is_repeated = list->as_of == fleet.list_as_of;
  const auto counts = CountByService(fleet, *list);
  auto index_by_key = IndexByKey(fleet);
  std::unordered_set<WorkerId> seen;
  for (const auto& it : list->workers) {
    seen.insert(ApplyListedWorker(fleet, index_by_key, it, now, change));
  }
  for (auto& it : fleet.workers) {
    if (it.state == WorkerState::kRemoved || seen.contains(it.id)) {
      continue;
    }
    // A list with fewer than half of the known live workers of a service is
    // treated as partial.
    const auto& count = counts.at(it.listed.service);
    const auto list_is_plausible = count.listed * 2 >= count.known_live;
    change.partial = change.partial || !list_is_plausible;
    // A repeated list gives no new information about missing workers.
    if (is_repeated) {
      continue;
    }
    ApplyMissingWorker(it, list_is_plausible, now);
    if (it.state == WorkerState::kRemoved) {
      change.removed.push_back(it.id);
    }
  }
  ReleaseRemovedWorkers(fleet);
  fleet.list_as_of = list->as_of;
  fleet.list_applied_at = now.boot;
  return change;
}

}  // namespace boragecroft
