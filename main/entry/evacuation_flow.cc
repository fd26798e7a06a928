#include "main/entry/evacuation_flow.h"

#include <algorithm>
#include <set>
#include <utility>

#include "core/log/log.h"
#include "main/entry/group_flow.h"
#include "main/entry/job_flow.h"
#include "platform/tables.h"

namespace boragecroft {
namespace {

auto LogIgnored(const std::string& key, const char* reason) -> void {
  Log(LogLevel::kWarning, "evacuation_ignored",
      {{"key", key}, {"reason", reason}});
}

auto LogGroup(const char* event,
              const std::string& group,
              const Scheduler& scheduler) -> void {
  Log(LogLevel::kInfo, event,
      {{"group", group},
       {"jobs_given_back", scheduler.jobs_given_back},
       {"runs_in_progress", CountRuns(scheduler)}});
}

auto ApplyToHeldGroup(EntryState& state, const std::string& group) -> void {
  const auto it = state.schedulers.find(group);
  if (it == state.schedulers.end()) {
    return;
  }
  auto& scheduler = it->second;
  const auto now = BootClock::now();
  SchedulerCommands commands;
  if (IsEvacuated(state.evacuations, group)) {
    OnEvacuated(scheduler, now, commands);
    LogGroup("group_evacuated", group, scheduler);
  } else {
    LogGroup("group_resumed", group, scheduler);
    OnEvacuationEnded(scheduler, now, commands);
  }
  RunSchedulerCommands(state, group, commands);
}

}  // namespace

auto OnEvacuationRecord(EntryState& state,
                        const Evacuation& record,
                        EvacuationSource source) -> void {
  const auto before = IsEvacuated(state.evacuations, record.zone);
  if (!AdoptEvacuation(state.evacuations, record, source) ||
      record.active == before) {
    return;
  }
  if (!state.succession.groups.contains(record.zone)) {
    // The record stays: it applies if a group of this zone becomes known.
    if (record.active) {
      LogIgnored(platform::EncodeEvacuation(record).key, "unknown zone");
    }
  } else {
    Log(LogLevel::kInfo,
        record.active ? "zone_evacuated" : "zone_evacuation_ended",
        {{"zone", record.zone},
         {"version", record.version},
         {"source", SourceName(source)}});
  }
  if (!record.active) {
    state.evacuation_ended_at[record.zone] = BootClock::now();
  }
  // Before the held group: jobs that it gives back must not return to it.
  RefreshEvacuatedGroups(state);
  ApplyToHeldGroup(state, record.zone);
}

auto OnEvacuationRow(EntryState& state,
                     const platform::StoreRow& row,
                     const platform::EvacuationRow& decoded,
                     EvacuationSource source) -> void {
  if (decoded.evacuation.zone.empty()) {
    LogIgnored(row.key, "no zone in the key");
    return;
  }
  if (!decoded.value_readable) {
    Log(LogLevel::kWarning, "row_unreadable",
        {{"table", row.table},
         {"key", row.key},
         {"version", row.version},
         {"reason", "not a JSON object; the zone is evacuated"}});
  }
  OnEvacuationRecord(state, decoded.evacuation, source);
}

auto OnOperatorRowsRead(EntryState& state, uint64_t version) -> void {
  std::set<std::string> listed;
  for (const auto& row : state.operator_rows->Rows()) {
    if (const auto decoded = platform::DecodeEvacuation(row)) {
      listed.insert(decoded->evacuation.zone);
    }
  }
  for (const auto& it :
       UnlistedEvacuations(state.evacuations, listed, version)) {
    OnEvacuationRecord(state, it, EvacuationSource::kStore);
  }
}

auto ApplyEvacuationToTerm(EntryState& state,
                           const std::string& group,
                           SchedulerCommands& out) -> void {
  auto& scheduler = state.schedulers[group];
  scheduler.started_job_grace =
      GraceForStartedJobs(state.settings.evacuation_bound);
  if (!IsEvacuated(state.evacuations, group)) {
    return;
  }
  OnEvacuated(scheduler, BootClock::now(), out);
  LogGroup("group_evacuated", group, scheduler);
}

auto RefreshEvacuatedGroups(EntryState& state) -> void {
  EvacuatedGroups evacuated;
  evacuated.groups = EvacuatedZones(state.evacuations);
  const auto& known = state.succession.groups;
  evacuated.all = !known.empty() &&
                  std::all_of(known.begin(), known.end(), [&](const auto& it) {
                    return evacuated.groups.contains(it.first);
                  });
  IntakeCommands commands;
  OnEvacuatedGroups(state.intake, std::move(evacuated), BootClock::now(),
                    commands);
  RunIntakeCommands(state, commands);
}

}  // namespace boragecroft
