#include "main/entry/store_flow.h"

#include <utility>

#include "core/log/log.h"
#include "main/entry/entry_instance.h"
#include "main/entry/evacuation_flow.h"
#include "main/entry/group_flow.h"
#include "main/entry/succession_flow.h"
#include "main/entry/suspension.h"
#include "platform/configuration.h"
#include "platform/evacuation_rows.h"
#include "platform/group_rows.h"
#include "platform/tables.h"

namespace boragecroft {
namespace {

// Pause between two reads of the workers' feed. Workers report every 1.5 s, and
// a draining worker has to be known within 2 s.
constexpr milliseconds kWorkerFeedPause{500};
constexpr milliseconds kNoFeedPause{0};
// Time for which an instance that needs the workers no more still follows them:
// longer than a change of holders and of their successors takes.
constexpr milliseconds kWorkersKept{10000};

auto LogUnreadable(const platform::StoreRow& row, const std::string& reason)
    -> void {
  Log(LogLevel::kWarning, "row_unreadable",
      {{"table", row.table},
       {"key", row.key},
       {"version", row.version},
       {"reason", reason}});
}

auto DescribeFirstError(const std::vector<FieldError>& errors) -> std::string {
  return errors.empty() ? "" : ToString(errors.front());
}

auto OnOperatorRow(EntryState& state, const platform::StoreRow& row) -> void {
  if (const auto evacuation = platform::DecodeEvacuation(row)) {
    OnEvacuationRow(state, row, *evacuation, EvacuationSource::kStore);
    return;
  }
  if (row.key != platform::kConfigurationKey || row.deleted) {
    return;
  }
  if (!row.value) {
    LogUnreadable(row, "value is not valid base64");
    return;
  }
  AdoptConfiguration(state, *row.value);
}

auto OnWorkerRow(EntryState& state, const platform::StoreRow& row) -> void {
  if (row.deleted) {
    OnWorkerReportRemoved(state, row.key);
    return;
  }
  if (!row.value) {
    LogUnreadable(row, "value is not valid base64");
    OnWorkerReportRemoved(state, row.key);
    return;
  }
  const auto entry = platform::DecodeWorker(row.key, *row.value);
  if (entry.has_error()) {
    // The entry names no worker to use, also if an earlier one did.
    LogUnreadable(row, DescribeFirstError(entry.error()));
    OnWorkerReportRemoved(state, row.key);
    return;
  }
  OnWorkerReport(state, entry.value());
}

auto OnGroupTableRow(EntryState& state, const platform::StoreRow& row) -> void {
  if (row.deleted) {
    Log(LogLevel::kWarning, "group_row_deleted",
        {{"group", row.key}, {"version", row.version}});
    OnGroupRowDeleted(state.succession, row.key, row.version);
    return;
  }
  const auto group = platform::DecodeGroupRow(row);
  if (!group) {
    LogUnreadable(row, "not a valid group row");
    return;
  }
  SuccessionCommands commands;
  OnGroupRow(state.succession, *group, BootClock::now(), commands);
  RunSuccessionCommands(state, commands);
  if (group->holder.address != state.self.address) {
    state.link->Connect(group->holder.address);
  }
}

auto MakeFollower(EntryState& state,
                  const std::string& table,
                  milliseconds pause,
                  void (*on_row)(EntryState&, const platform::StoreRow&),
                  std::function<void(uint64_t version)> on_complete,
                  std::function<void(Instant known_until)> on_current)
    -> std::shared_ptr<platform::TableFollower> {
  platform::TableCallbacks callbacks;
  callbacks.on_row = [&state, on_row](const platform::StoreRow& row) {
    HandleSuspension(state, BootClock::now());
    on_row(state, row);
    ArmDueTimer(state);
  };
  callbacks.on_complete = std::move(on_complete);
  callbacks.on_current = std::move(on_current);
  callbacks.on_availability_changed = [](bool /*available*/) {};
  return std::make_shared<platform::TableFollower>(
      state.context, *state.store, table, pause, std::move(callbacks));
}

auto ToSnapshotRow(const platform::StoreRow& row) -> SnapshotRow {
  return SnapshotRow{.table = row.table,
                     .part = "",
                     .key = row.key,
                     .value = row.value.value_or(""),
                     .version = row.version};
}

// Adds the known evacuations. The records are newer than the rows when a peer
// reported a change that the store has not.
auto AddEvacuations(SnapshotTransfer& out, const Evacuations& evacuations)
    -> void {
  for (const auto& it : ListEvacuations(evacuations)) {
    if (it.active) {
      out.rows.push_back(ToSnapshotRow(platform::EncodeEvacuation(it)));
    }
  }
}

}  // namespace

auto FollowStore(EntryState& state) -> void {
  state.store = std::make_unique<platform::StoreClient>(state.context,
                                                        state.settings.store);
  const auto ignore_version = [](uint64_t /*version*/) {};
  const auto ignore_time = [](Instant /*known_until*/) {};
  state.operator_rows = MakeFollower(
      state, platform::kOperatorTable, kNoFeedPause, OnOperatorRow,
      [&state](uint64_t version) {
        OnOperatorRowsRead(state, version);
        ArmDueTimer(state);
      },
      ignore_time);
  state.worker_rows = MakeFollower(
      state, platform::kWorkerTable, kWorkerFeedPause, OnWorkerRow,
      ignore_version,
      [&state](Instant known_until) { OnWorkersRead(state, known_until); });
  state.group_rows = MakeFollower(
      state, platform::kGroupTable, kNoFeedPause, OnGroupTableRow,
      [&state](uint64_t version) {
        OnRowsRead(state.succession, version);
        ArmDueTimer(state);
      },
      ignore_time);
  state.operator_rows->Start();
  state.group_rows->Start();
}

auto FollowWorkersIfNeeded(EntryState& state, Instant now) -> void {
  if (NeedsWorkers(state.succession)) {
    state.workers_needed_at = now;
    if (!state.follows_workers) {
      state.follows_workers = true;
      state.worker_rows->Start();
    }
    return;
  }
  if (!state.follows_workers || now - state.workers_needed_at < kWorkersKept) {
    return;
  }
  state.follows_workers = false;
  state.worker_rows->Stop();
  // What is not followed any more may soon be wrong, so it must not be used at
  // a later takeover.
  state.directory.clear();
  state.departed_at.clear();
  state.group_changed_at.clear();
}

auto ReadWorkersNow(EntryState& state) -> void {
  if (state.follows_workers) {
    state.worker_rows->Refresh();
  }
}

auto AdoptConfiguration(EntryState& state, const std::string& document)
    -> void {
  auto routes = platform::DecodeConfiguration(document);
  if (routes.has_error()) {
    Log(LogLevel::kError, "configuration_unreadable",
        {{"reason", DescribeFirstError(routes.error())}});
    return;
  }
  const auto version = routes.value().version;
  if (!AdoptRoutes(state.routes, std::move(routes).value())) {
    return;
  }
  state.routes_document = document;
  ApplyRequestLimits(state);
  OnRoutesAdopted(state.routes_refresh);
  Log(LogLevel::kInfo, "configuration_in_force", {{"version", version}});
}

auto MakeSnapshot(const EntryState& state) -> SnapshotTransfer {
  SnapshotTransfer out;
  for (const auto& it : state.operator_rows->Rows()) {
    if (!platform::DecodeEvacuation(it)) {
      out.rows.push_back(ToSnapshotRow(it));
    }
  }
  AddEvacuations(out, state.evacuations);
  for (const auto& it : state.group_rows->Rows()) {
    out.rows.push_back(ToSnapshotRow(it));
  }
  return out;
}

auto ApplySnapshot(EntryState& state, const SnapshotTransfer& snapshot)
    -> void {
  if (state.succession.rows_known) {
    return;
  }
  Log(LogLevel::kInfo, "snapshot_of_peer", {{"rows", snapshot.rows.size()}});
  for (const auto& it : snapshot.rows) {
    const platform::StoreRow row{.table = it.table,
                                 .part = it.part,
                                 .key = it.key,
                                 .value = it.value,
                                 .version = it.version};
    const auto evacuation = platform::DecodeEvacuation(row);
    if (it.table == platform::kOperatorTable && evacuation) {
      // Not through the follower, which holds only what the store reported.
      OnEvacuationRow(state, row, *evacuation, EvacuationSource::kSnapshot);
    } else if (it.table == platform::kOperatorTable) {
      state.operator_rows->ApplyFromPeer(row);
    } else if (it.table == platform::kGroupTable) {
      state.group_rows->ApplyFromPeer(row);
    }
  }
  state.succession.rows_known = true;
}

}  // namespace boragecroft
