// Disruptions at random.
#include <signal.h>
#include <sys/wait.h>

#include <iomanip>
#include <random>
#include <sstream>

#include "review/lab-2/cases.h"

namespace boragecroft::review {
namespace {

struct SoakJob {
  Job job;
  int tries = 0;
  bool rejected_only = true;
  int starts = 0;
  bool completed = false;
  std::map<std::string, int> done;
};

struct Soak {
  Fleet& fleet;
  std::mt19937_64 random;
  Instant end;
  uint64_t last_job = 0;
  std::map<std::string, SoakJob> jobs;
  std::set<const Daemon*> disturbed;
  // Until when a worker answers nothing, and whether it carries orders out.
  std::map<std::string, std::pair<Instant, bool>> mute;
  std::map<int, int> answers;
};

auto Draw(Soak& soak, int64_t low, int64_t high) -> int64_t {
  return std::uniform_int_distribution<int64_t>(low, high)(soak.random);
}

auto Ended(const Soak& soak) -> bool {
  return BootClock::now() >= soak.end;
}

auto Try(Soak& soak, const std::string& id) -> void {
  auto& job = soak.jobs.at(id);
  ++job.tries;
  auto& daemon = *soak.fleet.daemons[static_cast<size_t>(Draw(soak, 0, 1000)) %
                                     soak.fleet.daemons.size()];
  const auto connection = Submit(
      soak.fleet, daemon, job.job,
      [&soak, id](int status, const std::string& body) {
        auto& it = soak.jobs.at(id);
        ++soak.answers[status];
        it.rejected_only &= status == 503 || status == 429;
        if (status == 200) {
          it.completed = body.find("completed") != std::string::npos;
          if (it.completed &&
              it.done.size() != static_cast<size_t>(it.job.count)) {
            Break(soak.fleet, "MIXED",
                  id + " completed, tasks done " +
                      std::to_string(it.done.size()));
          }
        }
        const auto again = status == 0 || status == 502 || status == 504;
        if (again && it.tries < 4 && !Ended(soak)) {
          After(soak.fleet, milliseconds(1300), [&soak, id] { Try(soak, id); });
        }
      });
  if (Draw(soak, 0, 99) < 12) {
    const std::weak_ptr<HttpConnection> weak = connection;
    After(soak.fleet, milliseconds(Draw(soak, 1, 1400)), [weak] {
      if (const auto it = weak.lock()) {
        it->Close();
      }
    });
  }
  // The client gives up at its deadline.
  const std::weak_ptr<HttpConnection> weak = connection;
  After(soak.fleet, milliseconds(job.job.deadline_ms), [weak] {
    if (const auto it = weak.lock()) {
      it->Close();
    }
  });
}

auto NextJob(Soak& soak) -> void {
  if (Ended(soak)) {
    return;
  }
  std::ostringstream id;
  id << "abcd" << std::hex << std::setfill('0') << std::setw(12)
     << ++soak.last_job;
  const auto kind = Draw(soak, 0, 9);
  SoakJob job;
  job.job.id = id.str();
  job.job.count =
      static_cast<int>(kind < 3 ? Draw(soak, 4, 10) : Draw(soak, 1, 4));
  job.job.estimate_ms = kind < 3 ? 60 : kind < 8 ? 200 : 900;
  job.job.work_ms = job.job.estimate_ms * Draw(soak, 5, 30) / 10;
  soak.jobs[job.job.id] = std::move(job);
  Try(soak, id.str());
  After(soak.fleet, milliseconds(Draw(soak, 20, 160)),
        [&soak] { NextJob(soak); });
}

auto KillDaemon(Soak& soak, Daemon& daemon, int signal) -> void {
  auto& fleet = soak.fleet;
  SignalDaemon(fleet, daemon, signal);
  const auto down =
      milliseconds(signal == SIGKILL ? Draw(soak, 50, 2500) : 6000);
  After(fleet, down, [&soak, &daemon] {
    ::kill(daemon.pid, SIGKILL);
    After(soak.fleet, milliseconds(100), [&soak, &daemon] {
      waitpid(daemon.pid, nullptr, 0);
      daemon.pid = -1;
      StartDaemon(soak.fleet, daemon);
      soak.disturbed.erase(&daemon);
    });
  });
}

auto FreezeDaemon(Soak& soak, Daemon& daemon) -> void {
  SignalDaemon(soak.fleet, daemon, SIGSTOP);
  const auto shorter = Draw(soak, 0, 1) == 0;
  After(soak.fleet,
        milliseconds(shorter ? Draw(soak, 200, 900) : Draw(soak, 900, 4000)),
        [&soak, &daemon] {
          SignalDaemon(soak.fleet, daemon, SIGCONT);
          soak.disturbed.erase(&daemon);
        });
}

auto CloseDoor(Soak& soak, Daemon& daemon) -> void {
  auto& door = *soak.fleet.store.doors[daemon.door];
  door.mode = Draw(soak, 0, 1) == 0 ? StoreMode::kBusy : StoreMode::kSilent;
  Note(soak.fleet, "store turns " + daemon.name + " away");
  After(soak.fleet, milliseconds(Draw(soak, 300, 5000)),
        [&soak, &daemon, &door] {
          door.mode = StoreMode::kUp;
          door.unanswered.clear();
          Note(soak.fleet, "store serves " + daemon.name);
          soak.disturbed.erase(&daemon);
        });
}

auto DisturbDaemon(Soak& soak) -> void {
  if (Ended(soak)) {
    return;
  }
  const auto herd = Draw(soak, 0, 11);
  if (herd < 2) {
    const auto down = milliseconds(Draw(soak, 300, 4000));
    for (auto& it : soak.fleet.daemons) {
      if (!soak.disturbed.insert(it.get()).second) {
        continue;
      }
      if (herd == 0) {
        KillDaemon(soak, *it, SIGKILL);
      } else {
        CloseDoor(soak, *it);
      }
    }
    After(soak.fleet, down, [&soak] { DisturbDaemon(soak); });
    return;
  }
  auto& daemon = *soak.fleet.daemons[static_cast<size_t>(Draw(soak, 0, 1000)) %
                                     soak.fleet.daemons.size()];
  if (soak.disturbed.insert(&daemon).second) {
    switch (Draw(soak, 0, 4)) {
      case 0:
        KillDaemon(soak, daemon, SIGKILL);
        break;
      case 1:
        KillDaemon(soak, daemon, SIGTERM);
        break;
      case 2:
      case 3:
        FreezeDaemon(soak, daemon);
        break;
      default:
        CloseDoor(soak, daemon);
    }
  }
  After(soak.fleet, milliseconds(Draw(soak, 300, 3000)),
        [&soak] { DisturbDaemon(soak); });
}

auto WatchDaemons(Soak& soak) -> void {
  for (auto& it : soak.fleet.daemons) {
    int status = 0;
    if (!soak.disturbed.contains(it.get()) && it->pid > 0 &&
        waitpid(it->pid, &status, WNOHANG) == it->pid) {
      Break(soak.fleet, "FAULT",
            it->name + " ended by itself, status " + std::to_string(status));
      StartDaemon(soak.fleet, *it);
    }
  }
  After(soak.fleet, milliseconds(100), [&soak] { WatchDaemons(soak); });
}

auto DisturbWorker(Soak& soak) -> void {
  if (Ended(soak)) {
    return;
  }
  auto it = soak.fleet.workers.begin();
  std::advance(
      it, Draw(soak, 0, static_cast<int64_t>(soak.fleet.workers.size()) - 1));
  auto& worker = *it->second;
  if (worker.up) {
    if (Draw(soak, 0, 2) == 0) {
      Crash(soak.fleet, worker);
      After(soak.fleet, milliseconds(Draw(soak, 20, 2500)),
            [&soak, &worker] { Rebirth(soak.fleet, worker); });
    } else {
      const auto carries_out = Draw(soak, 0, 1) == 0;
      const auto time = milliseconds(Draw(soak, 100, 2500));
      Note(soak.fleet,
           worker.id +
               (carries_out ? " answers nothing, carries out" : " is cut off"));
      soak.mute[worker.id] = {BootClock::now() + time, carries_out};
    }
  }
  After(soak.fleet, milliseconds(Draw(soak, 200, 2000)),
        [&soak] { DisturbWorker(soak); });
}

// Submits jobs to every daemon after the calm of recovery_s.
auto CheckRecovery(Soak& soak) -> void {
  auto& fleet = soak.fleet;
  RunFor(fleet, seconds(6));
  auto served = std::make_shared<int>(0);
  auto sent = 0;
  for (auto i = 0; i < 60; ++i) {
    std::ostringstream id;
    id << "eeee" << std::hex << std::setfill('0') << std::setw(12) << i + 1;
    const Job job{.id = id.str(), .estimate_ms = 60, .work_ms = 60};
    ++sent;
    Submit(fleet, *fleet.daemons[static_cast<size_t>(i) % fleet.daemons.size()],
           job, [served](int status, const std::string&) {
             *served += status == 200 ? 1 : 0;
           });
    RunFor(fleet, milliseconds(50));
  }
  RunFor(fleet, seconds(2));
  Note(fleet,
       "served " + std::to_string(*served) + " of " + std::to_string(sent));
  if (*served * 4 < sent * 3) {
    Break(fleet, "RECOVER",
          "served " + std::to_string(*served) + " of " + std::to_string(sent));
  }
}

}  // namespace

auto RunSoak(Fleet& fleet, uint64_t seed, milliseconds time) -> bool {
  Soak soak{.fleet = fleet, .random = std::mt19937_64(seed)};
  if (!StartFleet(fleet, {{"bilbao", 2}, {"oviedo", 2}}, 4, 1500)) {
    return false;
  }
  soak.end = BootClock::now() + time;
  fleet.on_start = [&](Worker&, const Run& run) {
    const auto it = soak.jobs.find(run.task.substr(0, 16));
    if (it != soak.jobs.end()) {
      ++it->second.starts;
    }
  };
  fleet.on_end = [&](Worker&, const Run& run, const std::string& how) {
    const auto it = soak.jobs.find(run.task.substr(0, 16));
    if (it != soak.jobs.end() && how == "done") {
      ++it->second.done[run.task];
    }
  };
  fleet.fate = [&](Worker& worker, const std::string& path,
                   const json::object&) {
    const auto it = soak.mute.find(worker.id);
    if (it != soak.mute.end() && BootClock::now() < it->second.first) {
      return Fate{.answer = false,
                  .delay = it->second.second ? milliseconds(0) : seconds(100)};
    }
    if (path != "/hold" && Draw(soak, 0, 99) < 5) {
      return Fate{.answer = false,
                  .delay = milliseconds(Draw(soak, 2000, 6000))};
    }
    return Fate{
        .delay = milliseconds(Draw(soak, 0, 19) == 0 ? Draw(soak, 1, 50) : 0)};
  };
  NextJob(soak);
  DisturbDaemon(soak);
  DisturbWorker(soak);
  WatchDaemons(soak);
  RunFor(fleet, time + seconds(9));
  CheckRecovery(soak);
  for (const auto& [id, it] : soak.jobs) {
    if (it.rejected_only && it.starts > 0) {
      Break(fleet, "REFUSED", id);
    }
  }
  std::ostringstream text;
  text << "jobs " << soak.jobs.size();
  for (const auto& [status, n] : soak.answers) {
    text << ", " << status << ": " << n;
  }
  Note(fleet, text.str());
  return true;
}

}  // namespace boragecroft::review
