#include "bench/failures/fault_injector.h"

#include <signal.h>

#include <array>
#include <iostream>
#include <thread>
#include <utility>

namespace boragecroft::bench {
namespace {

constexpr milliseconds kStopTimeout{15000};
constexpr milliseconds kServeTimeout{30000};  // for all instances together
constexpr milliseconds kStopPoll{100};
constexpr int kFencedExitCode = 3;  // of an instance that was fenced
constexpr uint64_t kFaultKinds = 6;
constexpr const char* kNoFault = "no fault: the instance already has one";

}  // namespace

FaultInjector::FaultInjector(lab::Cluster& cluster, uint64_t seed)
    : cluster_(cluster), random_(seed) {}

auto FaultInjector::InjectNextFault() -> std::string {
  EndDueFaults(BootClock::now());
  RestartStoppedInstances();
  switch (DrawBelow(random_, kFaultKinds)) {
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

auto FaultInjector::EndAllFaults() -> bool {
  cluster_.ControlLinks("*", "*", "open");
  cluster_.ControlPlatform({{"mode", "up"}});
  while (!pending_ends_.empty()) {
    EndDueFaults(pending_ends_.begin()->first);
    std::this_thread::sleep_for(kStopPoll);
  }
  const auto end = BootClock::now() + kServeTimeout;
  for (size_t i = 0; i < cluster_.Instances().size(); ++i) {
    const auto serves = [&] {
      RestartStoppedInstances();
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

auto FaultInjector::RestartStoppedInstances() -> void {
  for (size_t i = 0; i < cluster_.Instances().size(); ++i) {
    auto& process = *cluster_.Instances()[i].process;
    if (faulted_instances_.contains(i) || process.IsRunning()) {
      continue;
    }
    const auto code = process.Wait(milliseconds(0)).value_or(-1);
    const auto fenced = code == kFencedExitCode;
    std::cout << "  " + NameOf(i) + " ended by itself, exit code " +
                     std::to_string(code) + "\n";
    process_failures_ += fenced ? 0 : 1;
    ++fault_counts_[fenced ? "deposed" : "crashed"];
    cluster_.Restart(i, false);
  }
}

auto FaultInjector::ProcessFailures() const -> int {
  return process_failures_;
}

auto FaultInjector::FaultCounts() const -> const std::map<std::string, int>& {
  return fault_counts_;
}

auto FaultInjector::BeginFault(const std::string& kind,
                               const std::string& where,
                               milliseconds duration,
                               std::function<void()> end_fault) -> std::string {
  ++fault_counts_[kind];
  pending_ends_.emplace(BootClock::now() + duration, std::move(end_fault));
  return kind + " " + where + " for " + std::to_string(duration.count()) +
         " ms";
}

auto FaultInjector::EndDueFaults(Instant now) -> void {
  while (!pending_ends_.empty() && pending_ends_.begin()->first <= now) {
    auto end_fault = std::move(pending_ends_.begin()->second);
    pending_ends_.erase(pending_ends_.begin());
    end_fault();
  }
}

auto FaultInjector::PickUndisturbedInstance() -> std::optional<size_t> {
  const auto index = DrawBelow(random_, cluster_.Instances().size());
  return faulted_instances_.insert(index).second ? std::optional<size_t>(index)
                                                 : std::nullopt;
}

auto FaultInjector::NameOf(size_t index) -> const std::string& {
  return cluster_.Instances()[index].name;
}

auto FaultInjector::PickZone() -> std::string {
  const auto& endpoints = cluster_.Endpoints();
  return endpoints[DrawBelow(random_, endpoints.size())].zone;
}

auto FaultInjector::RandomDuration(int low_ms, int high_ms) -> milliseconds {
  return milliseconds(low_ms +
                      static_cast<int>(DrawBelow(
                          random_, static_cast<uint64_t>(high_ms - low_ms))));
}

auto FaultInjector::MaybeUnlist(size_t index) -> std::string {
  if (DrawBelow(random_, 2) == 0) {
    return NameOf(index);
  }
  unlisted_.insert(NameOf(index));
  PublishList();
  return NameOf(index) + " unlisted";
}

auto FaultInjector::Relist(size_t index) -> void {
  faulted_instances_.erase(index);
  if (unlisted_.erase(NameOf(index)) > 0) {
    PublishList();
  }
}

auto FaultInjector::PublishList() -> void {
  cluster_.PublishList({}, {unlisted_.begin(), unlisted_.end()});
}

auto FaultInjector::KillInstance() -> std::string {
  const auto index = PickUndisturbedInstance();
  if (!index) {
    return kNoFault;
  }
  cluster_.Instances()[*index].process->Kill();
  return BeginFault("kill", MaybeUnlist(*index), RandomDuration(100, 6000),
                    [this, i = *index] {
                      cluster_.Restart(i, false);
                      Relist(i);
                    });
}

auto FaultInjector::PauseInstance() -> std::string {
  const auto index = PickUndisturbedInstance();
  if (!index) {
    return kNoFault;
  }
  cluster_.Instances()[*index].process->Signal(SIGSTOP);
  return BeginFault("pause", MaybeUnlist(*index), RandomDuration(200, 8000),
                    [this, i = *index] {
                      cluster_.Instances()[i].process->Signal(SIGCONT);
                      Relist(i);
                    });
}

auto FaultInjector::RestartGracefully() -> std::string {
  const auto index = PickUndisturbedInstance();
  if (!index) {
    return kNoFault;
  }
  cluster_.Instances()[*index].process->Signal(SIGTERM);
  const auto latest = BootClock::now() + kStopTimeout;
  return BeginFault(
      "planned_stop", NameOf(*index), RandomDuration(1000, 4000),
      [this, i = *index, latest] { FinishPlannedStop(i, latest); });
}

auto FaultInjector::FinishPlannedStop(size_t index, Instant latest) -> void {
  const auto running = cluster_.Instances()[index].process->IsRunning();
  if (running && BootClock::now() < latest) {
    pending_ends_.emplace(BootClock::now() + kStopPoll, [this, index, latest] {
      FinishPlannedStop(index, latest);
    });
    return;
  }
  const auto end = cluster_.Instances()[index].process->Wait(milliseconds(0));
  if (running || (end != 0 && end != kFencedExitCode)) {
    ++process_failures_;
    ++fault_counts_[running ? "stop_overdue" : "crashed"];
  }
  cluster_.Restart(index, false);
  faulted_instances_.erase(index);
}

auto FaultInjector::DisturbLinks() -> std::string {
  const auto from = DrawBelow(random_, 2) == 0 ? "*" : PickZone();
  const auto to = DrawBelow(random_, 2) == 0 ? "*" : PickZone();
  const auto* mode = DrawBelow(random_, 3) == 0 ? "silent" : "cut";
  cluster_.ControlLinks(from, to, mode);
  return BeginFault(std::string("links_") + mode, from + " to " + to,
                    RandomDuration(500, 4000), [this, from, to] {
                      cluster_.ControlLinks(from, to, "open");
                    });
}

auto FaultInjector::DisturbPlatform() -> std::string {
  constexpr std::array<const char*, 4> kModes = {"down", "silent",
                                                 "lose_answers", "stale_reads"};
  const auto zone = DrawBelow(random_, 2) == 0 ? "*" : PickZone();
  const auto* mode = kModes[DrawBelow(random_, kModes.size())];
  cluster_.ControlPlatform({{"zone", zone}, {"mode", mode}});
  return BeginFault(
      std::string("platform_") + mode, zone, RandomDuration(300, 4000),
      [this, zone] {
        cluster_.ControlPlatform({{"zone", zone}, {"mode", "up"}});
      });
}

auto FaultInjector::DisturbWorker() -> std::string {
  constexpr std::array<const char*, 6> kModes = {
      "silent", "fail", "late", "crossed", "garbled", "draining"};
  const auto zone = DrawBelow(random_, cluster_.Endpoints().size());
  const auto workers = cluster_.Endpoints()[zone].list_entries.size();
  const auto worker = DrawBelow(random_, workers);
  const auto* mode = kModes[DrawBelow(random_, kModes.size())];
  cluster_.ControlWorker(
      zone, {{"worker", worker}, {"mode", mode}, {"late_ms", 800}});
  return BeginFault(
      std::string("worker_") + mode, cluster_.Endpoints()[zone].zone,
      RandomDuration(300, 3000), [this, zone, worker] {
        cluster_.ControlWorker(zone, {{"worker", worker}, {"mode", "normal"}});
      });
}

}  // namespace boragecroft::bench
