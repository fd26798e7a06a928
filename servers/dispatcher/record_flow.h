// Collects the records of this instance, writes them to its ledger, and applies
// the consequences of records that became durable.
#ifndef SERVERS_DISPATCHER_RECORD_FLOW_H_
#define SERVERS_DISPATCHER_RECORD_FLOW_H_

#include "servers/dispatcher/state.h"

namespace boragecroft {

// First watermark of a job, and the distance between two watermarks, in tasks.
inline constexpr uint32_t kWatermarkWindow = 256;

// Decides how the job is recorded, and adds its accepted entry to the ledger if
// it is recorded by watermark.
auto RecordAccepted(EventContext& context, Job& job) -> void;
// Requests the next watermark when dispatch approaches the last one.
auto RecordProgress(EventContext& context, Job& job, uint32_t index) -> void;
auto RecordFinal(EventContext& context, const Job& job) -> void;
// Records the refusal of an id that was marked as used.
auto RecordRefusal(EventContext& context,
                   const std::string& partner,
                   const JobId& id,
                   Refusal refusal) -> void;

// When the platform becomes suspect, allows jobs whose first entry may not be
// durable to start the tasks that this entry covers. If this instance
// terminates, the entry either exists and covers these tasks, or is missing,
// and then any task counts as one that may have run.
auto ReleaseUnrecordedJobs(EventContext& context) -> void;

// Sends the entries that are due to the table.
auto FlushLedger(EventContext& context) -> void;

// Calls the platform and passes the outcome to `continuation`.
auto CallPlatform(EventContext& context,
                  decltype(PlatformCommand::call) call,
                  PlatformContinuation continuation) -> void;

}  // namespace boragecroft

#endif  // SERVERS_DISPATCHER_RECORD_FLOW_H_
