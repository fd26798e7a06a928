// One owner, its survivors and its readers over a table that fails in every
// way, in random order.
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
constexpr Fate kFates[] = {Fate::kAnswered, Fate::kAnswered,   Fate::kAnswered,
                           Fate::kAnswered, Fate::kAnswerLost, Fate::kLate,
                           Fate::kLost,     Fate::kRefused};

// What the owner did with a job, as the endpoints saw it.
struct Job {
  JobId id;
  uint32_t tasks = 0;
  bool recorded = false;  // held below its durable watermark
  uint32_t allowed = 0;   // the durable watermark
  uint32_t started = 0;
  bool finished = false;
  bool final_durable = false;
  bool refused = false;
};

struct World {
  FakeTable table;
  Now now{.boot = Instant(seconds(1)), .wall = WallTime(seconds(100))};
  LedgerWriter writer;
  bool alive = true;
  std::vector<TableOutcome> outcomes;  // on their way to the owner
  std::vector<Job> jobs;
  TableRow seen[kSurvivors];  // the incarnation's row as each survivor read it
  uint64_t closings = 0;
  std::optional<TableRow> closed_row;
  std::vector<LedgerSegment> closed_ledger;
  std::unordered_map<JobId, JobAnswer> answers;
  std::optional<Lookup> slow_reader;  // reads a page now and then
};

auto RowOf(const World& world) -> std::optional<IncarnationRow> {
  const auto row = Read(world.table, IncarnationKey(kOwner));
  return row.version == 0 ? std::nullopt
                          : std::optional(ParseIncarnationRow(row).value());
}

auto RecordOf(const World& world, const JobId& id) -> JobRecord {
  return FoldJob(SegmentsBelow(world.table, LedgerPrefix(kOwner)),
                 SegmentsBelow(world.table, AddendumPrefix(kOwner)), id);
}

auto JobOf(World& world, const JobId& id) -> Job& {
  return *std::find_if(world.jobs.begin(), world.jobs.end(),
                       [&](const Job& it) { return it.id == id; });
}

// Every event must be true of the table at that moment.
auto Absorb(World& world, const LedgerEvents& events) -> void {
  for (const auto& it : events.watermarks) {
    const auto record = RecordOf(world, it.job);
    RC_ASSERT(record.accepted.has_value());
    RC_ASSERT(record.started_below >= it.started_below);
    auto& job = JobOf(world, it.job);
    job.allowed = std::max(job.allowed, it.started_below);
  }
  for (const auto& it : events.finals) {
    RC_ASSERT(RecordOf(world, it).final_entry.has_value());
    JobOf(world, it).final_durable = true;
  }
  for (const auto& it : events.addendum_finals) {
    RC_ASSERT(RecordOf(world, it).addendum.has_value());
    JobOf(world, it).final_durable = true;
  }
  RC_ASSERT((!events.deposed || RowOf(world)->closed));
  RC_ASSERT((!events.closed || RowOf(world)->clean));
}

auto MayAccept(const World& world) -> bool {
  return world.writer.phase == LedgerPhase::kOpening ||
         world.writer.phase == LedgerPhase::kOpen;
}

auto NewId(const World& world) -> JobId {
  return JobId{.incarnation = kOwner,
               .sequence = world.jobs.size(),
               .minted = RecordTime(world.writer.started, world.now)};
}

auto Accept(World& world, uint8_t a, uint8_t b) -> void {
  if (!MayAccept(world)) {
    return;
  }
  Job job{.id = NewId(world), .tasks = 1U + a % 4, .recorded = b % 4 != 0};
  world.jobs.push_back(job);
  if (!job.recorded) {
    return;
  }
  const AcceptedEntry entry{.job = job.id,
                            .partner = "bank",
                            .tasks = job.tasks,
                            .started_below = b % 2U,
                            .accepted = job.id.minted};
  RC_ASSERT(Add(world.writer, entry, Urgency::kUrgent, world.now) ==
            AddVerdict::kAdded);
}

auto Refuse(World& world) -> void {
  if (!MayAccept(world)) {
    return;
  }
  const auto id = NewId(world);
  world.jobs.push_back(Job{.id = id, .refused = true});
  const RefusedEntry entry{.incarnation = kOwner,
                           .partner = "bank",
                           .reason = Refusal::kQuota,
                           .ranges = {{id.sequence, id.sequence}}};
  Add(world.writer, entry, Urgency::kNormal, world.now);
}

auto Start(World& world, Job& job) -> void {
  const auto limit =
      job.recorded ? std::min(job.allowed, job.tasks) : job.tasks;
  const auto has_stopped = world.writer.phase == LedgerPhase::kDeposed;
  if (!job.finished && !has_stopped && job.started < limit) {
    ++job.started;
  }
}

auto RaiseWatermark(World& world, const Job& job, uint8_t b) -> void {
  const WatermarkEntry entry{.job = job.id, .started_below = 1U + b % 4};
  const auto verdict = Add(world.writer, entry, Urgency::kUrgent, world.now);
  RC_ASSERT((job.recorded || verdict != AddVerdict::kAdded));
}

auto Finish(World& world, Job& job) -> void {
  if (job.finished || job.refused) {
    return;
  }
  job.finished = true;
  FinalEntry entry{
      .job = job.id,
      .partner = "bank",
      .state = job.started == job.tasks ? JobState::kDone : JobState::kFailed,
      .finished = RecordTime(world.writer.started, world.now)};
  AppendRun(entry.tasks, TaskState::kDone, job.started);
  AppendRun(entry.tasks, TaskState::kNotRun, job.tasks - job.started);
  if (entry.state == JobState::kDone) {
    entry.results.assign(job.tasks, "1");
  }
  RC_ASSERT(Add(world.writer, entry, Urgency::kNormal, world.now) ==
            AddVerdict::kAdded);
}

auto SendNext(World& world, Fate fate) -> void {
  const auto transaction = NextTransaction(world.writer, world.now);
  if (!transaction) {
    return;
  }
  world.outcomes.push_back(Send(world.table, *transaction, fate));
}

auto Deliver(World& world, uint8_t a) -> void {
  if (world.outcomes.empty()) {
    return;
  }
  const auto it = world.outcomes.begin() + a % world.outcomes.size();
  const auto outcome = *it;
  world.outcomes.erase(it);
  Absorb(world, OnOutcome(world.writer, outcome, world.now));
}

auto ReadBack(World& world) -> void {
  std::vector<TableRow> rows;
  for (const auto& it : PendingReadBack(world.writer)) {
    rows.push_back(Read(world.table, it));
  }
  Absorb(world, OnReadBack(world.writer, rows, world.now));
}

// The owner closes only after each job that it took has its final entry.
auto CloseCleanly(World& world) -> void {
  for (auto& it : world.jobs) {
    if (!it.finished && !it.refused) {
      return;
    }
  }
  RequestClose(world.writer, std::nullopt, {});
}

auto Survive(World& world, uint8_t a, uint8_t b) -> void {
  const auto n = a % kSurvivors;
  auto& seen = world.seen[n];
  if (seen.key.empty()) {
    seen = Read(world.table, IncarnationKey(kOwner));
    return;
  }
  const auto transaction = CloseTransaction(
      kOwner, seen,
      Closing{.closed_by = {100 + n},
              .operation_id = "closing-" + std::to_string(world.closings++)});
  seen = {};
  if (transaction) {
    Send(world.table, *transaction, kFates[b % std::size(kFates)]);
  }
}

auto BeginReading(const World& world, const JobId& id) -> Lookup {
  return BeginLookup(
      kOwner, id, RowOf(world),
      {.id_term = seconds(60), .max_deadline = seconds(600), .page_rows = 2});
}

// An answer stays as it is, and is true of what the endpoints saw.
auto CheckAnswer(World& world, const JobAnswer& answer, const Job& job)
    -> void {
  if (answer.kind != AnswerKind::kFinal) {
    return;
  }
  const auto first = world.answers.try_emplace(job.id, answer);
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

auto CheckAnswers(World& world) -> void {
  for (const auto& job : world.jobs) {
    auto lookup = BeginReading(world, job.id);
    while (const auto scan = NextScan(lookup)) {
      OnScanned(lookup, Scan(world.table, *scan));
    }
    const auto answer = AnswerOf(lookup);
    RC_ASSERT((!world.closed_row || answer.kind == AnswerKind::kFinal));
    CheckAnswer(world, answer, job);
  }
}

// One page; anything may happen before the next.
auto ReadSlowly(World& world, uint8_t a) -> void {
  if (world.jobs.empty()) {
    return;
  }
  if (!world.slow_reader) {
    world.slow_reader =
        BeginReading(world, world.jobs[a % world.jobs.size()].id);
  }
  if (const auto scan = NextScan(*world.slow_reader)) {
    OnScanned(*world.slow_reader, Scan(world.table, *scan));
    return;
  }
  const auto& id = world.slow_reader->record.job;
  CheckAnswer(world, AnswerOf(*world.slow_reader), JobOf(world, id));
  world.slow_reader.reset();
}

// Closing ends the ledger, and only one closing counts.
auto CheckClosed(World& world) -> void {
  const auto row = RowOf(world);
  if (!row || !row->closed) {
    return;
  }
  const auto raw = Read(world.table, IncarnationKey(kOwner));
  const auto ledger = SegmentsBelow(world.table, LedgerPrefix(kOwner));
  if (!world.closed_row) {
    world.closed_row = raw;
    world.closed_ledger = ledger;
  }
  RC_ASSERT(world.closed_row->version == raw.version);
  RC_ASSERT(world.closed_row->value == raw.value);
  RC_ASSERT(world.closed_ledger == ledger);
}

auto OwnerStep(World& world, uint8_t kind, uint8_t a, uint8_t b) -> void {
  if (!world.alive) {
    return;
  }
  if (kind == 0) {
    Accept(world, a, b);
  } else if (kind == 1) {
    Refuse(world);
  } else if (kind == 2) {
    SendNext(world, kFates[b % std::size(kFates)]);
  } else if (kind == 3) {
    Deliver(world, a);
  } else if (kind == 4) {
    ReadBack(world);
  } else if (kind == 5 && a % 32 == 0) {
    world.alive = false;
  } else if (kind == 5 && a % 8 < 3) {
    CloseCleanly(world);
  } else if (!world.jobs.empty()) {
    auto& job = world.jobs[a % world.jobs.size()];
    if (kind == 6) {
      RaiseWatermark(world, job, b);
    } else if (kind == 7) {
      Finish(world, job);
    } else {
      Start(world, job);
    }
  }
}

// The platform is well again: the owner, when alive, settles everything.
auto Recover(World& world) -> void {
  while (!world.table.late.empty()) {
    Release(world.table, 0);
  }
  for (auto i = 0; world.alive && i < 200; ++i) {
    world.now.boot += seconds(1);
    world.now.wall += seconds(1);
    SendNext(world, Fate::kAnswered);
    Deliver(world, 0);
    ReadBack(world);
    CheckClosed(world);
  }
}

auto CountEntries(const World& world, const JobId& id, bool finals) -> size_t {
  size_t count = 0;
  for (const auto& prefix : {LedgerPrefix(kOwner), AddendumPrefix(kOwner)}) {
    for (const auto& segment : SegmentsBelow(world.table, prefix)) {
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

// Nothing that the owner collected is lost or there twice.
auto CheckComplete(const World& world) -> void {
  for (const auto& job : world.jobs) {
    const auto ends = CountEntries(world, job.id, true);
    const auto starts = CountEntries(world, job.id, false);
    const auto ended = job.finished || job.refused ? 1U : 0U;
    RC_ASSERT(ends <= ended);
    RC_ASSERT(starts <= 1U);
    if (!world.alive) {
      continue;
    }
    RC_ASSERT(ends == ended);
    RC_ASSERT(job.final_durable == job.finished);
    const auto is_deposed = world.writer.phase == LedgerPhase::kDeposed;
    RC_ASSERT((is_deposed || starts == (job.recorded ? 1U : 0U)));
  }
}

RC_GTEST_PROP(LedgerStoryTest, EveryAnswerIsTrueAndStays, ()) {
  using Steps = std::vector<std::tuple<uint8_t, uint8_t, uint8_t>>;
  const auto steps = *rc::gen::resize(400, rc::gen::arbitrary<Steps>());
  World world;
  world.writer = MakeLedgerWriter(
      {.interval = milliseconds(100),
       .pace = {.spacing = milliseconds(10), .burst = 2},
       .retry_delay = milliseconds(50)},
      IncarnationRow{.incarnation = kOwner, .instance = "a1"}, world.now);
  for (const auto& [kind, a, b] : steps) {
    const auto step = kind % 16;
    if (step < 12) {
      // Sending, delivering and starting come up more often.
      const uint8_t kinds[] = {0, 1, 2, 2, 3, 3, 4, 5, 6, 7, 8, 8};
      OwnerStep(world, kinds[step], a, b);
    } else if (step == 12) {
      world.now.boot += milliseconds(a * 4);
      world.now.wall += milliseconds(b);  // the wall clock drifts
    } else if (step == 13 && !world.table.late.empty()) {
      Release(world.table, a % world.table.late.size());
    } else if (step == 14 && b % 4 == 0) {
      Survive(world, a, b / 4);
    } else if (step == 15 && b % 4 != 0) {
      ReadSlowly(world, a);
    } else if (step == 15) {
      CheckAnswers(world);
    }
    CheckClosed(world);
  }
  RC_TAG(std::string(world.alive ? "alive" : "dead"),
         std::string(world.closed_row ? "closed" : "open"),
         static_cast<int>(world.writer.phase));
  Recover(world);
  CheckComplete(world);
  while (!world.closed_row) {
    Survive(world, 0, 0);
    CheckClosed(world);
  }
  Recover(world);
  CheckAnswers(world);
  CheckComplete(world);
}

}  // namespace
}  // namespace boragecroft
