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
auto RecordAccepted(Step& step, Job& job) -> void;
// Asks for the next watermark when dispatch comes near the last one.
auto RecordProgress(Step& step, Job& job, uint32_t index) -> void;
auto RecordFinal(Step& step, const Job& job) -> void;
// Records the refusal of an id that was marked as used.
auto RecordRefusal(Step& step,
                   const std::string& partner,
                   const JobId& id,
                   Refusal refusal) -> void;

// Once the platform is suspect, lets jobs start whose first entry may not be
// durable, as far as that entry says. After a death the entry either is there
// and covers them, or is not there and any task may have run.
auto ReleaseUnrecordedJobs(Step& step) -> void;

// Sends what is due to the table.
auto PumpLedger(Step& step) -> void;

// Calls the platform; `then` gets the outcome.
auto CallPlatform(Step& step,
                  decltype(PlatformCommand::call) call,
                  PlatformContinuation then) -> void;

}  // namespace boragecroft

#endif  // SERVERS_DISPATCHER_RECORD_FLOW_H_
