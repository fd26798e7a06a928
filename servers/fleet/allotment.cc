#include "servers/fleet/allotment.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace boragecroft {

namespace {

constexpr auto kDemandSmoothing = std::chrono::duration<double>(1);
// The reported demand changes only when the smoothed demand differs from it by
// more than both of these tolerances.
constexpr auto kReportTolerance = 0.2;
constexpr auto kReportToleranceSlots = 2.0;
constexpr auto kEvenShare = 0.1;

auto CountSlots(const std::vector<SharedWorker>& workers) -> uint32_t {
  return std::accumulate(
      workers.begin(), workers.end(), 0U,
      [](uint32_t sum, const SharedWorker& it) { return sum + it.slots; });
}

// Returns the number of slots that one instance can use, which its share of the
// connections may limit.
auto CountReachableSlots(const std::vector<SharedWorker>& workers,
                         size_t instances) -> uint32_t {
  auto sum = 0U;
  for (const auto& it : workers) {
    sum += std::min(it.slots, ConnectionShare(it.connections, instances));
  }
  return sum;
}

// Rounds `shares` to integers with the sum `total` by the largest-remainder
// method; equal remainders are ordered by instance name.
auto RoundShares(const std::vector<double>& shares,
                 const std::vector<InstanceDemand>& demands,
                 uint32_t total) -> std::vector<uint32_t> {
  std::vector<uint32_t> result(shares.size());
  std::vector<size_t> order(shares.size());
  std::iota(order.begin(), order.end(), 0U);
  for (size_t n = 0; n < shares.size(); ++n) {
    result[n] = static_cast<uint32_t>(shares[n]);
  }
  std::sort(order.begin(), order.end(), [&](size_t a, size_t b) {
    const auto rest_a = shares[a] - std::floor(shares[a]);
    const auto rest_b = shares[b] - std::floor(shares[b]);
    return rest_a != rest_b ? rest_a > rest_b
                            : demands[a].instance < demands[b].instance;
  });
  auto left = total - std::accumulate(result.begin(), result.end(), 0U);
  for (size_t n = 0; left > 0; n = (n + 1) % order.size(), --left) {
    ++result[order[n]];
  }
  return result;
}

// Returns shares proportional to `weights` that sum up to `total`, with none
// above `limit` as long as that is possible.
auto ShareBelow(const std::vector<double>& weights, double total, double limit)
    -> std::vector<double> {
  std::vector<double> result(weights.size(), 0);
  std::vector<bool> is_full(weights.size(), false);
  auto left = total;
  for (auto changed = true; changed;) {
    changed = false;
    auto sum = 0.0;
    for (size_t n = 0; n < weights.size(); ++n) {
      sum += is_full[n] ? 0 : weights[n];
    }
    const auto shared = left;
    for (size_t n = 0; n < weights.size(); ++n) {
      if (is_full[n]) {
        continue;
      }
      result[n] = shared * weights[n] / sum;
      if (result[n] > limit) {
        result[n] = limit;
        is_full[n] = true;
        left -= limit;
        changed = true;
      }
    }
  }
  return result;
}

}  // namespace

auto UpdateDemand(DemandMeter& meter, uint32_t slots, Now now) -> uint32_t {
  const std::chrono::duration<double> age = now.boot - meter.updated;
  meter.updated = now.boot;
  const auto kept = std::exp(-age / kDemandSmoothing);
  meter.smoothed = slots + (meter.smoothed - slots) * kept;
  const auto off = std::abs(meter.smoothed - meter.reported);
  if (off > kReportToleranceSlots && off > kReportTolerance * meter.reported) {
    meter.reported = static_cast<uint32_t>(std::lround(meter.smoothed));
  }
  return meter.reported;
}

auto ConnectionShare(uint32_t connections, size_t instances) -> uint32_t {
  return std::max(
      1U, connections / static_cast<uint32_t>(std::max<size_t>(instances, 1)));
}

auto ShareSlots(const std::vector<SharedWorker>& workers,
                const std::vector<InstanceDemand>& demands)
    -> std::vector<uint32_t> {
  const auto total = CountSlots(workers);
  const auto even = 1.0 / static_cast<double>(demands.size());
  auto sum = 0.0;
  for (const auto& it : demands) {
    sum += std::min(it.slots, total);
  }
  std::vector<double> weights;
  weights.reserve(demands.size());
  for (const auto& it : demands) {
    const auto by_demand = sum > 0 ? std::min(it.slots, total) / sum : even;
    weights.push_back(kEvenShare * even + (1 - kEvenShare) * by_demand);
  }
  const auto shares =
      ShareBelow(weights, total, CountReachableSlots(workers, demands.size()));
  return RoundShares(shares, demands, total);
}

auto AssignSlots(SlotOrder& order,
                 const std::vector<SharedWorker>& workers,
                 const std::vector<InstanceDemand>& demands) -> SlotOwners {
  const auto none = demands.size();
  SlotOwners owners;
  owners.reserve(workers.size());
  for (const auto& it : workers) {
    owners.emplace_back(it.slots, none);
  }
  std::vector<std::string> instances;
  instances.reserve(demands.size());
  for (const auto& it : demands) {
    instances.push_back(it.instance);
  }
  UpdateSlotOrder(order, workers, instances);
  auto shares_left = ShareSlots(workers, demands);
  std::vector<uint32_t> assigned_counts(workers.size() * demands.size(), 0);
  const auto assign = [&](bool within_share) {
    for (const auto& it : order.claims) {
      auto& owner = owners[it.worker][it.slot];
      auto& count = assigned_counts[it.worker * demands.size() + it.instance];
      auto& share_left = shares_left[it.instance];
      const auto limit =
          ConnectionShare(workers[it.worker].connections, demands.size());
      if (owner != none ||
          (within_share && (share_left == 0 || count >= limit))) {
        continue;
      }
      owner = it.instance;
      ++count;
      share_left -= share_left > 0 ? 1 : 0;
    }
  };
  assign(true);
  // Assigns the slots that remain because the instances with a share left have
  // no connection left.
  assign(false);
  return owners;
}

namespace {

// Sorts the demands by name, so that the cached slot order stays valid whatever
// the order in which heartbeats arrived. Adds `self` if it is missing and
// returns its index.
auto SortAndFind(std::vector<InstanceDemand>& demands, const std::string& self)
    -> size_t {
  const auto is_self = [&](const InstanceDemand& it) {
    return it.instance == self;
  };
  if (std::none_of(demands.begin(), demands.end(), is_self)) {
    demands.push_back({self, 0});
  }
  std::sort(demands.begin(), demands.end(),
            [](const InstanceDemand& a, const InstanceDemand& b) {
              return a.instance < b.instance;
            });
  return std::find_if(demands.begin(), demands.end(), is_self) -
         demands.begin();
}

}  // namespace

auto AllotSlots(Fleet& fleet,
                const std::string& service,
                std::vector<InstanceDemand> demands,
                const std::string& self) -> void {
  const auto self_index = SortAndFind(demands, self);
  std::vector<size_t> indices;
  std::vector<SharedWorker> workers;
  // Uses only the state from the platform's list, because the instances' own
  // observations differ.
  for (const auto n : fleet.by_service[service]) {
    const auto& it = fleet.workers[n];
    if (it.state == WorkerState::kLive) {
      indices.push_back(n);
      workers.push_back(
          {it.listed.name, it.listed.slots, it.listed.connections});
    }
  }
  const auto owners = AssignSlots(fleet.slot_orders[service], workers, demands);
  for (size_t n = 0; n < indices.size(); ++n) {
    auto& worker = fleet.workers[indices[n]];
    worker.allotted_slots = static_cast<uint32_t>(
        std::count(owners[n].begin(), owners[n].end(), self_index));
    worker.max_connections =
        ConnectionShare(worker.listed.connections, demands.size());
  }
}

}  // namespace boragecroft
