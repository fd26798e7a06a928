// Handles that callers cancel jobs. A caller may ask any instance, which may
// know neither the job's origin nor its holder, so the request goes to all
// holders of groups. Each of them remembers the job's name, so that the job is
// not started when it is handed over later, and confirms the request. A holder
// that has the job confirms only after the job's origin: until that one knows
// of the request, it may hand the job to another holder.
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

// Connection to an instance that is asked: the holder of one or more groups, or
// the origin of a job.
using HolderId = uint64_t;

// Number of a cancel request of this instance.
using CancelNumber = uint64_t;

enum class CancelOutcome : uint8_t {
  kCancelled,    // the job was found; no more of its tasks are started
  kNotFound,     // all holders confirmed that they do not have the job
  kUnconfirmed,  // a holder, or the origin of a job that was found, could not
                 // be asked or did not confirm in time
};

struct PendingCancel {
  JobName job;
  std::set<HolderId> awaited;
  std::set<HolderId> origins;  // of these, the job's origins
  bool found = false;
  bool unconfirmed = false;         // by a holder
  bool origin_unconfirmed = false;  // the job may be handed over again
  Instant due;
};

// Where a job may be, as the instance that is asked to cancel it knows.
struct CancelTargets {
  bool found = false;  // this instance had the job
  // Other instances that had handed it to this one.
  std::set<HolderId> origins;
  std::set<HolderId> holders;  // other holders
  bool complete = true;        // every group has a holder that can be asked
};

struct RememberedCancel {
  Instant until;
  // Set when a holder here has ended the job while its origin, which may hand
  // it over again, has not confirmed. Later requests can't be answered until
  // the job is found elsewhere.
  bool origin_unconfirmed = false;
};

struct Cancellations {
  std::unordered_map<JobName, RememberedCancel> remembered;
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

// Handles a request of a caller, or of another instance, and returns its
// number.
auto OnCancelRequested(Cancellations& state,
                       JobName job,
                       const CancelTargets& targets,
                       Instant now,
                       CancelCommands& out) -> CancelNumber;
auto OnCancelConfirmed(Cancellations& state,
                       HolderId holder,
                       CancelNumber number,
                       bool found,
                       CancelCommands& out) -> void;
// Handles that the connection to an instance that may have been asked ended.
auto OnHolderLost(Cancellations& state, HolderId holder, CancelCommands& out)
    -> void;
auto OnTime(Cancellations& state, Instant now, CancelCommands& out) -> void;
auto NextDue(const Cancellations& state) -> std::optional<Instant>;

}  // namespace boragecroft

#endif  // SERVERS_CANCELLATION_CANCELLATION_H_
