#include "main/entry/store_flow.h"

#include <utility>

#include "core/log/log.h"
#include "main/entry/entry_instance.h"
#include "main/entry/group_flow.h"
#include "main/entry/succession_flow.h"
#include "platform/configuration.h"
#include "platform/group_rows.h"
#include "platform/tables.h"

namespace boragecroft {
namespace {

// Pause between two reads of the workers' feed. Workers report every 1.5 s, and
// a draining worker has to be known within 2 s.
constexpr milliseconds kWorkerFeedPause{500};
constexpr milliseconds kNoFeedPause{0};

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
  const auto group = platform::DecodeGroupRow(row);
  if (!group) {
    LogUnreadable(row, row.deleted ? "row deleted" : "not a valid group row");
    return;
  }
  SuccessionCommands commands;
  OnGroupRow(state.succession, *group, BootClock::now(), commands);
  RunSuccessionCommands(state, commands);
  if (group->holder.address != state.self.address) {
    state.link->Connect(group->holder.address);
  }
}

auto Follow(EntryState& state,
            const std::string& table,
            milliseconds pause,
            void (*on_row)(EntryState&, const platform::StoreRow&),
            std::function<void()> on_complete)
    -> std::shared_ptr<platform::TableFollower> {
  platform::TableCallbacks callbacks;
  callbacks.on_row = [&state, on_row](const platform::StoreRow& row) {
    on_row(state, row);
    ArmDueTimer(state);
  };
  callbacks.on_complete = std::move(on_complete);
  callbacks.on_availability_changed = [](bool /*available*/) {};
  auto follower = std::make_shared<platform::TableFollower>(
      state.context, *state.store, table, pause, std::move(callbacks));
  follower->Start();
  return follower;
}

auto AddRows(SnapshotTransfer& out,
             const std::string& table,
             const platform::TableFollower& follower) -> void {
  for (auto& it : follower.Rows()) {
    out.rows.push_back(SnapshotRow{.table = table,
                                   .part = "",
                                   .key = it.key,
                                   .value = it.value.value_or(""),
                                   .version = it.version});
  }
}

}  // namespace

auto FollowStore(EntryState& state) -> void {
  state.store = std::make_unique<platform::StoreClient>(state.context,
                                                        state.settings.store);
  state.operator_rows = Follow(state, platform::kOperatorTable, kNoFeedPause,
                               OnOperatorRow, [] {});
  state.worker_rows = Follow(state, platform::kWorkerTable, kWorkerFeedPause,
                             OnWorkerRow, [] {});
  state.group_rows = Follow(state, platform::kGroupTable, kNoFeedPause,
                            OnGroupTableRow, [&state] {
                              state.succession.rows_known = true;
                              ArmDueTimer(state);
                            });
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
  Log(LogLevel::kInfo, "configuration_in_force", {{"version", version}});
}

auto MakeSnapshot(const EntryState& state) -> SnapshotTransfer {
  SnapshotTransfer out;
  AddRows(out, platform::kOperatorTable, *state.operator_rows);
  AddRows(out, platform::kWorkerTable, *state.worker_rows);
  AddRows(out, platform::kGroupTable, *state.group_rows);
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
    if (it.table == platform::kOperatorTable) {
      state.operator_rows->ApplyIfNewer(row);
    } else if (it.table == platform::kWorkerTable) {
      state.worker_rows->ApplyIfNewer(row);
    } else if (it.table == platform::kGroupTable) {
      state.group_rows->ApplyIfNewer(row);
    }
  }
  state.succession.rows_known = true;
}

}  // namespace boragecroft
