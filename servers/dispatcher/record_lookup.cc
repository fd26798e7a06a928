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

// Reports whether `ledger` is the one that this instance writes. Whatever has
// no record there did not happen. After another instance has closed the ledger,
// it is read like the ledger of any other instance.
auto IsOwnOpenLedger(const Dispatcher& dispatcher, Incarnation ledger) -> bool {
  return ledger == dispatcher.self && !dispatcher.fenced;
}

auto EndLookup(EventContext& context, const JobId& id)
    -> std::vector<CallerRequest> {
  const auto it = context.dispatcher.lookups.find(id);
  if (it == context.dispatcher.lookups.end()) {
    return {};
  }
  auto waiting = std::move(it->second.waiting);
  context.dispatcher.lookups.erase(it);
  return waiting;
}

auto EndLookupUndecided(EventContext& context,
                        const JobId& id,
                        const std::string& reason) -> void {
  for (const auto& it : EndLookup(context, id)) {
    ReplyUndecided(context, it.reply_to, reason);
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
  // Without the results the answer would be incomplete.
  if (answer.state == JobState::kDone && answer.results_dropped) {
    out->state = JobState::kFailed;
    out->reason = "done, but the results are no longer kept";
  }
  return out;
}

auto ReplyFinal(EventContext& context,
                const CallerRequest& request,
                const JobId& id,
                const JobRecord& record,
                const JobAnswer& answer) -> void {
  const auto& partner = PartnerOf(request.call);
  if (!record.partner.empty() && record.partner != partner) {
    ReplyRefused(context, request.reply_to, Refusal::kWrongPartner,
                 "the id belongs to another partner", {});
    return;
  }
  if (RefuseDigestMismatch(context, request, record.digest)) {
    return;
  }
  if (answer.state == JobState::kRefused) {
    const auto refusal = answer.refusal.value_or(Refusal::kInvalid);
    ReplyRefused(context, request.reply_to, refusal, "this id was refused", {});
    return;
  }
  Reply(context, request.reply_to,
        AnswerReply{.answer = ToCallerAnswer(id, partner, answer)});
}

auto Includes(const std::vector<Incarnation>& ledgers, Incarnation ledger)
    -> bool {
  return std::find(ledgers.begin(), ledgers.end(), ledger) != ledgers.end();
}

// Forwards the requests about an id to the successor of an instance that
// stopped as planned: the instance's ids belong to the successor that it named.
auto ForwardToSuccessor(EventContext& context,
                        const JobId& id,
                        Incarnation successor) -> void {
  auto& dispatcher = context.dispatcher;
  auto& open = dispatcher.lookups.at(id);
  auto history = std::move(open.history);
  history.closed.push_back(open.ledger);
  auto waiting = EndLookup(context, id);
  if (Includes(history.closed, successor)) {
    // Instances that stopped at the same time named each other as successor.
    for (const auto& it : waiting) {
      ReplyRefused(context, it.reply_to, Refusal::kDraining,
                   "no instance is left that accepts this id", {});
    }
    return;
  }
  if (successor == dispatcher.self) {
    auto& inherited = dispatcher.inherited[id.incarnation];
    inherited.unused =
        history.unused == nullptr ? inherited.unused : history.unused;
    for (auto& it : waiting) {
      ServeOwnRequest(context, it);
    }
    return;
  }
  const auto* peer = FindPeer(dispatcher.membership, successor);
  for (auto& it : waiting) {
    if (peer != nullptr && it.reply_to.IsLocal() &&
        IsReachable(dispatcher.membership, *peer, context.now.boot)) {
      RelayTo(context, *peer, std::move(it));
    } else {
      // The successor may have terminated, too. In that case its own ledger
      // contains the outcome of the id.
      LookUpInLedger(context, successor, std::move(it), history);
    }
  }
}

auto ScanRecords(EventContext& context, const JobId& id) -> void;

auto AnswerFromLookup(EventContext& context, const JobId& id) -> void {
  const auto& lookup = *context.dispatcher.lookups.at(id).lookup;
  const auto is_own = IsOwnOpenLedger(context.dispatcher,
                                      context.dispatcher.lookups.at(id).ledger);
  const auto answer = is_own && !lookup.unreadable
                          ? DeriveOwnerAnswer(lookup.record)
                          : AnswerOf(lookup);
  if (answer.kind == AnswerKind::kSuccessor && answer.successor) {
    ForwardToSuccessor(context, id, *answer.successor);
    return;
  }
  if (answer.kind == AnswerKind::kUndecided) {
    EndLookupUndecided(
        context, id,
        "the instance that owns this id has not finished it, or its records "
        "can't be read");
    return;
  }
  const auto record = lookup.record;
  for (const auto& it : EndLookup(context, id)) {
    ReplyFinal(context, it, id, record, answer);
  }
}

auto ScanRecords(EventContext& context, const JobId& id) -> void {
  const auto scan = NextScan(*context.dispatcher.lookups.at(id).lookup);
  if (!scan) {
    AnswerFromLookup(context, id);
    return;
  }
  CallPlatform(
      context, *scan,
      [id](EventContext& callback_context, PlatformOutcome& outcome) {
        const auto it = callback_context.dispatcher.lookups.find(id);
        if (it == callback_context.dispatcher.lookups.end()) {
          return;
        }
        const auto* rows = std::get_if<ScannedRows>(&outcome.result);
        if (rows == nullptr ||
            callback_context.now.boot - it->second.started > kLookupTimeout) {
          EndLookupUndecided(callback_context, id,
                             "the platform does not answer");
          return;
        }
        OnScanned(*it->second.lookup, rows->rows);
        ScanRecords(callback_context, id);
      });
}

auto ReadIncarnation(EventContext& context, const JobId& id) -> void;

// Closes the ledger of a terminated incarnation, so that its contents are
// final. When several instances try this, the first one succeeds.
auto CloseLedgerOf(EventContext& context,
                   const JobId& id,
                   Incarnation owner,
                   const TableRow& row) -> void {
  auto& dispatcher = context.dispatcher;
  if (context.now.boot < dispatcher.next_closing) {
    EndLookupUndecided(context, id,
                       "the instance that owns this id has terminated; its "
                       "records are being closed");
    return;
  }
  dispatcher.next_closing = context.now.boot + kClosingInterval;
  Closing closing;
  closing.closed_by = dispatcher.self;
  closing.operation_id = ToString(dispatcher.self) + "-close-" +
                         std::to_string(dispatcher.next_token);
  const auto transaction = CloseTransaction(owner, row, closing);
  if (!transaction) {
    EndLookupUndecided(
        context, id,
        "the records of the instance that owns this id can't be read");
    return;
  }
  ++dispatcher.counters.closings;
  Log(LogLevel::kInfo, "ledger_closing", {{"incarnation", ToString(owner)}});
  CallPlatform(context, *transaction,
               [id](EventContext& callback_context, PlatformOutcome&) {
                 // Whatever the outcome of the write is, the row shows the
                 // state that is valid.
                 if (callback_context.dispatcher.lookups.contains(id)) {
                   ReadIncarnation(callback_context, id);
                 }
               });
}

// Returns what is recorded about the instance that writes the ledger. Without a
// row, the owner of the id is known to have started before it minted the id,
// whereas a successor may have started at any time until now.
auto ToRecordedInstance(const OpenLookup& open,
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

auto OnIncarnationRow(EventContext& context,
                      const JobId& id,
                      const TableRow& row) -> void {
  auto& dispatcher = context.dispatcher;
  auto& open = dispatcher.lookups.at(id);
  std::optional<IncarnationRow> incarnation;
  if (row.version > 0) {
    auto parsed = ParseIncarnationRow(row);
    if (parsed.has_error()) {
      EndLookupUndecided(
          context, id,
          "the records of the instance that owns this id can't be read");
      return;
    }
    incarnation = std::move(parsed).value();
  }
  const auto is_own = IsOwnOpenLedger(dispatcher, open.ledger);
  if (!is_own && (!incarnation || !incarnation->closed)) {
    if (!IsTerminated(dispatcher.membership, open.ledger,
                      ToRecordedInstance(open, incarnation, context.now),
                      context.now)) {
      EndLookupUndecided(context, id,
                         "the instance that owns this id is out of reach");
      return;
    }
    CloseLedgerOf(context, id, open.ledger, row);
    return;
  }
  if (open.ledger == id.incarnation && incarnation && incarnation->unused) {
    open.history.unused =
        std::make_shared<const UnusedIds>(*std::move(incarnation->unused));
  }
  open.lookup = BeginLookup(open.ledger, id, std::move(incarnation),
                            BoundsOf(dispatcher));
  ScanRecords(context, id);
}

auto ReadIncarnation(EventContext& context, const JobId& id) -> void {
  const auto ledger = context.dispatcher.lookups.at(id).ledger;
  CallPlatform(
      context, ReadRow{.key = IncarnationKey(ledger)},
      [id](EventContext& callback_context, PlatformOutcome& outcome) {
        const auto it = callback_context.dispatcher.lookups.find(id);
        if (it == callback_context.dispatcher.lookups.end()) {
          return;
        }
        const auto* row = std::get_if<TableRow>(&outcome.result);
        if (row == nullptr ||
            callback_context.now.boot - it->second.started > kLookupTimeout) {
          EndLookupUndecided(callback_context, id,
                             "the platform does not answer");
          return;
        }
        OnIncarnationRow(callback_context, id, *row);
      });
}

}  // namespace

auto LookUp(EventContext& context, CallerRequest request) -> void {
  const auto id = IdOf(request.call);
  const auto is_inherited = IsInheritedJob(context.dispatcher, id);
  LookUpInLedger(context,
                 is_inherited ? context.dispatcher.self : id.incarnation,
                 std::move(request));
}

auto LookUpInLedger(EventContext& context,
                    Incarnation ledger,
                    CallerRequest request,
                    LookupHistory history) -> void {
  auto& dispatcher = context.dispatcher;
  const auto id = IdOf(request.call);
  const auto found = dispatcher.lookups.find(id);
  if (found != dispatcher.lookups.end()) {
    found->second.waiting.push_back(std::move(request));
    return;
  }
  if (dispatcher.lookups.size() >= kMaxLookups) {
    ReplyUndecided(context, request.reply_to,
                   "too many lookups in the records are in progress");
    return;
  }
  ++dispatcher.counters.lookups;
  OpenLookup open;
  open.id = id;
  open.ledger = ledger;
  open.started = context.now.boot;
  open.history = std::move(history);
  open.waiting.push_back(std::move(request));
  dispatcher.lookups.emplace(id, std::move(open));
  ReadIncarnation(context, id);
}

}  // namespace boragecroft
