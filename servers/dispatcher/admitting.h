// Decides whether this instance accepts a submission, based on its queue, its
// fleet and its run-time estimates.
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

// Returns the number of slots of a service that this instance may fill at the
// same time.
auto AllottedSlots(const Fleet& fleet, const std::string& service) -> uint32_t;

auto AdmitSubmission(EventContext& context, const Submission& submission)
    -> SubmissionDecision;

// Keeps the refusal of an id in memory, so that later requests for the id get
// the same answer.
auto CacheRefusal(EventContext& context,
                  const JobId& id,
                  const std::string& partner,
                  Refusal refusal) -> void;
// Drops refusals from memory whose retention period is over.
auto DropExpiredRefusals(EventContext& context) -> void;

}  // namespace boragecroft

#endif  // SERVERS_DISPATCHER_ADMITTING_H_
