#include "bench/failures/trouble.h"

#include <signal.h>

#include <array>
#include <utility>

namespace boragecroft::bench {
namespace {

constexpr milliseconds kStopTimeout{15000};
constexpr uint64_t kKinds = 6;

}  // namespace

Trouble::Trouble(lab::Cluster& cluster, uint64_t seed)
    : cluster_(cluster), random_(seed) {}

auto Trouble::Step() -> void {
  HealDue(BootClock::now());
  switch (DrawBelow(random_, kKinds)) {
    case 0:
      return KillInstance();
    case 1:
      return PauseInstance();
    case 2:
      return RestartGracefully();
    case 3:
      return DisturbLinks();
    case 4:
      return DisturbPlatform();
    default:
      return DisturbWorker();
  }
}

auto Trouble::HealAll() -> bool {
  while (!healing_.empty()) {
    auto heal = std::move(healing_.begin()->second);
    healing_.erase(healing_.begin());
    heal();
  }
  cluster_.ControlLinks("*", "*", "open");
  cluster_.ControlPlatform({{"mode", "up"}});
  for (size_t i = 0; i < cluster_.Instances().size(); ++i) {
    if (!cluster_.WaitUntilReady(i) || !cluster_.WaitForWorkers(i)) {
      return false;
    }
  }
  return true;
}

auto Trouble::Counts() const -> const std::map<std::string, int>& {
  return counts_;
}

auto Trouble::Begin(const std::string& kind,
                    milliseconds lasts,
                    std::function<void()> heal) -> void {
  ++counts_[kind];
  healing_.emplace(BootClock::now() + lasts, std::move(heal));
}

auto Trouble::HealDue(Instant now) -> void {
  while (!healing_.empty() && healing_.begin()->first <= now) {
    auto heal = std::move(healing_.begin()->second);
    healing_.erase(healing_.begin());
    heal();
  }
}

auto Trouble::PickIdleInstance() -> std::optional<size_t> {
  const auto index = DrawBelow(random_, cluster_.Instances().size());
  return busy_.insert(index).second ? std::optional<size_t>(index)
                                    : std::nullopt;
}

auto Trouble::PickZone() -> std::string {
  const auto& endpoints = cluster_.Endpoints();
  return endpoints[DrawBelow(random_, endpoints.size())].zone;
}

auto Trouble::RandomTime(int low_ms, int high_ms) -> milliseconds {
  return milliseconds(low_ms +
                      static_cast<int>(DrawBelow(
                          random_, static_cast<uint64_t>(high_ms - low_ms))));
}

auto Trouble::KillInstance() -> void {
  const auto index = PickIdleInstance();
  if (!index) {
    return;
  }
  cluster_.Instances()[*index].process->Kill();
  Begin("kill", RandomTime(100, 3000), [this, i = *index] {
    cluster_.Restart(i, false);
    busy_.erase(i);
  });
}

auto Trouble::PauseInstance() -> void {
  const auto index = PickIdleInstance();
  if (!index) {
    return;
  }
  cluster_.Instances()[*index].process->Signal(SIGSTOP);
  Begin("pause", RandomTime(200, 5000), [this, i = *index] {
    cluster_.Instances()[i].process->Signal(SIGCONT);
    busy_.erase(i);
  });
}

auto Trouble::RestartGracefully() -> void {
  const auto index = PickIdleInstance();
  if (!index) {
    return;
  }
  cluster_.Instances()[*index].process->Signal(SIGTERM);
  Begin("planned_stop", RandomTime(1000, 4000), [this, i = *index] {
    cluster_.Instances()[i].process->Wait(kStopTimeout);
    cluster_.Restart(i, false);
    busy_.erase(i);
  });
}

auto Trouble::DisturbLinks() -> void {
  const auto from = DrawBelow(random_, 2) == 0 ? "*" : PickZone();
  const auto to = DrawBelow(random_, 2) == 0 ? "*" : PickZone();
  const auto* mode = DrawBelow(random_, 3) == 0 ? "silent" : "cut";
  cluster_.ControlLinks(from, to, mode);
  Begin(std::string("links_") + mode, RandomTime(500, 4000),
        [this, from, to] { cluster_.ControlLinks(from, to, "open"); });
}

auto Trouble::DisturbPlatform() -> void {
  constexpr std::array<const char*, 4> kModes = {"down", "silent",
                                                 "lose_answers", "stale_reads"};
  const auto zone = DrawBelow(random_, 2) == 0 ? "*" : PickZone();
  const auto* mode = kModes[DrawBelow(random_, kModes.size())];
  cluster_.ControlPlatform({{"zone", zone}, {"mode", mode}});
  Begin(std::string("platform_") + mode, RandomTime(300, 4000), [this, zone] {
    cluster_.ControlPlatform({{"zone", zone}, {"mode", "up"}});
  });
}

auto Trouble::DisturbWorker() -> void {
  constexpr std::array<const char*, 6> kModes = {
      "silent", "fail", "late", "crossed", "garbled", "draining"};
  const auto zone = DrawBelow(random_, cluster_.Endpoints().size());
  const auto workers = cluster_.Endpoints()[zone].listed.size();
  const auto worker = DrawBelow(random_, workers);
  const auto* mode = kModes[DrawBelow(random_, kModes.size())];
  cluster_.ControlWorker(
      zone, {{"worker", worker}, {"mode", mode}, {"late_ms", 800}});
  Begin(
      std::string("worker_") + mode, RandomTime(300, 3000),
      [this, zone, worker] {
        cluster_.ControlWorker(zone, {{"worker", worker}, {"mode", "normal"}});
      });
}

}  // namespace boragecroft::bench
