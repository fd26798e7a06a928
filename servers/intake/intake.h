// Handles the jobs that callers submit to this instance: chooses the group of
// workers for each job, reacts to the loss of that group's holder, and decides
// the answer to the caller.
//
// The origin instance keeps a job until its end. A job that may have been
// handed to a holder is passed only to that holder's successor, which first
// makes sure that none of its tasks is still running.
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

// State of a group of workers as its holder last reported it.
struct GroupView {
  uint64_t token = 0;      // token of the current holder; 0 when none is known
  bool reachable = false;  // set when jobs can be handed to the holder
  bool ready = false;      // set when the holder has workers that answer
  bool leaving = false;    // set when the holder accepts no more jobs
  bool heartbeat_missed = false;  // set when the holder has missed a heartbeat
  GroupLoad load;
};

struct AcceptedJob {
  JobOffer offer;
  Instant arrived;
  Instant deadline;    // the caller stops waiting at this time
  std::string group;   // empty when the job has not been handed over yet
  uint64_t token = 0;  // token of the holder that has the job; 0 when the
                       // connection to it is lost
  std::set<std::string> refused_by;
  // Groups that could not start all its tasks immediately.
  std::set<std::string> full_groups;
  // Groups that gave the job back because they are evacuated. This instance may
  // not have learned of it yet.
  std::set<std::string> given_back_by;
  // Token of the last holder that the job was handed to; stays when the
  // connection to it is lost.
  uint64_t last_token = 0;
  bool sent_elsewhere = false;  // an evacuated group was passed over for it
};

// The groups that operators have evacuated. They get no jobs.
struct EvacuatedGroups {
  std::set<std::string> groups;
  bool all = false;  // set when no group of the deployment is left

  auto operator==(const EvacuatedGroups&) const -> bool = default;
};

struct Intake {
  std::string zone;  // zone of this instance; its group is preferred
  std::map<std::string, GroupView> groups;
  std::unordered_map<JobName, AcceptedJob> jobs;
  EvacuatedGroups evacuated;
};

struct HandOver {
  std::string group;
  JobOffer offer;
  // Set the first time that the job goes to another group because its own one
  // is evacuated.
  bool sent_elsewhere = false;
};
struct WithdrawJob {
  std::string group;
  JobName job;
};
struct AnswerJob {
  JobResult result;
  std::string group;  // the last one that had the job; empty when none had
  // Set with a refusal because all groups are evacuated.
  bool all_evacuated = false;
};
using IntakeCommand = std::variant<HandOver, WithdrawJob, AnswerJob>;
using IntakeCommands = std::vector<IntakeCommand>;

// Handles a new job of a caller. `offer.remaining` is the time that the caller
// waits.
auto OnJob(Intake& state, JobOffer offer, Instant now, IntakeCommands& out)
    -> void;
// Handles the loss of the caller's connection.
auto OnCallerDisconnected(Intake& state, JobName job, IntakeCommands& out)
    -> void;
// Handles that a caller cancelled the job. Returns whether it was here.
auto OnCancelledByCaller(Intake& state, JobName job, IntakeCommands& out)
    -> bool;
auto OnResult(Intake& state,
              const std::string& group,
              uint64_t token,
              const JobResult& result,
              Instant now,
              IntakeCommands& out) -> void;
// Handles a change of the group's holder, of the connection to it, or of its
// load.
auto OnGroupView(Intake& state,
                 const std::string& group,
                 const GroupView& view,
                 Instant now,
                 IntakeCommands& out) -> void;
// Handles a change of the groups that are evacuated. Jobs that wait for a
// holder are offered to the groups that are left, or refused when there is
// none. Jobs at the holder of an evacuated group stay there until it answers.
auto OnEvacuatedGroups(Intake& state,
                       EvacuatedGroups evacuated,
                       Instant now,
                       IntakeCommands& out) -> void;
// Handles that this instance is about to stop: answers all jobs.
auto OnStopping(Intake& state, IntakeCommands& out) -> void;
// Gives up the jobs that can't be answered in time any more.
auto OnTime(Intake& state, Instant now, IntakeCommands& out) -> void;
auto NextDue(const Intake& state) -> std::optional<Instant>;

}  // namespace boragecroft

#endif  // SERVERS_INTAKE_INTAKE_H_
