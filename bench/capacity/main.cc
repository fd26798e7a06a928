// Measures how time and memory of the pure functions grow up to the size that
// the system is designed for: 590 workers in 6 zones, 16 instances per zone, 27
// teams and jobs of 2,000 tasks. Starts no process.
#include <boost/json/serialize.hpp>
#include <memory>

#include "bench/capacity/measure.h"
#include "core/base/random.h"
#include "peers/instance/instance_codec.h"
#include "servers/admission/queue_state.h"
#include "servers/dispatcher/dispatcher.h"
#include "servers/dispatcher/operator_flow.h"
#include "servers/fleet/pick.h"
#include "servers/quota/team_quota.h"
#include "servers/scheduling/waiting.h"

namespace boragecroft::bench {
namespace {

constexpr size_t kTeams = 27;
constexpr size_t kZones = 6;
constexpr size_t kZoneInstances = 16;
constexpr size_t kZoneWorkers = 98;
constexpr uint32_t kJobTasks = 2000;
const Now kNow{.boot = Instant(seconds(1000)),
               .wall = WallTime(seconds(2000000000))};
constexpr Incarnation kSelf{7};

auto NumberedName(const std::string& name, size_t number) -> std::string {
  return name + "-" + std::to_string(number);
}

auto MakeId(uint64_t sequence) -> JobId {
  return JobId{.incarnation = kSelf, .sequence = sequence, .minted = kNow.wall};
}

auto MakeWorkerList(size_t count) -> WorkerList {
  WorkerList list;
  list.as_of = kNow.wall;
  for (size_t i = 0; i < count; ++i) {
    ListedWorker worker;
    worker.service = "letters";
    worker.name = NumberedName("zone-a-letters-worker", i);
    worker.address =
        Address{.ip = "10.20.30.40", .port = static_cast<uint16_t>(10000 + i)};
    worker.incarnation = NumberedName("incarnation", i);
    list.workers.push_back(std::move(worker));
  }
  return list;
}

auto MakeDemands(size_t instances) -> std::vector<InstanceDemand> {
  std::vector<InstanceDemand> demands;
  for (size_t i = 0; i < instances; ++i) {
    demands.push_back({.instance = NumberedName("zone-a-instance", i),
                       .slots = static_cast<uint32_t>(20 + i * 7 % 50)});
  }
  return demands;
}

auto MakeFleet(size_t workers) -> Fleet {
  Fleet fleet;
  ApplyWorkerList(fleet, MakeWorkerList(workers), kNow);
  return fleet;
}

auto MakeClassQueue() -> TaskQueue {
  TaskQueue queue;
  Configure(queue, {{"urgent", 25}, {"middle", 30}, {"low", 20}, {"bulk", 10}},
            QueueOrder::kFair);
  return queue;
}

auto MakeQueueEntry(uint64_t number, uint32_t tasks) -> QueueEntry {
  QueueEntry entry;
  entry.job = MakeId(number);
  entry.class_index = static_cast<uint32_t>(number % 4);
  entry.partner = NumberedName("partner", number % kTeams);
  entry.task_count = tasks;
  entry.deadline = kNow.boot + seconds(600) + milliseconds(number);
  entry.run_time = milliseconds(100);
  return entry;
}

auto MakeTeamTasks() -> std::vector<TeamTasks> {
  std::vector<TeamTasks> list;
  for (size_t i = 0; i < kTeams; ++i) {
    list.push_back({.team = NumberedName("team-of-operators", i),
                    .tasks = static_cast<uint32_t>(300 + i * 13)});
  }
  return list;
}

auto MakeDemandList(size_t teams) -> std::vector<Demand> {
  std::vector<Demand> list;
  for (size_t i = 0; i < teams; ++i) {
    list.push_back({.name = NumberedName("team-of-operators", i),
                    .tasks = static_cast<uint32_t>(300 + i * 13)});
  }
  return list;
}

auto MakeHeartbeatMessage(size_t teams) -> PeerMessage {
  Heartbeat heartbeat;
  heartbeat.instance = "zone-a-instance-3";
  heartbeat.zone = "region-north-zone-a";
  heartbeat.address = Address{.ip = "10.20.30.40", .port = 8081};
  heartbeat.sequence = 1234567;
  heartbeat.configuration_version = 4321;
  heartbeat.service_demands = {{.name = "letters", .tasks = 133}};
  heartbeat.teams_digest = 0x12345678;
  for (const auto& it : MakeDemandList(teams)) {
    heartbeat.team_tasks.push_back(it.tasks);
  }
  heartbeat.echo_incarnation = Incarnation{0x1234567890ABCDEF};
  heartbeat.echo_sequence = 1234566;
  PeerMessage message;
  message.from = Incarnation{0xFEDCBA0987654321};
  message.body = std::move(heartbeat);
  return message;
}

auto MakeSubmission(uint64_t number, uint32_t tasks)
    -> std::shared_ptr<Submission> {
  auto submission = std::make_shared<Submission>();
  submission->id = MakeId(number);
  submission->partner = NumberedName("partner", number % kTeams);
  submission->team = NumberedName("team-of-operators", number % kTeams);
  submission->service = "letters";
  submission->kind = "reminder";
  submission->urgency_class = "bulk";
  submission->deadline = seconds(600);
  for (uint32_t i = 0; i < tasks; ++i) {
    submission->payloads.push_back(R"({"template":"reminder","account":)" +
                                   std::to_string(10000000 + i) + "}");
  }
  return submission;
}

auto MakeJob(uint64_t number, uint32_t tasks) -> Job {
  Job job;
  job.submission = MakeSubmission(number, tasks);
  job.accepted = kNow.boot;
  job.deadline = kNow.boot + seconds(600);
  job.tasks.assign(tasks, TaskState::kDone);
  job.open_tasks = tasks;
  for (uint32_t i = 0; i < tasks; ++i) {
    job.results.push_back(R"({"letter":"L-)" + std::to_string(10000000 + i) +
                          "\"}");
  }
  return job;
}

auto MeasureIds(const Reporter& reporter) -> void {
  std::vector<SizePoint> points;
  for (const size_t batches : {1000, 4000, 16000}) {
    auto mint = std::make_unique<IdMint>();
    mint->incarnation = kSelf;
    mint->started = kNow;
    mint->term = seconds(3600);
    mint->retention = seconds(3600);
    const auto heap = MeasureHeap([&] {
      for (size_t i = 0; i < batches; ++i) {
        const auto id = Mint(*mint, "partner-of-some-name", 100, kNow);
        static_cast<void>(MarkUsed(*mint, id, kNow));
      }
    });
    points.push_back({static_cast<double>(batches), heap});
  }
  PrintSlope(reporter, "id_batch_memory", points, "bytes");
}

auto MeasureQueue(const Reporter& reporter) -> void {
  std::vector<SizePoint> memory;
  std::vector<SizePoint> times;
  for (const size_t jobs : {1000, 4000, 16000}) {
    auto queue = MakeClassQueue();
    memory.push_back({static_cast<double>(jobs), MeasureHeap([&] {
                        for (size_t i = 0; i < jobs; ++i) {
                          Enqueue(queue, MakeQueueEntry(i, 20));
                        }
                      })});
    times.push_back({static_cast<double>(jobs), MeasureTime(2000, [&] {
                       const auto task = PopTask(queue, kNow.boot);
                       Finish(queue, *task, milliseconds(90));
                     })});
  }
  PrintSlope(reporter, "queued_job_memory", memory, "bytes");
  PrintSlope(reporter, "pop_finish_time", times, "us");
}

auto MeasureJobs(const Reporter& reporter) -> void {
  std::vector<SizePoint> points;
  for (const size_t count : {10, 50, 200}) {
    std::unordered_map<JobId, Job> jobs;
    points.push_back({static_cast<double>(count), MeasureHeap([&] {
                        for (size_t i = 0; i < count; ++i) {
                          jobs.emplace(MakeId(i), MakeJob(i, kJobTasks));
                        }
                      })});
  }
  PrintSlope(reporter, "job_of_2000_memory", points, "bytes");
}

auto MeasureFleet(const Reporter& reporter) -> void {
  std::vector<SizePoint> memory;
  std::vector<SizePoint> picks;
  std::vector<SizePoint> lists;
  for (const size_t workers : {16, 98, 590}) {
    Fleet fleet;
    memory.push_back({static_cast<double>(workers), MeasureHeap([&] {
                        ApplyWorkerList(fleet, MakeWorkerList(workers), kNow);
                      })});
    AllotSlots(fleet, "letters", MakeDemands(kZoneInstances),
               "zone-a-instance-3");
    Random random(reporter.seed);
    PickRequest request;
    request.service = "letters";
    picks.push_back({static_cast<double>(workers), MeasureTime(2000, [&] {
                       const auto index = PickWorker(
                           fleet, request, DispatchPolicy::kFair, random, kNow);
                       if (index) {
                         const auto ticket = OnStart(fleet, *index, {}, kNow);
                         OnAnswer(fleet, ticket, EndpointAnswer::kRan, kNow);
                       }
                     })});
    const auto list = MakeWorkerList(workers);
    lists.push_back({static_cast<double>(workers), MeasureTime(20, [&] {
                       ApplyWorkerList(fleet, list, kNow);
                     })});
  }
  PrintSlope(reporter, "worker_memory", memory, "bytes");
  PrintSlope(reporter, "pick_start_answer_time", picks, "us");
  PrintSlope(reporter, "apply_list_time", lists, "us");
}

auto MeasureAllotment(const Reporter& reporter) -> void {
  for (const size_t instances : {3, 16}) {
    std::vector<SizePoint> points;
    for (const size_t workers : {16, 50, 98}) {
      auto fleet = MakeFleet(workers);
      const auto demands = MakeDemands(instances);
      points.push_back({static_cast<double>(workers), MeasureTime(10, [&] {
                          AllotSlots(fleet, "letters", demands,
                                     "zone-a-instance-1");
                        })});
    }
    PrintSlope(reporter,
               "allot_slots_" + std::to_string(instances) + "_instances",
               points, "us");
  }
}

auto MeasureAdmission(const Reporter& reporter) -> void {
  std::vector<SizePoint> points;
  for (const size_t jobs : {100, 1000, 10000}) {
    auto queue = MakeClassQueue();
    for (size_t i = 0; i < jobs; ++i) {
      Enqueue(queue, MakeQueueEntry(i, 20));
    }
    SlotLoads loads;
    MeasureLoads(loads, queue, 64, kNow.boot);
    points.push_back({static_cast<double>(jobs), MeasureTime(5000, [&] {
                        AdmissionInput input;
                        input.task_count = 20;
                        input.deadline = seconds(5);
                        input.run_time.expected = milliseconds(100);
                        input.slots = 64;
                        input.max_queued_tasks = 40000;
                        DescribeQueue(queue, loads, 1, "partner-5", input);
                        static_cast<void>(Admit(input));
                      })});
  }
  PrintSlope(reporter, "admission_time", points, "us");
}

auto MeasureHeartbeats(const Reporter& reporter) -> void {
  std::vector<SizePoint> bytes;
  std::vector<SizePoint> times;
  for (const size_t teams : {0, 9, 27}) {
    const auto message = MakeHeartbeatMessage(teams);
    const auto n = static_cast<double>(teams);
    bytes.push_back(
        {n, static_cast<double>(EncodePeerMessage(message).size())});
    times.push_back({n, MeasureTime(1000, [&] {
                       static_cast<void>(
                           DecodePeerMessage(EncodePeerMessage(message)));
                     })});
  }
  PrintSlope(reporter, "heartbeat_bytes_by_teams", bytes, "bytes");
  PrintSlope(reporter, "heartbeat_encode_decode_by_teams", times, "us");
}

auto MakeInstanceList(size_t count) -> std::vector<PlatformInstance> {
  std::vector<PlatformInstance> list;
  for (size_t i = 0; i < count; ++i) {
    list.push_back({.name = NumberedName("zone-instance", i),
                    .zone = NumberedName("region-north-zone", i % kZones),
                    .address = Address{.ip = "10.20.30.40",
                                       .port = static_cast<uint16_t>(1000 + i)},
                    .leaving = false});
  }
  return list;
}

auto MeasurePeers(const Reporter& reporter) -> void {
  std::vector<SizePoint> memory;
  for (const size_t count : {16, 48, 98}) {
    Membership membership;
    membership.name = "zone-instance-0";
    membership.zone = "region-north-zone-0";
    membership.address = Address{.ip = "10.20.30.40", .port = 1000};
    membership.self = kSelf;
    const auto list = MakeInstanceList(count);
    memory.push_back({static_cast<double>(count), MeasureHeap([&] {
                        ApplyInstanceList(membership, list, kNow.boot);
                        for (auto& it : membership.peers) {
                          it.service_demands = MakeDemandList(2);
                        }
                      })});
  }
  PrintSlope(reporter, "peer_memory", memory, "bytes");
}

// Returns the bytes of the platform's list with all entry instances and the
// workers of `zones` zones.
auto MeasureListBytes(size_t zones) -> double {
  boost::json::array listed;
  for (const auto& it : MakeInstanceList(kZones * kZoneInstances)) {
    listed.push_back({{"kind", "entry"},
                      {"name", it.name},
                      {"zone", it.zone},
                      {"state", "live"},
                      {"address", ToString(it.address)}});
  }
  for (const auto& it : MakeWorkerList(zones * kZoneWorkers).workers) {
    listed.push_back({{"kind", "worker"},
                      {"name", it.name},
                      {"zone", "region-north-zone-0"},
                      {"state", "live"},
                      {"service", it.service},
                      {"address", ToString(it.address)},
                      {"incarnation", it.incarnation},
                      {"slots", it.slots},
                      {"cpu_millis", 4000},
                      {"memory_mb", 16000},
                      {"accelerators", 1}});
  }
  boost::json::object body;
  body["as_of_ms"] = kNow.wall.time_since_epoch().count();
  body["instances"] = std::move(listed);
  return static_cast<double>(boost::json::serialize(body).size());
}

auto MeasureList(const Reporter& reporter) -> void {
  std::vector<SizePoint> bytes;
  for (const size_t zones : {1, 3, 6}) {
    bytes.push_back({static_cast<double>(zones), MeasureListBytes(zones)});
  }
  PrintSlope(reporter, "list_bytes_by_zones_of_workers", bytes, "bytes");
}

auto MakeQuotaState(size_t instances) -> QuotaState {
  QuotaState state;
  Members members;
  for (size_t i = 0; i < instances; ++i) {
    members.push_back(Incarnation{100 + i});
  }
  state.roster.self = members[0];
  state.roster.proposed = members;
  state.roster.promised = {members};
  state.roster.agreed = true;
  state.own_demands = MakeTeamTasks();
  for (size_t i = 1; i < instances; ++i) {
    state.peer_demands.push_back({.peer = members[i],
                                  .demands = MakeTeamTasks(),
                                  .claims = true,
                                  .received = kNow.boot});
  }
  return state;
}

auto MeasureQuotas(const Reporter& reporter) -> void {
  QuotaPlan plan;
  plan.quotas = MakeTeamTasks();
  plan.zone_weights.assign(kZones, 1);
  std::vector<SizePoint> shares;
  std::vector<SizePoint> reports;
  for (const size_t instances : {3, 8, 16}) {
    auto state = MakeQuotaState(instances);
    const auto n = static_cast<double>(instances);
    shares.push_back({n, MeasureTime(50, [&] {
                        static_cast<void>(
                            AllocateQuota(plan, state, kNow.boot));
                      })});
    reports.push_back({n, MeasureTime(50, [&] {
                         static_cast<void>(
                             MakeReports(plan, {}, state, kNow.boot));
                       })});
  }
  PrintSlope(reporter, "quota_shares_27_teams_by_instances", shares, "us");
  PrintSlope(reporter, "quota_reports_27_teams_by_instances", reports, "us");
}

auto MakeFinalEntry(uint64_t number, uint32_t tasks) -> FinalEntry {
  FinalEntry entry;
  entry.job = MakeId(number);
  entry.partner = NumberedName("partner", number % kTeams);
  entry.team = NumberedName("team-of-operators", number % kTeams);
  entry.service = "letters";
  entry.urgency_class = "bulk";
  entry.state = JobState::kDone;
  entry.tasks = {{.state = TaskState::kDone, .count = tasks}};
  for (uint32_t i = 0; i < tasks; ++i) {
    entry.results.push_back(R"({"letter":"L-)" + std::to_string(10000000 + i) +
                            "\"}");
  }
  entry.finished = kNow.wall;
  return entry;
}

auto MeasureLedger(const Reporter& reporter) -> void {
  std::vector<SizePoint> memory;
  std::vector<SizePoint> times;
  for (const size_t entries : {500, 2000, 8000}) {
    LedgerSettings settings;
    settings.max_pending_bytes = size_t{1} << 30U;
    auto writer = MakeLedgerWriter(settings, {.incarnation = kSelf}, kNow);
    uint64_t number = 0;
    const auto begin = ThreadTime();
    memory.push_back({static_cast<double>(entries), MeasureHeap([&] {
                        for (size_t i = 0; i < entries; ++i) {
                          Add(writer, MakeFinalEntry(number++, 1),
                              Urgency::kNormal, kNow);
                        }
                      })});
    times.push_back({static_cast<double>(entries),
                     (ThreadTime() - begin) / static_cast<double>(entries)});
  }
  PrintSlope(reporter, "ledger_entry_memory", memory, "bytes");
  PrintSlope(reporter, "ledger_entry_time", times, "us");
  std::vector<SizePoint> by_tasks;
  for (const uint32_t tasks : {1U, 200U, 2000U}) {
    LedgerSettings settings;
    settings.max_pending_bytes = size_t{1} << 30U;
    auto writer = MakeLedgerWriter(settings, {.incarnation = kSelf}, kNow);
    const auto entry = MakeFinalEntry(1, tasks);
    by_tasks.push_back({static_cast<double>(tasks), MeasureTime(20, [&] {
                          Add(writer, entry, Urgency::kNormal, kNow);
                        })});
  }
  PrintSlope(reporter, "ledger_final_time_by_tasks", by_tasks, "us");
}

auto MeasureDump(const Reporter& reporter) -> void {
  std::vector<SizePoint> times;
  std::vector<SizePoint> bytes;
  for (const size_t jobs : {10, 50, 200}) {
    auto dispatcher = MakeDispatcher({}, kSelf, reporter.seed, kNow);
    dispatcher->fleet = MakeFleet(kZoneWorkers);
    ApplyInstanceList(dispatcher->membership, MakeInstanceList(98), kNow.boot);
    for (size_t i = 0; i < jobs; ++i) {
      dispatcher->jobs.emplace(MakeId(i), MakeJob(i, kJobTasks));
      dispatcher->deadlines.emplace(kNow.boot + seconds(600), MakeId(i));
    }
    const auto n = static_cast<double>(jobs);
    times.push_back({n, MeasureTime(10, [&] {
                       static_cast<void>(DumpOf(*dispatcher, kNow));
                     })});
    bytes.push_back(
        {n, static_cast<double>(
                boost::json::serialize(DumpOf(*dispatcher, kNow)).size())});
  }
  PrintSlope(reporter, "dump_time_by_jobs_of_2000", times, "us");
  PrintSlope(reporter, "dump_bytes_by_jobs", bytes, "bytes");
}

// Returns the holder of a full group: every worker has runs in progress, and
// `waiting` jobs of two tasks wait for room.
auto MakeFullGroup(size_t workers, size_t waiting) -> Scheduler {
  Scheduler state;
  state.has_priorities = true;
  const auto now = kNow.boot;
  for (size_t i = 0; i < workers; ++i) {
    auto& worker = state.workers[NumberedName("worker", i)];
    worker.fenced = true;
    worker.entry.capacity = {.cpu_millis = 64'000, .memory_mb = 100'000};
    for (uint64_t run = 0; run < 2; ++run) {
      AddRun(worker, Run{.task = {.job = JobName{1'000'000 + 2 * i + run}},
                         .resources = {.cpu_millis = 32'000, .memory_mb = 64},
                         .ordered_at = now - milliseconds(i % 90),
                         .expected = milliseconds(100 + i % 700)});
    }
  }
  for (size_t i = 0; i < waiting; ++i) {
    ScheduledJob job;
    job.offer = {.name = JobName{i + 1},
                 .kind = NumberedName("kind", i % 3),
                 .count = 2,
                 .needs = {.cpu_millis = 32'000, .memory_mb = 64},
                 .run_estimate = milliseconds{170},
                 .priority = static_cast<uint32_t>(i % 3)};
    job.tasks.resize(2);
    job.times.refuse_at = now + milliseconds(20 + i);
    job.task_work = 5000;
    job.floor = RecordOffered(state.floors, job.offer.kind, 10'000, now);
    state.jobs.emplace(job.offer.name, job);
  }
  return state;
}

// Measures the decision which waiting jobs are turned away when one arrives.
auto MeasureDisplacement(const Reporter& reporter) -> void {
  std::vector<SizePoint> times;
  for (const size_t waiting : {10, 50, 200}) {
    auto state = MakeFullGroup(350, waiting);
    times.push_back({static_cast<double>(waiting), MeasureTime(500, [&] {
                       static_cast<void>(detail::JobsToTurnAway(
                           state, JobName{1}, kNow.boot));
                     })});
  }
  PrintSlope(reporter, "displacement_time_by_waiting_jobs", times, "us");
}

auto MeasureAll(const Reporter& reporter) -> void {
  PrintLoadAverage(reporter, "load_average_before");
  MeasureIds(reporter);
  MeasureQueue(reporter);
  MeasureJobs(reporter);
  MeasurePeers(reporter);
  MeasureFleet(reporter);
  MeasureAllotment(reporter);
  MeasureAdmission(reporter);
  MeasureHeartbeats(reporter);
  MeasureList(reporter);
  MeasureQuotas(reporter);
  MeasureLedger(reporter);
  MeasureDump(reporter);
  MeasureDisplacement(reporter);
}

}  // namespace
}  // namespace boragecroft::bench

// Usage: boragecroft_capacity [SEED]
auto main(int argc, char** argv) -> int {
  boragecroft::bench::Reporter reporter;
  reporter.bench = "capacity";
  reporter.seed = argc > 1 ? std::stoull(argv[1]) : 20261204;
  reporter.command = "scripts/bench capacity " + std::to_string(reporter.seed);
  boragecroft::bench::MeasureAll(reporter);
  return 0;
}
