#include "tests/servers/health/simulated_fleet.h"

#include <deque>
#include <functional>
#include <queue>
#include <random>
#include <unordered_set>
#include <utility>
#include <vector>

#include "servers/fleet/allotment.h"
#include "servers/fleet/pick.h"
#include "servers/health/outlier_detector.h"

namespace boragecroft {

namespace {

const WorkKind kLetter{"cartas", "letter"};
const ProbeTask kTask{kLetter, true};
constexpr auto kMeanRunTime = milliseconds(250);
constexpr auto kFailureTime = milliseconds(1);
constexpr auto kRoundTrip = microseconds(500);
constexpr auto kTick = milliseconds(10);
constexpr auto kHeartbeat = milliseconds(500);

struct Task {
  JobId job;
  bool fails = false;
  microseconds run_time{};
  Instant arrived;
};

struct Instance {
  std::string name;
  Fleet fleet;
  OutlierDetector outlier_detector;
  DemandMeter meter;
  std::deque<Task> queue;
  uint32_t in_progress = 0;
  std::unordered_set<WorkerId> ejected;
  uint64_t jobs = 0;
  // Own random numbers, so that every policy gets the same work.
  Random arrivals;
};

struct Simulation {
  const SimulatedFleet& options;
  SimulatedOutcome outcome;
  Random random;
  Now now{Instant(seconds(1)), WallTime()};
  std::vector<Instance> instances;
  std::vector<uint32_t> busy_slots;  // by worker
  using Event = std::pair<Instant, std::function<void()>>;
  struct Later {
    auto operator()(const Event& a, const Event& b) const -> bool {
      return a.first > b.first;
    }
  };
  std::priority_queue<Event, std::vector<Event>, Later> events;

  auto At(Instant time, std::function<void()> action) -> void {
    events.emplace(time, std::move(action));
  }
  auto BreakTime() const -> Instant {
    return Instant(seconds(1)) + options.broken_at;
  }
  static auto DrawInterval(Random& random, microseconds mean) -> microseconds {
    std::exponential_distribution<double> draw(
        1.0 / static_cast<double>(mean.count()));
    return microseconds(static_cast<int64_t>(draw(random)));
  }

  auto Setup() -> void {
    WorkerList list;
    for (uint32_t n = 0; n < options.workers; ++n) {
      list.workers.push_back({.service = "cartas", .name = std::to_string(n)});
    }
    busy_slots.resize(options.workers, 0);
    instances.resize(options.instances);
    for (size_t n = 0; n < instances.size(); ++n) {
      auto& it = instances[n];
      it.name = std::to_string(n);
      it.arrivals.seed(MixHash(options.seed, n));
      ApplyWorkerList(it.fleet, list, now);
      SetPoolSize(it.outlier_detector, "cartas", options.workers);
      ArriveJob(n);
    }
    Heartbeat();
    Tick();
  }

  auto Heartbeat() -> void {
    std::vector<InstanceDemand> demands;
    for (auto& it : instances) {
      const auto slots =
          it.in_progress + static_cast<uint32_t>(it.queue.size());
      demands.push_back({it.name, UpdateDemand(it.meter, slots, now)});
    }
    for (auto& it : instances) {
      AllotSlots(it.fleet, "cartas", demands, it.name);
    }
    for (const auto& from : instances) {
      for (const auto& shared : ListSharedEjections(from.outlier_detector)) {
        for (auto& to : instances) {
          if (&to != &from) {
            CountEjection(to, ApplyPeerEjection(to.outlier_detector, from.name,
                                                shared, now));
          }
        }
      }
    }
    At(now.boot + kHeartbeat, [this] { Heartbeat(); });
  }

  auto Tick() -> void {
    for (size_t n = 0; n < instances.size(); ++n) {
      Dispatch(n);
    }
    At(now.boot + kTick, [this] { Tick(); });
  }

  // One job arrives. Instance 0 gets twice the load of the others.
  auto ArriveJob(size_t n) -> void {
    auto& it = instances[n];
    const JobId job{.incarnation = {n + 1}, .sequence = ++it.jobs};
    const auto fails = options.one_job_in_ten_fails && it.jobs % 10 == 0;
    for (uint32_t task = 0; task < options.tasks_per_job; ++task) {
      it.queue.push_back(
          {job, fails, DrawInterval(it.arrivals, kMeanRunTime), now.boot});
    }
    const auto share = (n == 0 ? 2.0 : 1.0) / (options.instances + 1.0);
    const auto tasks_per_us =
        options.workers * 8 * options.load * share /
        static_cast<double>(microseconds(kMeanRunTime).count());
    At(now.boot + DrawInterval(it.arrivals,
                               microseconds(static_cast<int64_t>(
                                   options.tasks_per_job / tasks_per_us))),
       [this, n] { ArriveJob(n); });
    Dispatch(n);
  }

  auto Dispatch(size_t n) -> void {
    auto& it = instances[n];
    while (!it.queue.empty()) {
      const auto exclusions = FindExclusions(it.outlier_detector, kTask, now);
      const PickRequest request{.service = "cartas",
                                .excluded = exclusions.excluded,
                                .probe_due = exclusions.probe_due};
      const auto index =
          PickWorker(it.fleet, request, options.policy, random, now);
      if (!index) {
        return;
      }
      const auto task = it.queue.front();
      it.queue.pop_front();
      StartProbe(it.outlier_detector, it.fleet.workers[*index].id, kTask, now);
      const auto ticket = OnStart(it.fleet, *index, {}, now);
      ++it.in_progress;
      const auto started = now.boot;
      At(now.boot + kRoundTrip / 2,
         [=, this] { ReachWorker(n, task, ticket, started); });
    }
  }

  auto CountEjection(Instance& instance, const EjectionUpdate& ejection_update)
      -> void {
    if (ejection_update.kind != EjectionChange::kEjected) {
      return;
    }
    const auto id = ejection_update.subject.worker;
    // The fleet numbers the workers of its first list from 1.
    const auto is_bad = options.bad_workers.contains(id.value - 1);
    outcome.wrong_ejections += is_bad ? 0 : 1;
    if (is_bad && instance.ejected.insert(id).second) {
      outcome.last_ejection_after = now.boot - BreakTime();
    }
  }

  // The request reaches the worker.
  auto ReachWorker(size_t n,
                   const Task& task,
                   const Ticket& ticket,
                   Instant started) -> void {
    auto& slots = busy_slots[ticket.index];
    if (slots >= 8) {
      ++outcome.busy;
      At(now.boot + kRoundTrip / 2, [=, this] {
        OnAnswer(instances[n].fleet, ticket, EndpointAnswer::kBusy, now);
        CancelProbe(instances[n].outlier_detector, ticket.worker, kLetter);
        --instances[n].in_progress;
        instances[n].queue.push_front(task);
        Dispatch(n);
      });
      return;
    }
    ++slots;
    ++outcome.starts;
    outcome.total_wait += now.boot - task.arrived;
    const auto is_bad =
        now.boot >= BreakTime() &&
        options.bad_workers.contains(static_cast<uint32_t>(ticket.index));
    outcome.failed_by_bad_workers += is_bad ? 1 : 0;
    const auto failed = is_bad || task.fails;
    const auto run_time = failed ? microseconds(kFailureTime) : task.run_time;
    At(now.boot + run_time, [=, this] {
      const auto free_slots = 8 - --busy_slots[ticket.index];
      At(now.boot + kRoundTrip / 2, [=, this] {
        RecordFreeSlots(instances[n].fleet, ticket, free_slots, now);
        Answer(n, task, ticket, started, failed);
      });
    });
  }

  auto Answer(size_t n,
              const Task& task,
              const Ticket& ticket,
              Instant started,
              bool failed) -> void {
    auto& it = instances[n];
    OnAnswer(it.fleet, ticket, EndpointAnswer::kRan, now);
    --it.in_progress;
    const auto ejection_update =
        RecordOutcome(it.outlier_detector,
                      {ticket.worker, task.job, kLetter,
                       failed ? Outcome::kFailed : Outcome::kDone, started},
                      now);
    CountEjection(it, ejection_update);
    Dispatch(n);
  }
};

}  // namespace

auto Simulate(const SimulatedFleet& options) -> SimulatedOutcome {
  Simulation simulation{.options = options, .random = Random(options.seed)};
  simulation.Setup();
  const auto end = simulation.now.boot + options.length;
  while (simulation.events.top().first < end) {
    const auto [time, action] = simulation.events.top();
    simulation.events.pop();
    simulation.now.boot = time;
    action();
  }
  simulation.outcome.all_bad_workers_ejected = true;
  for (const auto& it : simulation.instances) {
    simulation.outcome.all_bad_workers_ejected =
        simulation.outcome.all_bad_workers_ejected &&
        it.ejected.size() == options.bad_workers.size();
  }
  return simulation.outcome;
}

}  // namespace boragecroft
