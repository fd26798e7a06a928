// Keeps the ledger of this instance moving: what is to be recorded, and what
// became durable.
#ifndef SERVERS_DISPATCHER_RECORD_FLOW_H_
#define SERVERS_DISPATCHER_RECORD_FLOW_H_

#include "servers/dispatcher/state.h"

namespace boragecroft {

// The first watermark of a job and the distance between two.
inline constexpr uint32_t kWatermarkWindow = 256;

// Decides how the job is recorded and collects its accepted entry when it is by
// watermark.
auto RecordAccepted(EventContext& context, Job& job) -> void;
// Asks for the next watermark when dispatch comes near the last one.
auto RecordProgress(EventContext& context, Job& job, uint32_t index) -> void;
auto RecordFinal(EventContext& context, const Job& job) -> void;
// Records the refusal of an id that was marked as used.
auto RecordRefusal(EventContext& context,
                   const std::string& partner,
                   const JobId& id,
                   Refusal refusal) -> void;

// Once the platform is suspect, lets jobs start whose first entry may not be
// durable, as far as that entry says. After a death the entry either is there
// and covers them, or is not there and any task may have run.
auto ReleaseUnrecordedJobs(EventContext& context) -> void;

// Sends what is due to the table.
auto FlushLedger(EventContext& context) -> void;

// Calls the platform; `then` gets the outcome.
auto CallPlatform(EventContext& context,
                  decltype(PlatformCommand::call) call,
                  PlatformContinuation continuation) -> void;

}  // namespace boragecroft

#endif  // SERVERS_DISPATCHER_RECORD_FLOW_H_
