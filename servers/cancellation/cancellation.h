// Handles that callers cancel jobs. A caller may ask any instance, which may
// know neither the job's origin nor its holder, so the request goes to all
// holders of groups. Each of them remembers the job's name, so that the job is
// not started when it is handed over later, and confirms the request.
#ifndef SERVERS_CANCELLATION_CANCELLATION_H_
#define SERVERS_CANCELLATION_CANCELLATION_H_

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <utility>
#include <variant>
#include <vector>

#include "core/base/clock.h"
#include "servers/scheduling/job.h"

namespace boragecroft {

// Connection to the holder of one or more groups.
using HolderId = uint64_t;

// Number of a cancel request of this instance.
using CancelNumber = uint64_t;

enum class CancelOutcome : uint8_t {
  kCancelled,    // the job was found; no more of its tasks are started
  kNotFound,     // all holders confirmed that they do not have the job
  kUnconfirmed,  // a holder could not be asked or did not confirm in time
};

struct PendingCancel {
  std::set<HolderId> awaited;
  bool found = false;
  bool unconfirmed = false;
  Instant due;
};

struct Cancellations {
  // Names of cancelled jobs, each until when it is remembered.
  std::unordered_map<JobName, Instant> remembered;
  std::deque<std::pair<Instant, JobName>> expiries;  // in ascending order
  CancelNumber last_number = 0;
  std::map<CancelNumber, PendingCancel> pending;
};

struct AskHolder {
  HolderId holder = 0;
  CancelNumber number = 0;
  JobName job;
};
struct AnswerCancel {
  CancelNumber number = 0;
  CancelOutcome outcome = CancelOutcome::kUnconfirmed;
};
using CancelCommand = std::variant<AskHolder, AnswerCancel>;
using CancelCommands = std::vector<CancelCommand>;

// Remembers that the job was cancelled. When too many are remembered, the
// oldest is forgotten.
auto RememberCancelled(Cancellations& state, JobName job, Instant now) -> void;
auto IsCancelled(const Cancellations& state, JobName job, Instant now) -> bool;

// Handles a caller's request and returns its number. `found` tells whether this
// instance has the job, `holders` are the other holders, and `complete` tells
// whether every group has a holder that can be asked.
auto OnCancelRequested(Cancellations& state,
                       JobName job,
                       bool found,
                       const std::vector<HolderId>& holders,
                       bool complete,
                       Instant now,
                       CancelCommands& out) -> CancelNumber;
auto OnCancelConfirmed(Cancellations& state,
                       HolderId holder,
                       CancelNumber number,
                       bool found,
                       CancelCommands& out) -> void;
auto OnHolderLost(Cancellations& state, HolderId holder, CancelCommands& out)
    -> void;
auto OnTime(Cancellations& state, Instant now, CancelCommands& out) -> void;
auto NextDue(const Cancellations& state) -> std::optional<Instant>;

}  // namespace boragecroft

#endif  // SERVERS_CANCELLATION_CANCELLATION_H_
