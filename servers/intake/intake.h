// What an instance does with the jobs that callers send it: to which group of
// workers each goes, what happens when that group's holder is lost, and what
// the caller is told.
//
// The instance that took a job keeps it until its end. A job that may have been
// handed to a holder goes on to that holder's successor only, which first makes
// sure that nothing of it still runs.
#ifndef SERVERS_INTAKE_INTAKE_H_
#define SERVERS_INTAKE_INTAKE_H_

#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <variant>
#include <vector>

#include "servers/scheduling/job.h"
#include "servers/scheduling/scheduler.h"

namespace boragecroft {

// A group of workers as its holder last described it.
struct GroupView {
  uint64_t token = 0;             // of the present holder; 0: none is known
  bool reachable = false;         // jobs can be handed to the holder
  bool ready = false;             // the holder has workers that answer
  bool leaving = false;           // the holder takes no more jobs
  bool heartbeat_missed = false;  // the holder missed a heartbeat
  GroupLoad load;
};

struct AcceptedJob {
  JobOffer offer;
  Instant arrived;
  Instant deadline;    // the caller stops waiting
  std::string group;   // empty: not handed over yet
  uint64_t token = 0;  // of the holder that has it
  std::set<std::string> refused_by;
  // Groups that had no room for all its tasks at once.
  std::set<std::string> full_groups;
};

struct Intake {
  std::string zone;  // of this instance; its group is preferred
  std::map<std::string, GroupView> groups;
  std::unordered_map<JobName, AcceptedJob> jobs;
};

struct HandOver {
  std::string group;
  JobOffer offer;
};
struct WithdrawJob {
  std::string group;
  JobName job;
};
struct AnswerJob {
  JobResult result;
  std::string group;  // that had the job last; empty: none
};
using IntakeCommand = std::variant<HandOver, WithdrawJob, AnswerJob>;
using IntakeCommands = std::vector<IntakeCommand>;

// A caller sent a job that is not known here. `offer.remaining` is how long the
// caller waits.
auto OnJob(Intake& state, JobOffer offer, Instant now, IntakeCommands& out)
    -> void;
// The caller's connection is gone.
auto OnCallerDisconnected(Intake& state, JobName job, IntakeCommands& out)
    -> void;
auto OnResult(Intake& state,
              const std::string& group,
              uint64_t token,
              const JobResult& result,
              Instant now,
              IntakeCommands& out) -> void;
// The group's holder, its connection or its load changed.
auto OnGroupView(Intake& state,
                 const std::string& group,
                 const GroupView& view,
                 Instant now,
                 IntakeCommands& out) -> void;
// Gives up what nobody can answer in time any more.
auto OnTime(Intake& state, Instant now, IntakeCommands& out) -> void;
auto NextDue(const Intake& state) -> std::optional<Instant>;

}  // namespace boragecroft

#endif  // SERVERS_INTAKE_INTAKE_H_
