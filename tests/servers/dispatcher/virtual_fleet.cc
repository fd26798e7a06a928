#include "tests/servers/dispatcher/virtual_fleet.h"

#include <boost/json/serialize.hpp>
#include <boost/log/core.hpp>

#include "core/json/text.h"
#include "servers/configuration/configuration_row.h"
#include "servers/ledger/incarnation_row.h"
#include "servers/ledger/job_record.h"
#include "servers/ledger/keys.h"

namespace boragecroft {
namespace {

constexpr milliseconds kTick{20};
constexpr size_t kEndpoints = 3;
constexpr auto kDocument = R"({
  "schema_version": 2, "deployment": "cartas",
  "zones": [{"name": "bilbao", "region": "norte"}],
  "services": [{"name": "cartas", "task_timeout_ms": 4000, "lease_ms": 3000}],
  "classes": [{"name": "confirmations", "floor_percent": 30,
               "record_before_start": true, "record_before_answer": true},
              {"name": "reminders", "floor_percent": 40}],
  "teams": [{"name": "banks", "quota_tasks": 500}],
  "partners": [{"name": "banco", "team": "banks"}],
  "limits": {"id_term_ms": 40000}})";

auto Chance(VirtualFleet& fleet, uint32_t percent) -> bool {
  return DrawBelow(fleet.random, 100) < percent;
}

auto Fault(VirtualFleet& fleet, std::string text) -> void {
  fleet.violations.push_back(std::move(text));
}

auto Later(VirtualFleet& fleet, milliseconds delay, std::function<void()> what)
    -> void {
  fleet.agenda.emplace(fleet.now.boot + delay, std::move(what));
}

auto Take(VirtualFleet& fleet, size_t node, Outputs out) -> void;

using Event = std::function<void(Step&)>;

// Only to this incarnation, and not before a pause is over.
auto Deliver(VirtualFleet& fleet, size_t node, Incarnation to, Event event)
    -> void {
  auto& it = fleet.nodes[node];
  if (it.dispatcher == nullptr ||
      (to.value != 0 && it.dispatcher->self != to)) {
    return;
  }
  if (it.paused || !it.inbox.empty()) {
    it.inbox.push_back(std::move(event));
    return;
  }
  Outputs out;
  Step step{*it.dispatcher, fleet.now, out};
  event(step);
  Take(fleet, node, std::move(out));
}

auto ToList(const VirtualFleet& fleet) -> InstanceList {
  InstanceList list;
  list.as_of = fleet.now.wall;
  for (const auto& it : fleet.nodes) {
    list.instances.push_back({.name = it.settings.instance,
                              .zone = it.settings.zone,
                              .address = it.settings.peer_address});
  }
  for (const auto& it : fleet.endpoints) {
    list.workers.push_back({.name = "worker-" + std::to_string(it.first.port),
                            .zone = "bilbao",
                            .service = "cartas",
                            .address = it.first,
                            .slots = it.second.slots,
                            .leaving = fleet.leaving.contains(it.first)});
  }
  return list;
}

auto AnswerList(VirtualFleet& fleet, const ListInstances& call)
    -> decltype(PlatformOutcome::result) {
  auto list = ToList(fleet);
  for (const auto& it : list.workers) {
    list.tag += ToString(it.address) + (it.leaving ? "-" : "+");
  }
  if (list.tag == call.known_tag) {
    return ListUnchanged{};
  }
  ++fleet.whole_lists;
  return list;
}

auto Transact(VirtualFleet& fleet, const TableTransaction& transaction)
    -> TableOutcome {
  auto fate = Fate::kAnswered;
  if (fleet.platform_down) {
    fate = Chance(fleet, 50) ? Fate::kRefused : Fate::kLost;
  } else if (Chance(fleet, fleet.rates.table_answer_lost)) {
    fate = Fate::kAnswerLost;
  } else if (Chance(fleet, fleet.rates.table_late)) {
    fate = Fate::kLate;
    Later(fleet, milliseconds(200 + DrawBelow(fleet.random, 4000)), [&fleet] {
      if (!fleet.table.late.empty()) {
        Release(fleet.table, 0);
      }
    });
  } else if (Chance(fleet, fleet.rates.table_lost)) {
    fate = Fate::kLost;
  }
  return Send(fleet.table, transaction, fate);
}

auto Call(VirtualFleet& fleet, const PlatformCommand& command)
    -> PlatformOutcome {
  PlatformOutcome outcome{.token = command.token};
  if (const auto* write = std::get_if<TableTransaction>(&command.call)) {
    outcome.result = Transact(fleet, *write);
  } else if (fleet.platform_down) {
    outcome.result = PlatformError::kUnavailable;
  } else if (const auto* read = std::get_if<ReadRow>(&command.call)) {
    const auto& old = fleet.old_configurations;
    outcome.result = read->key == "configuration" && !old.empty() &&
                             Chance(fleet, fleet.rates.stale_read)
                         ? old[DrawBelow(fleet.random, old.size())]
                         : Read(fleet.table, read->key);
  } else if (const auto* scan = std::get_if<TableScan>(&command.call)) {
    outcome.result = ScannedRows{.rows = Scan(fleet.table, *scan)};
  } else {
    outcome.result = AnswerList(fleet, std::get<ListInstances>(command.call));
  }
  return outcome;
}

auto NoteList(VirtualFleet& fleet,
              Incarnation self,
              const PlatformOutcome& outcome) -> void {
  const auto* list = std::get_if<InstanceList>(&outcome.result);
  for (const auto& it :
       list == nullptr ? std::vector<PlatformWorker>() : list->workers) {
    if (it.leaving) {
      fleet.known_leaving.emplace(std::pair(self, it.address), fleet.now.boot);
    }
  }
}

auto DoPlatform(VirtualFleet& fleet,
                size_t node,
                const PlatformCommand& command) -> void {
  const auto self = fleet.nodes[node].dispatcher->self;
  Later(fleet, milliseconds(2), [&fleet, node, self, command] {
    const auto outcome = Call(fleet, command);
    const auto* table = std::get_if<TableOutcome>(&outcome.result);
    const auto silent =
        table != nullptr && table->kind == TableOutcomeKind::kUnknown;
    Later(fleet, milliseconds(silent ? 1000 : 3),
          [&fleet, node, self, outcome] {
            Deliver(fleet, node, self, [&fleet, outcome](Step& step) {
              NoteList(fleet, step.dispatcher.self, outcome);
              OnPlatformOutcome(step, outcome);
            });
          });
  });
}

auto Answer(VirtualFleet& fleet,
            size_t node,
            Incarnation self,
            const AttemptOutcome& outcome,
            milliseconds delay) -> void {
  Later(fleet, delay, [&fleet, node, self, outcome] {
    Deliver(fleet, node, self,
            [outcome](Step& step) { OnAttemptOutcome(step, outcome); });
  });
}

auto CheckLeaving(VirtualFleet& fleet,
                  Incarnation self,
                  const StartAttempt& start) -> void {
  const auto it = fleet.known_leaving.find({self, start.endpoint});
  if (it != fleet.known_leaving.end() &&
      fleet.now.boot - it->second > seconds(3)) {
    Fault(fleet, "new work for a leaving endpoint: " + ToString(start.id));
  }
}

auto Arrive(VirtualFleet& fleet,
            size_t node,
            Incarnation self,
            const StartAttempt& start) -> void {
  auto& endpoint = fleet.endpoints[start.endpoint];
  const auto run_time =
      fleet.run_time + milliseconds(DrawBelow(fleet.random, 400));
  AttemptOutcome outcome{.id = start.id};
  outcome.end = ArriveStart(endpoint, start, run_time, fleet.now.boot);
  if (outcome.end == ExchangeEnd::kDraining) {
    fleet.known_leaving.emplace(std::pair(self, start.endpoint),
                                fleet.now.boot);
  }
  if (outcome.end != ExchangeEnd::kRunning) {
    Answer(fleet, node, self, outcome, milliseconds(1));
    return;
  }
  Later(fleet, run_time + milliseconds(1),
        [&fleet, node, self, start, outcome] {
          auto ended = outcome;
          auto& its = fleet.endpoints[start.endpoint];
          Settle(its, fleet.now.boot);
          ended.end = its.runs[start.id].end;
          ended.text = its.runs[start.id].text;
          auto delay = milliseconds(1);
          if (Chance(fleet, fleet.rates.answer_lost)) {
            ended.end = ExchangeEnd::kSilent;
            delay = start.timeout;
          } else if (Chance(fleet, fleet.rates.answer_garbled)) {
            ended.end = ExchangeEnd::kProtocol;
          }
          Answer(fleet, node, self, ended, delay);
        });
}

auto Do(VirtualFleet& fleet, size_t node, const StartAttempt& start) -> void {
  const auto self = fleet.nodes[node].dispatcher->self;
  CheckLeaving(fleet, self, start);
  const AttemptOutcome silent{.id = start.id, .end = ExchangeEnd::kSilent};
  if (Chance(fleet, fleet.rates.start_lost)) {
    Answer(fleet, node, self, silent, start.timeout);
    return;
  }
  const auto late = Chance(fleet, fleet.rates.start_late);
  if (late) {
    Answer(fleet, node, self, silent, milliseconds(50));
  }
  Later(fleet, milliseconds(late ? DrawBelow(fleet.random, 3000) : 1),
        [&fleet, node, self, start] { Arrive(fleet, node, self, start); });
}

auto Do(VirtualFleet& fleet, size_t node, const QueryAttempt& query) -> void {
  const auto self = fleet.nodes[node].dispatcher->self;
  if (Chance(fleet, fleet.rates.query_lost)) {
    Answer(fleet, node, self, {.id = query.id, .from_query = true},
           query.timeout);
    return;
  }
  Later(fleet, milliseconds(1 + DrawBelow(fleet.random, 30)),
        [&fleet, node, self, query] {
          Answer(fleet, node, self,
                 ArriveQuery(fleet.endpoints[query.endpoint], query,
                             fleet.now.boot),
                 milliseconds(1 + DrawBelow(fleet.random, 30)));
        });
}

auto Do(VirtualFleet& fleet, size_t /*node*/, const RenewLeases& renew)
    -> void {
  Settle(fleet.endpoints[renew.endpoint], fleet.now.boot);
  for (const auto& it : renew.ids) {
    const auto run = fleet.endpoints[renew.endpoint].runs.find(it);
    if (run != fleet.endpoints[renew.endpoint].runs.end()) {
      run->second.lease_until = fleet.now.boot + renew.lease;
    }
  }
}

// Late answers of an abandoned attempt come all the same: they must not count.
auto Do(VirtualFleet&, size_t /*node*/, const AbandonAttempt&) -> void {}

auto DoPeer(VirtualFleet& fleet, size_t node, const SendToPeer& send) -> void {
  for (size_t to = 0; to < fleet.nodes.size(); ++to) {
    if (fleet.nodes[to].settings.peer_address != send.to ||
        fleet.cuts.contains(std::minmax(node, to)) ||
        Chance(fleet, fleet.rates.peer_lost)) {
      continue;
    }
    const auto copies = Chance(fleet, fleet.rates.peer_repeated) ? 2 : 1;
    for (auto i = 0; i < copies; ++i) {
      const auto late = Chance(fleet, fleet.rates.peer_late);
      Later(fleet, milliseconds(1 + DrawBelow(fleet.random, late ? 3000 : 3)),
            [&fleet, node, to, message = send.message] {
              // The connection ended with its process.
              const auto& sender = fleet.nodes[node].dispatcher;
              if (sender == nullptr || sender->self != message.from) {
                return;
              }
              Deliver(fleet, to, {},
                      [message](Step& step) { OnPeerMessage(step, message); });
            });
    }
  }
}

auto NoteNotRun(VirtualFleet& fleet,
                const JobId& id,
                uint32_t index,
                const std::string& said) -> void {
  const TaskId task{.job = id, .index = index};
  fleet.called_not_run[task] = said;
  if (Starts(fleet, task) != 0) {
    Fault(fleet, said + " but it started: " + ToString(task));
  }
}

auto CheckAnswer(VirtualFleet& fleet,
                 const Asked& asked,
                 const CallerAnswer& answer) -> void {
  if (asked.id.sequence != 0 && answer.id != asked.id) {
    Fault(fleet, "crossed answer for " + ToString(asked.id));
    return;
  }
  if (answer.state == JobState::kActive) {
    return;
  }
  auto& told = answer.recorded ? fleet.told : fleet.told_unrecorded;
  told[answer.id].insert(answer.state);
  const auto& submission = fleet.submissions.at(answer.id);
  if (answer.state == JobState::kDone &&
      answer.results != submission->payloads) {
    Fault(fleet, "results of another job for " + ToString(answer.id));
  }
  for (uint32_t i = 0; i < answer.tasks.size(); ++i) {
    if (answer.tasks[i] == TaskState::kNotRun) {
      NoteNotRun(fleet, answer.id, i, "answered not_run");
    }
  }
}

// Refusals that leave the id unused: it may be submitted again.
auto IsObstacle(Refusal refusal) -> bool {
  return refusal == Refusal::kDraining || refusal == Refusal::kNotReady ||
         refusal == Refusal::kOverloaded;
}

auto CheckRefusal(VirtualFleet& fleet, const Asked& asked, Refusal refusal)
    -> void {
  const auto found = fleet.submissions.find(asked.id);
  if (found == fleet.submissions.end() || !asked.submits) {
    return;
  }
  for (uint32_t i = 0; i < found->second->payloads.size(); ++i) {
    const TaskId task{.job = asked.id, .index = i};
    if (IsObstacle(refusal)) {
      if (Starts(fleet, task) != 0) {
        Fault(fleet, "refused but it started: " + ToString(task));
      }
    } else {
      NoteNotRun(fleet, asked.id, i, "refused");
    }
  }
  if (!IsObstacle(refusal)) {
    // Its record may not be durable yet.
    fleet.told_unrecorded[asked.id].insert(JobState::kRefused);
  }
}

auto Take(VirtualFleet& fleet, size_t node, Outputs out) -> void {
  for (auto& it : out.callers) {
    auto& asked = fleet.asked[it.reply_to.number];
    asked.replies.push_back(it.body);
    if (const auto* answer = std::get_if<AnswerReply>(&it.body)) {
      CheckAnswer(fleet, asked, *answer->answer);
    } else if (const auto* refusal = std::get_if<RefusalReply>(&it.body)) {
      CheckRefusal(fleet, asked, refusal->refusal);
    }
    if (asked.replies.size() > 1) {
      Fault(fleet, "two replies to one request");
    }
  }
  for (const auto& it : out.endpoints) {
    std::visit([&](const auto& command) { Do(fleet, node, command); }, it);
  }
  for (const auto& it : out.peers) {
    if (const auto* send = std::get_if<SendToPeer>(&it)) {
      DoPeer(fleet, node, *send);
    }
  }
  for (auto& it : out.platform) {
    DoPlatform(fleet, node, it);
  }
}

auto CheckNode(VirtualFleet& fleet, VirtualNode& node) -> void {
  const auto version = VersionInForce(node.dispatcher->configuration);
  if (version < node.highest_version) {
    Fault(fleet, "the configuration went back on " + node.settings.instance);
  }
  node.highest_version = version;
  if (node.dispatcher->deposed) {
    fleet.unsafe.insert(node.dispatcher->self);
  }
}

auto Tick(VirtualFleet& fleet) -> void {
  fleet.now.boot += kTick;
  fleet.now.wall += kTick;
  while (!fleet.agenda.empty() &&
         fleet.agenda.begin()->first <= fleet.now.boot) {
    const auto what = std::move(fleet.agenda.begin()->second);
    fleet.agenda.erase(fleet.agenda.begin());
    what();
  }
  for (size_t i = 0; i < fleet.nodes.size(); ++i) {
    auto& node = fleet.nodes[i];
    if (node.dispatcher == nullptr || node.paused) {
      continue;
    }
    const auto waiting = std::exchange(node.inbox, {});
    for (const auto& it : waiting) {
      Deliver(fleet, i, node.dispatcher->self, it);
    }
    Deliver(fleet, i, node.dispatcher->self, [](Step& step) { Advance(step); });
    CheckNode(fleet, node);
    if (IsStopped(*node.dispatcher)) {
      node.dispatcher.reset();
      if (fleet.restarts) {
        Boot(fleet, i);
      }
    }
  }
}

auto RecordOf(const VirtualFleet& fleet, const JobId& id) -> JobRecord {
  return FoldJob(SegmentsBelow(fleet.table, LedgerPrefix(id.incarnation)),
                 SegmentsBelow(fleet.table, AddendumPrefix(id.incarnation)),
                 id);
}

// The final entry and the addendum say what ran.
auto CheckRecord(VirtualFleet& fleet, const JobId& id) -> void {
  const auto record = RecordOf(fleet, id);
  for (const auto& entry : {record.final_entry, record.addendum}) {
    uint32_t index = 0;
    for (const auto& run : entry ? entry->tasks : TaskRuns()) {
      for (uint32_t i = 0; i < run.count; ++i, ++index) {
        const auto starts = Starts(fleet, {.job = id, .index = index});
        if ((run.state == TaskState::kNotRun && starts != 0) ||
            (run.state == TaskState::kDone && starts == 0)) {
          Fault(fleet, "recorded as " + std::string(ToString(run.state)) +
                           ", starts " + std::to_string(starts) + ": " +
                           ToString(id));
        }
      }
    }
  }
}

auto CheckJob(VirtualFleet& fleet,
              const JobId& id,
              const Submission& submission) -> void {
  for (uint32_t i = 0; i < submission.payloads.size(); ++i) {
    const TaskId task{.job = id, .index = i};
    if (!submission.repeatable && Starts(fleet, task) > 1) {
      Fault(fleet, "started twice: " + ToString(task));
    }
  }
  auto states = fleet.told[id];
  if (!fleet.unsafe.contains(id.incarnation)) {
    states.merge(std::set(fleet.told_unrecorded[id]));
  }
  if (states.size() > 1) {
    Fault(fleet, "callers were told different ends of " + ToString(id));
  }
  CheckRecord(fleet, id);
}

}  // namespace

auto Starts(const VirtualFleet& fleet, const TaskId& task) -> uint32_t {
  uint32_t starts = 0;
  for (const auto& it : fleet.endpoints) {
    const auto found = it.second.starts.find(task);
    starts += found == it.second.starts.end() ? 0 : found->second;
  }
  return starts;
}

auto MakeFleet(size_t nodes, uint64_t seed) -> std::unique_ptr<VirtualFleet> {
  boost::log::core::get()->set_logging_enabled(false);
  auto fleet = std::make_unique<VirtualFleet>();
  fleet->random.seed(seed);
  std::vector<Address> seeds;
  for (size_t i = 0; i < nodes; ++i) {
    seeds.push_back({.ip = "10.0.0.1", .port = static_cast<uint16_t>(1 + i)});
  }
  for (size_t i = 0; i < nodes; ++i) {
    auto& node = fleet->nodes.emplace_back();
    node.settings.instance = "entry-" + std::to_string(i);
    node.settings.zone = "bilbao";
    node.settings.peer_address = seeds[i];
    node.settings.seed_peers = seeds;
  }
  for (size_t i = 0; i < kEndpoints; ++i) {
    fleet->endpoints[{.ip = "10.0.1.1", .port = static_cast<uint16_t>(1 + i)}];
  }
  WriteConfiguration(*fleet);
  for (size_t i = 0; i < nodes; ++i) {
    Boot(*fleet, i);
  }
  Elapse(*fleet, seconds(3));
  return fleet;
}

auto Boot(VirtualFleet& fleet, size_t node) -> void {
  auto& it = fleet.nodes[node];
  it.paused = false;
  it.inbox.clear();
  it.highest_version = 0;
  it.dispatcher =
      MakeDispatcher(it.settings, Incarnation{fleet.next_incarnation++},
                     fleet.random(), fleet.now);
}

auto Kill(VirtualFleet& fleet, size_t node) -> void {
  auto& it = fleet.nodes[node];
  if (it.dispatcher != nullptr) {
    fleet.unsafe.insert(it.dispatcher->self);
    it.dispatcher.reset();
  }
}

auto Drain(VirtualFleet& fleet, size_t node) -> void {
  Deliver(fleet, node, {}, [](Step& step) { BeginDrain(step); });
}

auto Elapse(VirtualFleet& fleet, milliseconds time) -> void {
  for (auto left = time; left.count() > 0; left -= kTick) {
    Tick(fleet);
  }
}

auto Heal(VirtualFleet& fleet) -> void {
  fleet.rates = {};
  fleet.platform_down = false;
  fleet.cuts.clear();
  for (size_t i = 0; i < fleet.nodes.size(); ++i) {
    fleet.nodes[i].paused = false;
    if (fleet.nodes[i].dispatcher == nullptr) {
      Boot(fleet, i);
    }
  }
  Elapse(fleet, seconds(45));
}

auto WriteConfiguration(VirtualFleet& fleet) -> void {
  const auto old = Read(fleet.table, "configuration");
  ConfigurationRow row;
  row.document = ParseJson(kDocument).value();
  row.document.as_object()["deployment"] =
      "cartas-" + std::to_string(old.version + 1);
  Decide(fleet.table, {.operation_id = "operator",
                       .checks = {},
                       .puts = {{.key = "configuration",
                                 .value = json::serialize(ToJson(row))}}});
  fleet.old_configurations.push_back(Read(fleet.table, "configuration"));
}

auto FetchId(VirtualFleet& fleet, size_t node) -> std::optional<JobId> {
  const auto number =
      Ask(fleet, node, MintRequest{.partner = "banco", .count = 1});
  const auto& replies = fleet.asked[number].replies;
  const auto* mint =
      replies.empty() ? nullptr : std::get_if<MintReply>(&replies.front());
  return mint == nullptr ? std::nullopt : std::optional(mint->first);
}

auto MakeJob(const JobId& id,
             uint32_t tasks,
             const std::string& urgency_class,
             bool repeatable) -> std::shared_ptr<Submission> {
  auto out = std::make_shared<Submission>();
  out->id = id;
  out->partner = "banco";
  out->team = "banks";
  out->service = "cartas";
  out->kind = "letter";
  out->urgency_class = urgency_class;
  out->deadline = seconds(20);
  out->repeatable = repeatable;
  for (uint32_t i = 0; i < tasks; ++i) {
    out->payloads.push_back('"' + ToString(TaskId{.job = id, .index = i}) +
                            '"');
  }
  return out;
}

auto Ask(VirtualFleet& fleet, size_t node, const CallerCall& call) -> uint64_t {
  const auto number = fleet.next_number++;
  auto& asked = fleet.asked[number];
  asked.node = node;
  if (!std::holds_alternative<MintRequest>(call)) {
    asked.id = IdOf(call);
  }
  asked.submits = std::holds_alternative<SubmitRequest>(call);
  Deliver(fleet, node, {}, [number, call](Step& step) {
    OnCallerRequest(step, {.reply_to = {.number = number}, .call = call});
  });
  return number;
}

auto Submit(VirtualFleet& fleet,
            size_t node,
            const std::shared_ptr<const Submission>& submission) -> uint64_t {
  fleet.submissions[submission->id] = submission;
  return Ask(fleet, node,
             SubmitRequest{.submission = submission, .wait = seconds(25)});
}

auto Fetch(VirtualFleet& fleet, size_t node, const JobId& id) -> uint64_t {
  return Ask(fleet, node,
             FetchRequest{.id = id, .partner = "banco", .wait = seconds(5)});
}

auto StateTold(const VirtualFleet& fleet, uint64_t number) -> JobState {
  const auto& replies = fleet.asked.at(number).replies;
  if (replies.empty()) {
    return JobState::kActive;
  }
  if (const auto* answer = std::get_if<AnswerReply>(&replies.back())) {
    return answer->answer->state;
  }
  return std::holds_alternative<RefusalReply>(replies.back())
             ? JobState::kRefused
             : JobState::kActive;
}

auto CheckAll(VirtualFleet& fleet) -> std::string {
  for (const auto& it : fleet.submissions) {
    CheckJob(fleet, it.first, *it.second);
  }
  for (const auto& it : fleet.called_not_run) {
    if (Starts(fleet, it.first) != 0) {
      Fault(fleet, it.second + " and started later: " + ToString(it.first));
    }
  }
  std::string text;
  for (const auto& it : fleet.violations) {
    text += it + "\n";
  }
  return text;
}

}  // namespace boragecroft
