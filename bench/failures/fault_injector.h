// Makes things fail at random: processes, links between zones, the platform and
// workers. Each trouble heals after a while; several overlap.
#ifndef BENCH_FAILURES_FAULT_INJECTOR_H_
#define BENCH_FAILURES_FAULT_INJECTOR_H_

#include <functional>
#include <map>
#include <set>
#include <string>

#include "core/base/random.h"
#include "tests/lab/cluster.h"

namespace boragecroft::bench {

class FaultInjector {
 public:
  FaultInjector(lab::Cluster& cluster, uint64_t seed);

  // Starts one more trouble and heals those whose time is over. Says what was
  // done.
  auto InjectNextFault() -> std::string;
  // Heals everything and waits until every instance serves again. False when
  // one does not.
  auto EndAllFaults() -> bool;
  // Restarts instances that ended by themselves, as the platform does.
  auto RestartStoppedInstances() -> void;
  // Instances that ended but were not told to, nor deposed by others, and
  // planned stops that did not end in time.
  auto ProcessFailures() const -> int;
  // How often each kind came.
  auto FaultCounts() const -> const std::map<std::string, int>&;

 private:
  // Says what began, with `where` it did.
  auto BeginFault(const std::string& kind,
                  const std::string& where,
                  milliseconds duration,
                  std::function<void()> end_fault) -> std::string;
  auto EndDueFaults(Instant now) -> void;
  auto PickUndisturbedInstance() -> std::optional<size_t>;
  auto NameOf(size_t index) -> const std::string&;
  auto PickZone() -> std::string;
  auto RandomDuration(int low_ms, int high_ms) -> milliseconds;

  // Takes an instance from the platform's list, or not; its name and which.
  auto MaybeUnlist(size_t index) -> std::string;
  auto Relist(size_t index) -> void;
  auto PublishList() -> void;
  auto FinishPlannedStop(size_t index, Instant latest) -> void;

  auto KillInstance() -> std::string;
  auto PauseInstance() -> std::string;
  auto RestartGracefully() -> std::string;
  auto DisturbLinks() -> std::string;
  auto DisturbPlatform() -> std::string;
  auto DisturbWorker() -> std::string;

  lab::Cluster& cluster_;
  Random random_;
  std::multimap<Instant, std::function<void()>> pending_ends_;
  std::set<size_t> faulted_instances_;  // instances in trouble
  std::map<std::string, int> fault_counts_;
  std::set<std::string> unlisted_;
  int process_failures_ = 0;
};

}  // namespace boragecroft::bench

#endif  // BENCH_FAILURES_FAULT_INJECTOR_H_
