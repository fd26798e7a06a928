#include "servers/succession/succession.h"

#include <algorithm>
#include <utility>

namespace boragecroft {
namespace {

// Additional time for a holder that the link reports as unresponsive: it may
// only be slow, and its process has not terminated.
constexpr milliseconds kUnresponsiveGrace{150};
// Delay between the takeover attempts of consecutive successors. A conditional
// write takes two calls to the store.
constexpr milliseconds kRankDelay{250};
// Delay of an instance of the group's zone that is not a successor; such an
// instance is the last one of the zone to try.
constexpr milliseconds kNonSuccessorDelay{1500};
// Delay of instances of other zones, longer than most network partitions of a
// zone. A partitioned zone continues with its own holder, and a takeover from
// outside would fence that holder when the partition ends. Processes that
// terminated have restarted within this time.
constexpr milliseconds kOtherZoneDelay{7000};
// Instances that are not successors spread their attempts over these times.
constexpr milliseconds kInitialJitter{60};
constexpr milliseconds kJitter{500};
constexpr milliseconds kWriteRetryDelay{400};
// Time after losing a group during which an instance does not take it back, so
// that running instances do not alternate as holders within the platform's
// lease of 3 s.
constexpr milliseconds kReacquireDelay{3500};
// Minimum time between two writes of changed successors.
constexpr milliseconds kSuccessorUpdateInterval{1500};
constexpr size_t kMaxSuccessors = 5;
// Distance between the lowest tokens of two consecutive versions of the store.
// A row names one token for its holder and one for each successor.
constexpr uint64_t kTokensPerVersion = 8;
static_assert(kTokensPerVersion > kMaxSuccessors + 1);
// Number of successors that follow the table of the workers, so that they can
// take over at once. The others read it when they begin to hold a group: on
// hundreds of instances the table would use up the links of the small ones.
constexpr size_t kInformedSuccessors = 2;
// A holder yields to a successor with at least this multiple of its own
// processor share.
constexpr uint32_t kYieldRatio = 2;
// An instance with a smaller processor share leaves the first claim of a group
// to the larger ones: it waits for up to kMaxWeakDelay.
constexpr uint32_t kStrongProcessorMillis = 500;
constexpr milliseconds kMaxWeakDelay{250};

// Returns the highest token that the rows of the version `version` and of
// earlier ones may name.
auto MaxTokenOfVersion(uint64_t version) -> uint64_t {
  return version * kTokensPerVersion;
}

// Returns the lowest token that nobody may have been given.
auto NextToken(const Succession& state, const GroupTerm& term) -> uint64_t {
  auto n = MaxTokenOfVersion(state.store_version);
  if (term.holder) {
    n = std::max(n, term.holder->token);
  }
  if (term.row) {
    n = std::max({n, MaxTokenOfVersion(term.row->version), term.row->token,
                  term.row->highest_token});
    for (const auto& it : term.row->successors) {
      n = std::max(n, it.token);
    }
  }
  return n + 1;
}

// Returns the instances that can take over without the store: those of the
// group's zone. An instance of another zone could itself be on the wrong side
// of a network partition.
auto Candidates(const Succession& state, const std::string& group)
    -> std::vector<InstanceRef> {
  std::vector<InstanceRef> out;
  for (const auto& [address, it] : state.connected) {
    if (it.zone == group) {
      out.push_back(it);
    }
  }
  std::stable_sort(out.begin(), out.end(),
                   [](const InstanceRef& a, const InstanceRef& b) {
                     return a.processor_millis > b.processor_millis;
                   });
  out.resize(std::min(out.size(), kMaxSuccessors));
  return out;
}

auto MakeRow(const Succession& state,
             const std::string& group,
             const GroupTerm& term) -> GroupRow {
  auto next = NextToken(state, term);
  const auto keeps_token = term.held && !term.rival;
  GroupRow row;
  row.group = group;
  row.holder = state.self;
  row.token = keeps_token ? term.holder->token : next++;
  row.version = term.row && !term.row_deleted ? term.row->version : 0;
  for (const auto& it : Candidates(state, group)) {
    row.successors.push_back(Successor{.instance = it, .token = next++});
  }
  row.highest_token = next - 1;
  return row;
}

auto SameInstances(const std::vector<Successor>& successors,
                   const std::vector<InstanceRef>& instances) -> bool {
  return std::equal(
      successors.begin(), successors.end(), instances.begin(), instances.end(),
      [](const Successor& a, const InstanceRef& b) { return a.instance == b; });
}

// Detects that another process uses the token of the known holder. Each token
// is reported once.
auto DetectSharedToken(GroupTerm& term,
                       const std::string& group,
                       const Successor& holder,
                       Instant now,
                       SuccessionCommands& out) -> void {
  const auto& known = *term.holder;
  const auto shared = holder.token == known.token &&
                      holder.instance.incarnation != known.instance.incarnation;
  if (!shared || term.rival) {
    return;
  }
  term.rival = holder.instance;
  term.next_write = now;
  out.push_back(ReportSharedToken{
      .group = group, .known = known, .rival = holder.instance});
}

auto AdoptHolder(Succession& state,
                 GroupTerm& term,
                 const std::string& group,
                 const Successor& holder,
                 Instant now,
                 SuccessionCommands& out) -> void {
  if (term.holder && holder.token <= term.holder->token) {
    DetectSharedToken(term, group, holder, now, out);
    return;
  }
  term.rival.reset();
  const auto same = term.holder && term.holder->instance == holder.instance;
  term.holder = holder;
  const auto own = holder.instance == state.self;
  if (own) {
    term.held_since = term.held ? term.held_since : now;
    term.held = true;
    out.push_back(BeginHolding{.group = group, .token = holder.token});
    return;
  }
  if (!same) {
    // Only one process can listen at this instance's address, so a former
    // holder there has terminated. No connection would show that.
    term.status = holder.instance.address == state.self.address
                      ? HolderStatus::kTerminated
                      : HolderStatus::kUnknown;
    term.status_since = now;
  }
  if (term.held) {
    term.held = false;
    term.not_before = now + kReacquireDelay;
    out.push_back(EndHolding{group});
  }
}

// Ends the holding of a group. Until another holder becomes known, the group
// has none, so this instance may take it back later.
auto Relinquish(GroupTerm& term, Instant now) -> void {
  term.held = false;
  term.status = HolderStatus::kTerminated;
  term.status_since = now;
  term.not_before = now + kReacquireDelay;
}

// Returns the token that is reserved for this instance if it is still higher
// than the holder's.
auto ReservedToken(const Succession& state, const GroupTerm& term)
    -> std::optional<uint64_t> {
  if (!term.row) {
    return std::nullopt;
  }
  for (const auto& it : term.row->successors) {
    const auto newest = !term.holder || it.token > term.holder->token;
    if (it.instance == state.self && newest) {
      return it.token;
    }
  }
  return std::nullopt;
}

// Returns for how long this instance leaves the first claim of a group to
// instances with a larger processor share.
auto WeakDelay(const Succession& state) -> milliseconds {
  if (state.self.processor_millis == 0) {
    return milliseconds{0};
  }
  const auto share =
      std::min(state.self.processor_millis, kStrongProcessorMillis);
  return kMaxWeakDelay * (kStrongProcessorMillis - share) /
         kStrongProcessorMillis;
}

auto RankDelay(const Succession& state,
               const std::string& group,
               const GroupTerm& term) -> milliseconds {
  const auto& successors = term.row->successors;
  for (size_t i = 0; i < successors.size(); ++i) {
    if (successors[i].instance.address == state.self.address) {
      return kRankDelay * static_cast<int64_t>(i);
    }
  }
  if (term.row->holder.address == state.self.address) {
    return kRankDelay * static_cast<int64_t>(successors.size());
  }
  const auto jitter =
      milliseconds(state.jitter % static_cast<uint64_t>(kJitter.count()));
  return jitter +
         (group == state.self.zone ? kNonSuccessorDelay : kOtherZoneDelay);
}

// Returns when this instance should try to take over the group; empty when it
// should not.
auto TakeOverAt(const Succession& state,
                const std::string& group,
                const GroupTerm& term) -> std::optional<Instant> {
  if (state.leaving || term.held || !state.rows_known) {
    return std::nullopt;
  }
  if (!term.holder || !term.row) {
    const auto own_zone = group == state.self.zone;
    return state.started +
           (own_zone ? milliseconds(state.jitter % kInitialJitter.count()) +
                           WeakDelay(state)
                     : kOtherZoneDelay);
  }
  if (term.status != HolderStatus::kUnresponsive &&
      term.status != HolderStatus::kTerminated) {
    return std::nullopt;
  }
  const auto wait = term.status == HolderStatus::kUnresponsive
                        ? kUnresponsiveGrace
                        : milliseconds{0};
  return std::max(term.status_since + wait + RankDelay(state, group, term),
                  term.not_before);
}

// Returns when the holder must write its row again, because its successors have
// changed or it took over without the store.
auto RewriteAt(const Succession& state,
               const std::string& group,
               const GroupTerm& term) -> std::optional<Instant> {
  if (!term.held || state.leaving) {
    return std::nullopt;
  }
  const auto written =
      term.row && !term.row_deleted && !term.rival &&
      term.row->holder == state.self &&
      SameInstances(term.row->successors, Candidates(state, group));
  if (written) {
    return std::nullopt;
  }
  return term.next_write;
}

// Returns when the holder yields the group to its first successor; empty when
// it keeps it.
auto YieldAt(const Succession& state, const GroupTerm& term)
    -> std::optional<Instant> {
  if (!term.held || state.leaving || !term.row ||
      !(term.row->holder == state.self) || term.row->successors.empty() ||
      state.self.processor_millis == 0) {
    return std::nullopt;
  }
  const auto& first = term.row->successors.front().instance;
  const auto connected = state.connected.find(first.address);
  if (connected == state.connected.end() || !(connected->second == first) ||
      first.processor_millis < kYieldRatio * state.self.processor_millis) {
    return std::nullopt;
  }
  return term.held_since + kReacquireDelay;
}

auto WriteRow(const Succession& state,
              const std::string& group,
              GroupTerm& term,
              SuccessionCommands& out) -> void {
  term.write_in_flight = true;
  out.push_back(WriteGroupRow{MakeRow(state, group, term)});
}

}  // namespace

auto OnGroupRow(Succession& state,
                const GroupRow& row,
                Instant now,
                SuccessionCommands& out) -> void {
  auto& term = state.groups[row.group];
  if (term.row && row.version <= term.row->version) {
    return;
  }
  term.row = row;
  term.row_deleted = false;
  AdoptHolder(state, term, row.group,
              Successor{.instance = row.holder, .token = row.token}, now, out);
}

auto OnGroupRowDeleted(Succession& state,
                       const std::string& group,
                       uint64_t version) -> void {
  auto& term = state.groups[group];
  if (!term.row || version < term.row->version) {
    return;
  }
  term.row->version = version;
  term.row_deleted = true;
}

auto OnRowsRead(Succession& state, uint64_t version) -> void {
  state.rows_known = true;
  state.store_version = std::max(state.store_version, version);
}

auto OnAnnounced(Succession& state,
                 const std::string& group,
                 const Successor& holder,
                 Instant now,
                 SuccessionCommands& out) -> void {
  AdoptHolder(state, state.groups[group], group, holder, now, out);
}

auto OnHolderStatus(Succession& state,
                    const Address& holder,
                    HolderStatus status,
                    Instant now) -> void {
  for (auto& [group, term] : state.groups) {
    if (!term.holder || term.holder->instance.address != holder ||
        term.status == status) {
      continue;
    }
    // A process that has terminated does not come back; only a new holder
    // changes this status.
    if (term.status == HolderStatus::kTerminated &&
        status == HolderStatus::kUnresponsive) {
      continue;
    }
    term.status = status;
    term.status_since = now;
  }
}

auto OnSuspended(Succession& state, Instant now) -> void {
  for (auto& [group, term] : state.groups) {
    if (term.holder && term.holder->instance.address != state.self.address) {
      term.status = HolderStatus::kUnknown;
      term.status_since = now;
    }
  }
}

auto OnRowWritten(Succession& state,
                  const GroupRow& row,
                  RowWrite result,
                  uint64_t version,
                  Instant now,
                  SuccessionCommands& out) -> void {
  auto& term = state.groups[row.group];
  term.write_in_flight = false;
  if (result == RowWrite::kWritten) {
    auto written = row;
    written.version = version;
    OnGroupRow(state, written, now, out);
    term.next_write =
        now + (term.rival ? milliseconds{0} : kSuccessorUpdateInterval);
    return;
  }
  term.next_write = now + kWriteRetryDelay;
  const auto reserved = ReservedToken(state, term);
  const auto due = TakeOverAt(state, row.group, term);
  if (result == RowWrite::kUnknown && reserved && due && *due <= now) {
    AdoptHolder(state, term, row.group,
                Successor{.instance = state.self, .token = *reserved}, now,
                out);
    return;
  }
  // Without the store neither process gets a higher token. The one with the
  // lower incarnation gives the group up.
  const auto gives_way =
      term.held && term.rival &&
      state.self.incarnation.value < term.rival->incarnation.value;
  if (result == RowWrite::kUnknown && gives_way) {
    Relinquish(term, now);
    out.push_back(EndHolding{row.group});
  }
}

auto OnReleased(Succession& state, const std::string& group, Instant now)
    -> void {
  Relinquish(state.groups[group], now);
}

auto NeedsWorkers(const Succession& state) -> bool {
  return std::any_of(
      state.groups.begin(), state.groups.end(), [&](const auto& it) {
        const auto& term = it.second;
        if (term.held) {
          return true;
        }
        const auto& successors =
            term.row ? term.row->successors : std::vector<Successor>();
        const auto n = std::min(successors.size(), kInformedSuccessors);
        return std::any_of(successors.begin(),
                           successors.begin() + static_cast<ptrdiff_t>(n),
                           [&](const Successor& successor) {
                             return successor.instance == state.self;
                           });
      });
}

auto OnFenced(Succession& state,
              const std::string& group,
              Instant now,
              SuccessionCommands& out) -> void {
  auto& term = state.groups[group];
  if (!term.held) {
    return;
  }
  Relinquish(term, now);
  out.push_back(EndHolding{group});
}

auto OnTime(Succession& state, Instant now, SuccessionCommands& out) -> void {
  for (auto& [group, term] : state.groups) {
    if (term.write_in_flight) {
      continue;
    }
    const auto take = TakeOverAt(state, group, term);
    const auto rewrite = RewriteAt(state, group, term);
    const auto take_due = take && *take <= now && term.next_write <= now;
    if (take_due || (rewrite && *rewrite <= now)) {
      WriteRow(state, group, term, out);
      continue;
    }
    const auto yield = YieldAt(state, term);
    if (yield && *yield <= now) {
      out.push_back(YieldGroup{group});
    }
  }
}

auto NextDue(const Succession& state) -> std::optional<Instant> {
  std::optional<Instant> next;
  for (const auto& [group, term] : state.groups) {
    if (term.write_in_flight) {
      continue;
    }
    const auto take = TakeOverAt(state, group, term);
    const auto rewrite = RewriteAt(state, group, term);
    for (const auto& it : {take, rewrite}) {
      if (it) {
        const auto at = std::max(*it, term.next_write);
        next = next ? std::min(*next, at) : at;
      }
    }
  }
  return next;
}

}  // namespace boragecroft
