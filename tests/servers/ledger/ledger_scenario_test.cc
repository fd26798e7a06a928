// Runs one owner of a ledger, instances that close its ledger and readers of it
// in random order. The table loses, delays and refuses writes, and the owner
// may terminate at any time. The test guards against answers that contradict
// what was executed, answers that change later and entries that are lost or
// duplicated.
#include <gtest/gtest.h>

#include <rapidcheck/gtest.h>

#include <algorithm>
#include <tuple>
#include <unordered_map>

#include "servers/identity/record_clock.h"
#include "servers/ledger/job_record.h"
#include "servers/ledger/keys.h"
#include "servers/ledger/ledger_writer.h"
#include "servers/ledger/lookup.h"
#include "tests/servers/ledger/fake_table.h"

namespace boragecroft {
namespace {

constexpr Incarnation kOwner{0xA};
constexpr size_t kSurvivors = 3;
constexpr Delivery kDeliveries[] = {Delivery::kAnswered,   Delivery::kAnswered,
                                    Delivery::kAnswered,   Delivery::kAnswered,
                                    Delivery::kAnswerLost, Delivery::kLate,
                                    Delivery::kLost,       Delivery::kRefused};

// What the owner did with a job, as the endpoints observed it.
struct Job {
  JobId id;
  uint32_t tasks = 0;
  bool recorded = false;  // starts are limited by its durable watermark
  uint32_t allowed = 0;   // the durable watermark
  uint32_t started = 0;
  bool finished = false;
  bool final_durable = false;
  bool refused = false;
};

struct Simulation {
  FakeTable table;
  Now now{.boot = Instant(seconds(1)), .wall = WallTime(seconds(100))};
  LedgerWriter writer;
  bool alive = true;
  std::vector<TableOutcome> outcomes;  // not yet delivered to the owner
  std::vector<Job> jobs;
  // The incarnation's row as each survivor last read it.
  TableRow seen[kSurvivors];
  uint64_t closings = 0;
  std::optional<TableRow> closed_row;
  std::vector<LedgerSegment> closed_ledger;
  std::unordered_map<JobId, JobAnswer> answers;
  // Reads one page at a time between other events.
  std::optional<Lookup> slow_reader;
};

auto RowOf(const Simulation& simulation) -> std::optional<IncarnationRow> {
  const auto row = Read(simulation.table, IncarnationKey(kOwner));
  return row.version == 0 ? std::nullopt
                          : std::optional(ParseIncarnationRow(row).value());
}

auto RecordOf(const Simulation& simulation, const JobId& id) -> JobRecord {
  return FoldJob(SegmentsBelow(simulation.table, LedgerPrefix(kOwner)),
                 SegmentsBelow(simulation.table, AddendumPrefix(kOwner)), id);
}

auto JobOf(Simulation& simulation, const JobId& id) -> Job& {
  return *std::find_if(simulation.jobs.begin(), simulation.jobs.end(),
                       [&](const Job& it) { return it.id == id; });
}

// Checks that each event agrees with the table at the moment of the event.
auto CheckEvents(Simulation& simulation, const LedgerEvents& events) -> void {
  for (const auto& it : events.watermarks) {
    const auto record = RecordOf(simulation, it.job);
    RC_ASSERT(record.accepted.has_value());
    RC_ASSERT(record.started_below >= it.started_below);
    auto& job = JobOf(simulation, it.job);
    job.allowed = std::max(job.allowed, it.started_below);
  }
  for (const auto& it : events.finals) {
    RC_ASSERT(RecordOf(simulation, it).final_entry.has_value());
    JobOf(simulation, it).final_durable = true;
  }
  for (const auto& it : events.addendum_finals) {
    RC_ASSERT(RecordOf(simulation, it).addendum.has_value());
    JobOf(simulation, it).final_durable = true;
  }
  RC_ASSERT((!events.fenced || RowOf(simulation)->closed));
  RC_ASSERT((!events.closed || RowOf(simulation)->clean));
}

auto MayAccept(const Simulation& simulation) -> bool {
  return simulation.writer.phase == LedgerPhase::kOpening ||
         simulation.writer.phase == LedgerPhase::kOpen;
}

auto NewId(const Simulation& simulation) -> JobId {
  return JobId{.incarnation = kOwner,
               .sequence = simulation.jobs.size(),
               .minted = RecordTime(simulation.writer.started, simulation.now)};
}

auto Accept(Simulation& simulation, uint8_t a, uint8_t b) -> void {
  if (!MayAccept(simulation)) {
    return;
  }
  Job job{.id = NewId(simulation), .tasks = 1U + a % 4, .recorded = b % 4 != 0};
  simulation.jobs.push_back(job);
  if (!job.recorded) {
    return;
  }
  const AcceptedEntry entry{.job = job.id,
                            .partner = "bank",
                            .tasks = job.tasks,
                            .started_below = b % 2U,
                            .accepted = job.id.minted};
  RC_ASSERT(Add(simulation.writer, entry, Urgency::kUrgent, simulation.now) ==
            AddResult::kAdded);
}

auto Refuse(Simulation& simulation) -> void {
  if (!MayAccept(simulation)) {
    return;
  }
  const auto id = NewId(simulation);
  simulation.jobs.push_back(Job{.id = id, .refused = true});
  const RefusedEntry entry{.incarnation = kOwner,
                           .partner = "bank",
                           .reason = Refusal::kQuota,
                           .ranges = {{id.sequence, id.sequence}}};
  Add(simulation.writer, entry, Urgency::kNormal, simulation.now);
}

auto Start(Simulation& simulation, Job& job) -> void {
  const auto limit =
      job.recorded ? std::min(job.allowed, job.tasks) : job.tasks;
  const auto has_stopped = simulation.writer.phase == LedgerPhase::kFenced;
  if (!job.finished && !has_stopped && job.started < limit) {
    ++job.started;
  }
}

auto RaiseWatermark(Simulation& simulation, const Job& job, uint8_t b) -> void {
  const WatermarkEntry entry{.job = job.id, .started_below = 1U + b % 4};
  const auto result =
      Add(simulation.writer, entry, Urgency::kUrgent, simulation.now);
  RC_ASSERT((job.recorded || result != AddResult::kAdded));
}

auto Finish(Simulation& simulation, Job& job) -> void {
  if (job.finished || job.refused) {
    return;
  }
  job.finished = true;
  FinalEntry entry{
      .job = job.id,
      .partner = "bank",
      .state = job.started == job.tasks ? JobState::kDone : JobState::kFailed,
      .finished = RecordTime(simulation.writer.started, simulation.now)};
  AppendRun(entry.tasks, TaskState::kDone, job.started);
  AppendRun(entry.tasks, TaskState::kNotRun, job.tasks - job.started);
  if (entry.state == JobState::kDone) {
    entry.results.assign(job.tasks, "1");
  }
  RC_ASSERT(Add(simulation.writer, entry, Urgency::kNormal, simulation.now) ==
            AddResult::kAdded);
}

auto SendNext(Simulation& simulation, Delivery delivery) -> void {
  const auto transaction = NextTransaction(simulation.writer, simulation.now);
  if (!transaction) {
    return;
  }
  simulation.outcomes.push_back(Send(simulation.table, *transaction, delivery));
}

auto Deliver(Simulation& simulation, uint8_t a) -> void {
  if (simulation.outcomes.empty()) {
    return;
  }
  const auto it = simulation.outcomes.begin() + a % simulation.outcomes.size();
  const auto outcome = *it;
  simulation.outcomes.erase(it);
  CheckEvents(simulation,
              OnOutcome(simulation.writer, outcome, simulation.now));
}

auto ReadBack(Simulation& simulation) -> void {
  std::vector<TableRow> rows;
  for (const auto& it : PendingReadBack(simulation.writer)) {
    rows.push_back(Read(simulation.table, it));
  }
  CheckEvents(simulation, OnReadBack(simulation.writer, rows, simulation.now));
}

// Closes the ledger only after each job that the owner accepted has its final
// entry.
auto CloseCleanly(Simulation& simulation) -> void {
  for (auto& it : simulation.jobs) {
    if (!it.finished && !it.refused) {
      return;
    }
  }
  RequestClose(simulation.writer, std::nullopt, {});
}

auto CloseAsSurvivor(Simulation& simulation, uint8_t a, uint8_t b) -> void {
  const auto n = a % kSurvivors;
  auto& seen = simulation.seen[n];
  if (seen.key.empty()) {
    seen = Read(simulation.table, IncarnationKey(kOwner));
    return;
  }
  const auto transaction = CloseTransaction(
      kOwner, seen,
      Closing{
          .closed_by = {100 + n},
          .operation_id = "closing-" + std::to_string(simulation.closings++)});
  seen = {};
  if (transaction) {
    Send(simulation.table, *transaction,
         kDeliveries[b % std::size(kDeliveries)]);
  }
}

auto BeginReading(const Simulation& simulation, const JobId& id) -> Lookup {
  return BeginLookup(
      kOwner, id, RowOf(simulation),
      {.id_term = seconds(60), .max_deadline = seconds(600), .page_rows = 2});
}

// Checks that a final answer never changes and agrees with what the endpoints
// observed.
auto CheckAnswer(Simulation& simulation,
                 const JobAnswer& answer,
                 const Job& job) -> void {
  if (answer.kind != AnswerKind::kFinal) {
    return;
  }
  const auto first = simulation.answers.try_emplace(job.id, answer);
  RC_ASSERT(first.first->second == answer);
  if (answer.state == JobState::kRefused) {
    RC_ASSERT(job.refused);
    return;
  }
  uint32_t index = 0;
  for (const auto& run : answer.tasks) {
    RC_ASSERT((run.state != TaskState::kNotRun || job.started <= index));
    index += run.count;
  }
  RC_ASSERT((!answer.tasks_known || index == job.tasks));
  RC_ASSERT(
      (answer.state != JobState::kDone || answer.results.size() == job.tasks));
}

auto CheckAnswers(Simulation& simulation) -> void {
  for (const auto& job : simulation.jobs) {
    auto lookup = BeginReading(simulation, job.id);
    while (const auto scan = NextScan(lookup)) {
      OnScanned(lookup, Scan(simulation.table, *scan));
    }
    const auto answer = AnswerOf(lookup);
    RC_ASSERT((!simulation.closed_row || answer.kind == AnswerKind::kFinal));
    CheckAnswer(simulation, answer, job);
  }
}

// Reads one page; any event may happen before the next one.
auto ReadNextPage(Simulation& simulation, uint8_t a) -> void {
  if (simulation.jobs.empty()) {
    return;
  }
  if (!simulation.slow_reader) {
    simulation.slow_reader = BeginReading(
        simulation, simulation.jobs[a % simulation.jobs.size()].id);
  }
  if (const auto scan = NextScan(*simulation.slow_reader)) {
    OnScanned(*simulation.slow_reader, Scan(simulation.table, *scan));
    return;
  }
  const auto& id = simulation.slow_reader->record.job;
  CheckAnswer(simulation, AnswerOf(*simulation.slow_reader),
              JobOf(simulation, id));
  simulation.slow_reader.reset();
}

// Checks that nothing is written to a closed ledger and that it is closed only
// once.
auto CheckClosed(Simulation& simulation) -> void {
  const auto row = RowOf(simulation);
  if (!row || !row->closed) {
    return;
  }
  const auto raw = Read(simulation.table, IncarnationKey(kOwner));
  const auto ledger = SegmentsBelow(simulation.table, LedgerPrefix(kOwner));
  if (!simulation.closed_row) {
    simulation.closed_row = raw;
    simulation.closed_ledger = ledger;
  }
  RC_ASSERT(simulation.closed_row->version == raw.version);
  RC_ASSERT(simulation.closed_row->value == raw.value);
  RC_ASSERT(simulation.closed_ledger == ledger);
}

auto RunOwnerEvent(Simulation& simulation, uint8_t kind, uint8_t a, uint8_t b)
    -> void {
  if (!simulation.alive) {
    return;
  }
  if (kind == 0) {
    Accept(simulation, a, b);
  } else if (kind == 1) {
    Refuse(simulation);
  } else if (kind == 2) {
    SendNext(simulation, kDeliveries[b % std::size(kDeliveries)]);
  } else if (kind == 3) {
    Deliver(simulation, a);
  } else if (kind == 4) {
    ReadBack(simulation);
  } else if (kind == 5 && a % 32 == 0) {
    simulation.alive = false;
  } else if (kind == 5 && a % 8 < 3) {
    CloseCleanly(simulation);
  } else if (!simulation.jobs.empty()) {
    auto& job = simulation.jobs[a % simulation.jobs.size()];
    if (kind == 6) {
      RaiseWatermark(simulation, job, b);
    } else if (kind == 7) {
      Finish(simulation, job);
    } else {
      Start(simulation, job);
    }
  }
}

// Lets the platform work without faults; the owner, if it is alive, settles
// everything.
auto Recover(Simulation& simulation) -> void {
  while (!simulation.table.late.empty()) {
    Release(simulation.table, 0);
  }
  for (auto i = 0; simulation.alive && i < 200; ++i) {
    simulation.now.boot += seconds(1);
    simulation.now.wall += seconds(1);
    SendNext(simulation, Delivery::kAnswered);
    Deliver(simulation, 0);
    ReadBack(simulation);
    CheckClosed(simulation);
  }
}

auto CountEntries(const Simulation& simulation, const JobId& id, bool finals)
    -> size_t {
  size_t count = 0;
  for (const auto& prefix : {LedgerPrefix(kOwner), AddendumPrefix(kOwner)}) {
    for (const auto& segment : SegmentsBelow(simulation.table, prefix)) {
      for (const auto& entry : segment.entries) {
        const auto* final_entry = std::get_if<FinalEntry>(&entry);
        const auto* accepted = std::get_if<AcceptedEntry>(&entry);
        const auto* refused = std::get_if<RefusedEntry>(&entry);
        count += finals && final_entry && final_entry->job == id;
        count += finals && refused && Contains(refused->ranges, id.sequence);
        count += !finals && accepted && accepted->job == id;
      }
    }
  }
  return count;
}

// Checks that no entry that the owner collected is lost or written twice.
auto CheckComplete(const Simulation& simulation) -> void {
  for (const auto& job : simulation.jobs) {
    const auto ends = CountEntries(simulation, job.id, true);
    const auto starts = CountEntries(simulation, job.id, false);
    const auto ended = job.finished || job.refused ? 1U : 0U;
    RC_ASSERT(ends <= ended);
    RC_ASSERT(starts <= 1U);
    if (!simulation.alive) {
      continue;
    }
    RC_ASSERT(ends == ended);
    RC_ASSERT(job.final_durable == job.finished);
    const auto is_deposed = simulation.writer.phase == LedgerPhase::kFenced;
    RC_ASSERT((is_deposed || starts == (job.recorded ? 1U : 0U)));
  }
}

RC_GTEST_PROP(LedgerScenarioTest, AnswersMatchExecutionAndNeverChange, ()) {
  using Steps = std::vector<std::tuple<uint8_t, uint8_t, uint8_t>>;
  const auto steps = *rc::gen::resize(400, rc::gen::arbitrary<Steps>());
  Simulation simulation;
  simulation.writer = MakeLedgerWriter(
      {.interval = milliseconds(100),
       .pace = {.spacing = milliseconds(10), .burst = 2},
       .retry_delay = milliseconds(50)},
      IncarnationRow{.incarnation = kOwner, .instance = "a1"}, simulation.now);
  for (const auto& [kind, a, b] : steps) {
    const auto step = kind % 16;
    if (step < 12) {
      // Sending, delivering and starting are more frequent.
      const uint8_t kinds[] = {0, 1, 2, 2, 3, 3, 4, 5, 6, 7, 8, 8};
      RunOwnerEvent(simulation, kinds[step], a, b);
    } else if (step == 12) {
      simulation.now.boot += milliseconds(a * 4);
      simulation.now.wall += milliseconds(b);  // the wall clock drifts
    } else if (step == 13 && !simulation.table.late.empty()) {
      Release(simulation.table, a % simulation.table.late.size());
    } else if (step == 14 && b % 4 == 0) {
      CloseAsSurvivor(simulation, a, b / 4);
    } else if (step == 15 && b % 4 != 0) {
      ReadNextPage(simulation, a);
    } else if (step == 15) {
      CheckAnswers(simulation);
    }
    CheckClosed(simulation);
  }
  RC_TAG(std::string(simulation.alive ? "alive" : "dead"),
         std::string(simulation.closed_row ? "closed" : "open"),
         static_cast<int>(simulation.writer.phase));
  Recover(simulation);
  CheckComplete(simulation);
  while (!simulation.closed_row) {
    CloseAsSurvivor(simulation, 0, 0);
    CheckClosed(simulation);
  }
  Recover(simulation);
  CheckAnswers(simulation);
  CheckComplete(simulation);
}

}  // namespace
}  // namespace boragecroft
