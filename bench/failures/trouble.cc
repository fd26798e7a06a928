#include "bench/failures/trouble.h"

#include <signal.h>

#include <array>
#include <iostream>
#include <thread>
#include <utility>

namespace boragecroft::bench {
namespace {

constexpr milliseconds kStopTimeout{15000};
constexpr milliseconds kServeTimeout{30000};  // of all instances together
constexpr milliseconds kStopPoll{100};
constexpr int kDeposedExitCode = 3;  // of a daemon that finds itself replaced
constexpr uint64_t kKinds = 6;
constexpr const char* kNothing = "nothing";  // the instance is in trouble

}  // namespace

Trouble::Trouble(lab::Cluster& cluster, uint64_t seed)
    : cluster_(cluster), random_(seed) {}

auto Trouble::Step() -> std::string {
  HealDue(BootClock::now());
  Supervise();
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
  cluster_.ControlLinks("*", "*", "open");
  cluster_.ControlPlatform({{"mode", "up"}});
  while (!healing_.empty()) {
    HealDue(healing_.begin()->first);
    std::this_thread::sleep_for(kStopPoll);
  }
  const auto end = BootClock::now() + kServeTimeout;
  for (size_t i = 0; i < cluster_.Instances().size(); ++i) {
    const auto serves = [&] {
      Supervise();
      return cluster_.WaitUntilReady(i, kStopPoll) &&
             cluster_.WaitForWorkers(i, kStopPoll);
    };
    while (!serves()) {
      if (BootClock::now() >= end) {
        return false;
      }
    }
  }
  return true;
}

auto Trouble::Supervise() -> void {
  for (size_t i = 0; i < cluster_.Instances().size(); ++i) {
    auto& process = *cluster_.Instances()[i].process;
    if (busy_.contains(i) || process.IsRunning()) {
      continue;
    }
    const auto code = process.Wait(milliseconds(0)).value_or(-1);
    const auto deposed = code == kDeposedExitCode;
    std::cout << "  " + NameOf(i) + " ended by itself, exit code " +
                     std::to_string(code) + "\n";
    faults_ += deposed ? 0 : 1;
    ++counts_[deposed ? "deposed" : "crashed"];
    cluster_.Restart(i, false);
  }
}

auto Trouble::Faults() const -> int {
  return faults_;
}

auto Trouble::Counts() const -> const std::map<std::string, int>& {
  return counts_;
}

auto Trouble::Begin(const std::string& kind,
                    const std::string& where,
                    milliseconds lasts,
                    std::function<void()> heal) -> std::string {
  ++counts_[kind];
  healing_.emplace(BootClock::now() + lasts, std::move(heal));
  return kind + " " + where + " for " + std::to_string(lasts.count()) + " ms";
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

auto Trouble::NameOf(size_t index) -> const std::string& {
  return cluster_.Instances()[index].name;
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

auto Trouble::Unlist(size_t index) -> std::string {
  if (DrawBelow(random_, 2) == 0) {
    return NameOf(index);
  }
  unlisted_.insert(NameOf(index));
  PublishList();
  return NameOf(index) + " unlisted";
}

auto Trouble::Relist(size_t index) -> void {
  busy_.erase(index);
  if (unlisted_.erase(NameOf(index)) > 0) {
    PublishList();
  }
}

auto Trouble::PublishList() -> void {
  cluster_.PublishList({}, {unlisted_.begin(), unlisted_.end()});
}

auto Trouble::KillInstance() -> std::string {
  const auto index = PickIdleInstance();
  if (!index) {
    return kNothing;
  }
  cluster_.Instances()[*index].process->Kill();
  return Begin("kill", Unlist(*index), RandomTime(100, 6000),
               [this, i = *index] {
                 cluster_.Restart(i, false);
                 Relist(i);
               });
}

auto Trouble::PauseInstance() -> std::string {
  const auto index = PickIdleInstance();
  if (!index) {
    return kNothing;
  }
  cluster_.Instances()[*index].process->Signal(SIGSTOP);
  return Begin("pause", Unlist(*index), RandomTime(200, 8000),
               [this, i = *index] {
                 cluster_.Instances()[i].process->Signal(SIGCONT);
                 Relist(i);
               });
}

auto Trouble::RestartGracefully() -> std::string {
  const auto index = PickIdleInstance();
  if (!index) {
    return kNothing;
  }
  cluster_.Instances()[*index].process->Signal(SIGTERM);
  const auto latest = BootClock::now() + kStopTimeout;
  return Begin("planned_stop", NameOf(*index), RandomTime(1000, 4000),
               [this, i = *index, latest] { EndPlannedStop(i, latest); });
}

auto Trouble::EndPlannedStop(size_t index, Instant latest) -> void {
  const auto running = cluster_.Instances()[index].process->IsRunning();
  if (running && BootClock::now() < latest) {
    healing_.emplace(BootClock::now() + kStopPoll,
                     [this, index, latest] { EndPlannedStop(index, latest); });
    return;
  }
  const auto end = cluster_.Instances()[index].process->Wait(milliseconds(0));
  if (running || (end != 0 && end != kDeposedExitCode)) {
    ++faults_;
    ++counts_[running ? "stop_overdue" : "crashed"];
  }
  cluster_.Restart(index, false);
  busy_.erase(index);
}

auto Trouble::DisturbLinks() -> std::string {
  const auto from = DrawBelow(random_, 2) == 0 ? "*" : PickZone();
  const auto to = DrawBelow(random_, 2) == 0 ? "*" : PickZone();
  const auto* mode = DrawBelow(random_, 3) == 0 ? "silent" : "cut";
  cluster_.ControlLinks(from, to, mode);
  return Begin(std::string("links_") + mode, from + " to " + to,
               RandomTime(500, 4000),
               [this, from, to] { cluster_.ControlLinks(from, to, "open"); });
}

auto Trouble::DisturbPlatform() -> std::string {
  constexpr std::array<const char*, 4> kModes = {"down", "silent",
                                                 "lose_answers", "stale_reads"};
  const auto zone = DrawBelow(random_, 2) == 0 ? "*" : PickZone();
  const auto* mode = kModes[DrawBelow(random_, kModes.size())];
  cluster_.ControlPlatform({{"zone", zone}, {"mode", mode}});
  return Begin(std::string("platform_") + mode, zone, RandomTime(300, 4000),
               [this, zone] {
                 cluster_.ControlPlatform({{"zone", zone}, {"mode", "up"}});
               });
}

auto Trouble::DisturbWorker() -> std::string {
  constexpr std::array<const char*, 6> kModes = {
      "silent", "fail", "late", "crossed", "garbled", "draining"};
  const auto zone = DrawBelow(random_, cluster_.Endpoints().size());
  const auto workers = cluster_.Endpoints()[zone].list_entries.size();
  const auto worker = DrawBelow(random_, workers);
  const auto* mode = kModes[DrawBelow(random_, kModes.size())];
  cluster_.ControlWorker(
      zone, {{"worker", worker}, {"mode", mode}, {"late_ms", 800}});
  return Begin(
      std::string("worker_") + mode, cluster_.Endpoints()[zone].zone,
      RandomTime(300, 3000), [this, zone, worker] {
        cluster_.ControlWorker(zone, {{"worker", worker}, {"mode", "normal"}});
      });
}

}  // namespace boragecroft::bench
