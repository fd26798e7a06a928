// Injects random faults into processes, links between zones, the platform and
// workers. Each fault ends after a random time; several overlap.
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

  // Ends the faults whose time is over, restarts stopped instances and injects
  // one more fault. Returns a description of the new fault.
  auto InjectNextFault() -> std::string;
  // Ends all faults and waits until every instance serves again. Returns false
  // when an instance does not serve within 30 s for all instances together.
  auto EndAllFaults() -> bool;
  // Restarts instances that ended by themselves, as the platform does.
  auto RestartStoppedInstances() -> void;
  // Returns the number of instances that ended without being stopped or fenced,
  // of planned stops that ended with an error, and of planned stops that did
  // not end in time.
  auto ProcessFailures() const -> int;
  // Returns how often each kind of fault occurred.
  auto FaultCounts() const -> const std::map<std::string, int>&;

 private:
  // Counts a fault, schedules its end and returns its description. `where`
  // names what the fault affects.
  auto BeginFault(const std::string& kind,
                  const std::string& where,
                  milliseconds duration,
                  std::function<void()> end_fault) -> std::string;
  auto EndDueFaults(Instant now) -> void;
  auto PickUndisturbedInstance() -> std::optional<size_t>;
  auto NameOf(size_t index) -> const std::string&;
  auto PickZone() -> std::string;
  auto RandomDuration(int low_ms, int high_ms) -> milliseconds;

  // Removes an instance from the platform's list in every second case. Returns
  // the name of the instance, followed by " unlisted" if it was removed.
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
  std::set<size_t> faulted_instances_;  // killed, paused or being stopped
  std::map<std::string, int> fault_counts_;
  std::set<std::string> unlisted_;
  int process_failures_ = 0;
};

}  // namespace boragecroft::bench

#endif  // BENCH_FAILURES_FAULT_INJECTOR_H_
