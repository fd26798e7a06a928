// Defines the types that all modules share: submissions, tasks and their final
// states.
#ifndef SERVERS_MODEL_SUBMISSION_H_
#define SERVERS_MODEL_SUBMISSION_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "core/base/clock.h"
#include "core/base/ids.h"

namespace boragecroft {

// The resources that one task occupies on a worker in addition to its slot.
struct Needs {
  uint32_t cpu_millis = 0;  // thousandths of a core
  uint32_t memory_mb = 0;
  uint32_t accelerators = 0;

  auto operator==(const Needs&) const -> bool = default;
};

// A job as its caller submitted it.
struct Submission {
  int schema_version = 2;
  JobId id;
  std::string partner;
  // The team whose quota the tasks count against; from the partner's
  // declaration.
  std::string team;
  std::string service;  // selects the endpoints that can run the tasks
  // Kind of work within the service; run times are estimated per kind.
  std::string kind;
  std::string urgency_class;  // name of a declared class
  milliseconds deadline{};  // from the acceptance of the job to the last answer
  // Declared run time of one task; 0 when not declared.
  milliseconds run_time_hint{};
  // True when a task may be started again although an earlier attempt may have
  // run.
  bool repeatable = false;
  Needs needs;
  // One for each task; JSON text that is passed to the endpoint unchanged.
  std::vector<std::string> payloads;
};

// The progress of one task.
enum class TaskState : uint8_t {
  kQueued,      // not sent to any endpoint
  kStarted,     // passed to the network, no answer yet
  kDone,        // the endpoint answered with a result
  kFailed,      // the endpoint answered that the task ran and failed
  kNotRun,      // final: no endpoint ever started it
  kMayHaveRun,  // final: sent, but no answer shows whether it ran
};

auto ToString(TaskState state) -> std::string_view;
auto ParseTaskState(std::string_view text) -> std::optional<TaskState>;
// Reports whether the state is one of the four that never change again.
auto IsFinal(TaskState state) -> bool;

// The state of a submission. Done, failed and refused are final.
enum class JobState : uint8_t { kActive, kDone, kFailed, kRefused };

auto ToString(JobState state) -> std::string_view;
auto ParseJobState(std::string_view text) -> std::optional<JobState>;

// The reason why a submission was refused. Nothing of a refused submission ran.
enum class Refusal : uint8_t {
  kInvalid,         // the request violates the interface
  kUnknownPartner,  // no such partner, service or class is declared
  kWrongPartner,    // the id was minted for another partner
  kIdExpired,       // the id's term passed while it was unused
  kIdNotMinted,     // the id was never minted
  kCanNeverRun,     // no worker can ever have the capacity for one of its tasks
  kDeadline,        // the wait in the queue would exceed the deadline
  kQueueFull,       // too many tasks are waiting
  kQuota,           // the team's quota is used up
  kDraining,        // this instance is stopping
  kOverloaded,      // this instance can't accept more requests at the moment
  kNotReady,        // no configuration is in force yet
  // The id belongs to a different job, about which this says nothing.
  kIdReused,
};

auto ToString(Refusal refusal) -> std::string_view;
auto ParseRefusal(std::string_view text) -> std::optional<Refusal>;

}  // namespace boragecroft

#endif  // SERVERS_MODEL_SUBMISSION_H_
