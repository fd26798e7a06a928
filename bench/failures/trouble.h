// Makes things fail at random: processes, links between zones, the platform and
// workers. Each trouble heals after a while; several overlap.
#ifndef BENCH_FAILURES_TROUBLE_H_
#define BENCH_FAILURES_TROUBLE_H_

#include <functional>
#include <map>
#include <set>
#include <string>

#include "core/base/random.h"
#include "tests/lab/cluster.h"

namespace boragecroft::bench {

class Trouble {
 public:
  Trouble(lab::Cluster& cluster, uint64_t seed);

  // Starts one more trouble and heals those whose time is over. Says what was
  // done.
  auto Step() -> std::string;
  // Heals everything and waits until every instance serves again. False when
  // one does not.
  auto HealAll() -> bool;
  // Restarts instances that ended by themselves, as the platform does.
  auto Supervise() -> void;
  // Instances that ended but were not told to, nor deposed by others, and
  // planned stops that did not end in time.
  auto Faults() const -> int;
  // How often each kind came.
  auto Counts() const -> const std::map<std::string, int>&;

 private:
  // Says what began, with `where` it did.
  auto Begin(const std::string& kind,
             const std::string& where,
             milliseconds lasts,
             std::function<void()> heal) -> std::string;
  auto HealDue(Instant now) -> void;
  auto PickIdleInstance() -> std::optional<size_t>;
  auto NameOf(size_t index) -> const std::string&;
  auto PickZone() -> std::string;
  auto RandomTime(int low_ms, int high_ms) -> milliseconds;

  // Takes an instance from the platform's list, or not; its name and which.
  auto Unlist(size_t index) -> std::string;
  auto Relist(size_t index) -> void;
  auto PublishList() -> void;
  auto EndPlannedStop(size_t index, Instant latest) -> void;

  auto KillInstance() -> std::string;
  auto PauseInstance() -> std::string;
  auto RestartGracefully() -> std::string;
  auto DisturbLinks() -> std::string;
  auto DisturbPlatform() -> std::string;
  auto DisturbWorker() -> std::string;

  lab::Cluster& cluster_;
  Random random_;
  std::multimap<Instant, std::function<void()>> healing_;
  std::set<size_t> busy_;  // instances in trouble
  std::map<std::string, int> counts_;
  std::set<std::string> unlisted_;
  int faults_ = 0;
};

}  // namespace boragecroft::bench

#endif  // BENCH_FAILURES_TROUBLE_H_
