// Whether this instance takes a submission, from what it knows of queue, fleet
// and run times.
#ifndef SERVERS_DISPATCHER_ADMITTING_H_
#define SERVERS_DISPATCHER_ADMITTING_H_

#include <optional>
#include <string>

#include "servers/dispatcher/state.h"

namespace boragecroft {

struct SubmissionDecision {
  std::optional<Refusal> refusal;  // empty: accepted
  std::string reason;
  milliseconds retry_after{};
  uint32_t class_index = 0;
};

// The slots of a service that this instance may fill at the same time.
auto AllottedSlots(const Fleet& fleet, const std::string& service) -> uint32_t;

auto AdmitSubmission(EventContext& context, const Submission& submission)
    -> SubmissionDecision;

// Keeps the refusal of an id in memory, so that the id gets the same answer
// again.
auto CacheRefusal(EventContext& context,
                  const JobId& id,
                  const std::string& partner,
                  Refusal refusal) -> void;
// Drops refusals that were kept for long enough.
auto DropExpiredRefusals(EventContext& context) -> void;

}  // namespace boragecroft

#endif  // SERVERS_DISPATCHER_ADMITTING_H_
