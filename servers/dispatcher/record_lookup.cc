#include <algorithm>
#include <utility>

#include "core/log/log.h"
#include "servers/dispatcher/owner_routing.h"
#include "servers/dispatcher/record_flow.h"
#include "servers/dispatcher/replies.h"
#include "servers/dispatcher/submitting.h"
#include "servers/ledger/incarnation_row.h"
#include "servers/ledger/keys.h"

namespace boragecroft {
namespace {

constexpr size_t kMaxLookups = 256;
constexpr milliseconds kLookupTimeout{5000};
constexpr milliseconds kClosingInterval{1000};

auto BoundsOf(const Dispatcher& dispatcher) -> LookupBounds {
  const auto* configuration = InForce(dispatcher);
  const auto limits =
      configuration == nullptr ? Limits() : configuration->limits;
  LookupBounds bounds;
  bounds.id_term = limits.id_term;
  bounds.max_deadline = limits.max_deadline;
  return bounds;
}

// The ledger that this instance writes: what it does not say did not happen.
// Once another instance has closed it, it is read like that of any other.
auto IsOwn(const Dispatcher& dispatcher, Incarnation ledger) -> bool {
  return ledger == dispatcher.self && !dispatcher.deposed;
}

auto TakeWaiting(Step& step, const JobId& id) -> std::vector<CallerRequest> {
  const auto it = step.dispatcher.lookups.find(id);
  if (it == step.dispatcher.lookups.end()) {
    return {};
  }
  auto waiting = std::move(it->second.waiting);
  step.dispatcher.lookups.erase(it);
  return waiting;
}

auto GiveUp(Step& step, const JobId& id, const std::string& reason) -> void {
  for (const auto& it : TakeWaiting(step, id)) {
    ReplyUndecided(step, it.reply_to, reason);
  }
}

auto ToCallerAnswer(const JobId& id,
                    const std::string& partner,
                    const JobAnswer& answer)
    -> std::shared_ptr<const CallerAnswer> {
  auto out = std::make_shared<CallerAnswer>();
  out->id = id;
  out->partner = partner;
  out->state = answer.state;
  out->recorded = true;
  out->reason = answer.reason;
  for (const auto& run : answer.tasks) {
    out->tasks.insert(out->tasks.end(), run.count, run.state);
  }
  out->results = answer.results;
  // Without its results the answer would not be whole.
  if (answer.state == JobState::kDone && answer.results_dropped) {
    out->state = JobState::kFailed;
    out->reason = "done, but the results are no longer kept";
  }
  return out;
}

auto ReplyFinal(Step& step,
                const CallerRequest& request,
                const JobId& id,
                const JobRecord& record,
                const JobAnswer& answer) -> void {
  const auto& partner = PartnerOf(request.call);
  if (!record.partner.empty() && record.partner != partner) {
    ReplyRefused(step, request.reply_to, Refusal::kWrongPartner,
                 "the id belongs to another partner", {});
    return;
  }
  if (RefuseOtherWork(step, request, record.digest)) {
    return;
  }
  if (answer.state == JobState::kRefused) {
    const auto refusal = answer.refusal.value_or(Refusal::kInvalid);
    ReplyRefused(step, request.reply_to, refusal, "this id was refused", {});
    return;
  }
  Reply(step, request.reply_to,
        AnswerReply{.answer = ToCallerAnswer(id, partner, answer)});
}

auto Holds(const std::vector<Incarnation>& ledgers, Incarnation ledger)
    -> bool {
  return std::find(ledgers.begin(), ledgers.end(), ledger) != ledgers.end();
}

// The ids of an instance that stopped as planned belong to the successor that
// it named.
auto PassToSuccessor(Step& step, const JobId& id, Incarnation successor)
    -> void {
  auto& dispatcher = step.dispatcher;
  auto& open = dispatcher.lookups.at(id);
  auto trail = std::move(open.trail);
  trail.closed.push_back(open.ledger);
  auto waiting = TakeWaiting(step, id);
  if (Holds(trail.closed, successor)) {
    // Instances that stopped together named each other.
    for (const auto& it : waiting) {
      ReplyRefused(step, it.reply_to, Refusal::kDraining,
                   "no instance is left that takes this id", {});
    }
    return;
  }
  if (successor == dispatcher.self) {
    auto& adopted = dispatcher.adopted[id.incarnation];
    adopted.unused = trail.unused == nullptr ? adopted.unused : trail.unused;
    for (auto& it : waiting) {
      ServeOwnRequest(step, it);
    }
    return;
  }
  const auto* peer = FindPeer(dispatcher.membership, successor);
  for (auto& it : waiting) {
    if (peer != nullptr && it.reply_to.IsLocal() &&
        IsReachable(dispatcher.membership, *peer, step.now.boot)) {
      RelayTo(step, *peer, std::move(it));
    } else {
      // The successor may be gone, too: then its own ledger says what became of
      // the id.
      LookUpIn(step, successor, std::move(it), trail);
    }
  }
}

auto Scan(Step& step, const JobId& id) -> void;

auto Conclude(Step& step, const JobId& id) -> void {
  const auto& lookup = *step.dispatcher.lookups.at(id).lookup;
  const auto own =
      IsOwn(step.dispatcher, step.dispatcher.lookups.at(id).ledger);
  const auto answer = own && !lookup.unreadable
                          ? DeriveOwnerAnswer(lookup.record)
                          : AnswerOf(lookup);
  if (answer.kind == AnswerKind::kSuccessor && answer.successor) {
    PassToSuccessor(step, id, *answer.successor);
    return;
  }
  if (answer.kind == AnswerKind::kUndecided) {
    GiveUp(step, id,
           "the instance that owns this id has not finished it, or its records "
           "can't be read");
    return;
  }
  const auto record = lookup.record;
  for (const auto& it : TakeWaiting(step, id)) {
    ReplyFinal(step, it, id, record, answer);
  }
}

auto Scan(Step& step, const JobId& id) -> void {
  const auto scan = NextScan(*step.dispatcher.lookups.at(id).lookup);
  if (!scan) {
    Conclude(step, id);
    return;
  }
  CallPlatform(step, *scan, [id](Step& then, PlatformOutcome& outcome) {
    const auto it = then.dispatcher.lookups.find(id);
    if (it == then.dispatcher.lookups.end()) {
      return;
    }
    const auto* rows = std::get_if<ScannedRows>(&outcome.result);
    if (rows == nullptr ||
        then.now.boot - it->second.started > kLookupTimeout) {
      GiveUp(then, id, "the platform does not answer");
      return;
    }
    OnScanned(*it->second.lookup, rows->rows);
    Scan(then, id);
  });
}

auto ReadIncarnation(Step& step, const JobId& id) -> void;

// Closes the ledger of an incarnation that is gone, so that what it holds is
// final. Whoever does so first wins.
auto Close(Step& step, const JobId& id, Incarnation owner, const TableRow& row)
    -> void {
  auto& dispatcher = step.dispatcher;
  if (step.now.boot < dispatcher.next_closing) {
    GiveUp(
        step, id,
        "the instance that owns this id is gone; its records are being closed");
    return;
  }
  dispatcher.next_closing = step.now.boot + kClosingInterval;
  Closing closing;
  closing.closed_by = dispatcher.self;
  closing.operation_id = ToString(dispatcher.self) + "-close-" +
                         std::to_string(dispatcher.next_token);
  const auto transaction = CloseTransaction(owner, row, closing);
  if (!transaction) {
    GiveUp(step, id,
           "the records of the instance that owns this id can't be read");
    return;
  }
  ++dispatcher.counters.closings;
  Log(LogLevel::kInfo, "ledger_closing", {{"incarnation", ToString(owner)}});
  CallPlatform(step, *transaction, [id](Step& then, PlatformOutcome&) {
    // Whatever the outcome, the row says what holds.
    if (then.dispatcher.lookups.contains(id)) {
      ReadIncarnation(then, id);
    }
  });
}

// An owner had started when it minted the id; a successor without a row may
// have started at any time.
auto RecordedOf(const OpenLookup& open,
                const std::optional<IncarnationRow>& row,
                const Now& now) -> RecordedInstance {
  if (!row) {
    const auto owner = open.ledger == open.id.incarnation;
    return RecordedInstance{.started = owner ? open.id.minted : now.wall};
  }
  return RecordedInstance{
      .name = row->instance,
      .address = ParseAddress(row->address).value_or(Address()),
      .started = row->started};
}

auto OnIncarnationRow(Step& step, const JobId& id, const TableRow& row)
    -> void {
  auto& dispatcher = step.dispatcher;
  auto& open = dispatcher.lookups.at(id);
  std::optional<IncarnationRow> incarnation;
  if (row.version > 0) {
    auto parsed = ParseIncarnationRow(row);
    if (parsed.has_error()) {
      GiveUp(step, id,
             "the records of the instance that owns this id can't be read");
      return;
    }
    incarnation = std::move(parsed).value();
  }
  const auto own = IsOwn(dispatcher, open.ledger);
  if (!own && (!incarnation || !incarnation->closed)) {
    if (!IsTerminated(dispatcher.membership, open.ledger,
                      RecordedOf(open, incarnation, step.now), step.now)) {
      GiveUp(step, id, "the instance that owns this id is out of reach");
      return;
    }
    Close(step, id, open.ledger, row);
    return;
  }
  if (open.ledger == id.incarnation && incarnation && incarnation->unused) {
    open.trail.unused =
        std::make_shared<const UnusedIds>(*std::move(incarnation->unused));
  }
  open.lookup = BeginLookup(open.ledger, id, std::move(incarnation),
                            BoundsOf(dispatcher));
  Scan(step, id);
}

auto ReadIncarnation(Step& step, const JobId& id) -> void {
  const auto ledger = step.dispatcher.lookups.at(id).ledger;
  CallPlatform(step, ReadRow{.key = IncarnationKey(ledger)},
               [id](Step& then, PlatformOutcome& outcome) {
                 const auto it = then.dispatcher.lookups.find(id);
                 if (it == then.dispatcher.lookups.end()) {
                   return;
                 }
                 const auto* row = std::get_if<TableRow>(&outcome.result);
                 if (row == nullptr ||
                     then.now.boot - it->second.started > kLookupTimeout) {
                   GiveUp(then, id, "the platform does not answer");
                   return;
                 }
                 OnIncarnationRow(then, id, *row);
               });
}

}  // namespace

auto LookUp(Step& step, CallerRequest request) -> void {
  const auto id = IdOf(request.call);
  const auto taken_over = IsTakenOver(step.dispatcher, id);
  LookUpIn(step, taken_over ? step.dispatcher.self : id.incarnation,
           std::move(request));
}

auto LookUpIn(Step& step,
              Incarnation ledger,
              CallerRequest request,
              LookupTrail trail) -> void {
  auto& dispatcher = step.dispatcher;
  const auto id = IdOf(request.call);
  const auto found = dispatcher.lookups.find(id);
  if (found != dispatcher.lookups.end()) {
    found->second.waiting.push_back(std::move(request));
    return;
  }
  if (dispatcher.lookups.size() >= kMaxLookups) {
    ReplyUndecided(step, request.reply_to,
                   "too many questions about the records at the moment");
    return;
  }
  ++dispatcher.counters.lookups;
  OpenLookup open;
  open.id = id;
  open.ledger = ledger;
  open.started = step.now.boot;
  open.trail = std::move(trail);
  open.waiting.push_back(std::move(request));
  dispatcher.lookups.emplace(id, std::move(open));
  ReadIncarnation(step, id);
}

}  // namespace boragecroft
