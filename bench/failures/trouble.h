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

  // Starts one more trouble and heals those whose time is over.
  auto Step() -> void;
  // Heals everything and waits until every instance serves again. False when
  // one does not.
  auto HealAll() -> bool;
  // How often each kind came.
  auto Counts() const -> const std::map<std::string, int>&;

 private:
  auto Begin(const std::string& kind,
             milliseconds lasts,
             std::function<void()> heal) -> void;
  auto HealDue(Instant now) -> void;
  auto PickIdleInstance() -> std::optional<size_t>;
  auto PickZone() -> std::string;
  auto RandomTime(int low_ms, int high_ms) -> milliseconds;

  auto KillInstance() -> void;
  auto PauseInstance() -> void;
  auto RestartGracefully() -> void;
  auto DisturbLinks() -> void;
  auto DisturbPlatform() -> void;
  auto DisturbWorker() -> void;

  lab::Cluster& cluster_;
  Random random_;
  std::multimap<Instant, std::function<void()>> healing_;
  std::set<size_t> busy_;  // instances in trouble
  std::map<std::string, int> counts_;
};

}  // namespace boragecroft::bench

#endif  // BENCH_FAILURES_TROUBLE_H_
