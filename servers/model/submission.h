// The vocabulary that all decisions share: submissions, tasks and how they end.
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

// What one task occupies on a worker beside its slot.
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
  std::string team;  // whose quota the tasks count against; from the partner's
                     // declaration
  std::string service;  // which endpoints can run the tasks
  std::string
      kind;  // kind of work within the service; run times are learned per kind
  std::string urgency_class;  // name of a declared class
  milliseconds deadline{};    // from acceptance to the last answer
  milliseconds
      run_time_hint{};  // declared run time of one task; 0 when not declared
  bool repeatable =
      false;  // tasks may be started again when an attempt may have run
  Needs needs;
  std::vector<std::string>
      payloads;  // one task each, JSON text passed to the endpoint as it stands
};

// How far one task got.
enum class TaskState : uint8_t {
  kQueued,      // nothing was sent to any endpoint
  kStarted,     // handed to the network; no answer yet
  kDone,        // the endpoint answered with a result
  kFailed,      // the endpoint answered that it ran and failed
  kNotRun,      // final: no endpoint ever started it
  kMayHaveRun,  // final: sent, and no answer says whether it ran
};

auto ToString(TaskState state) -> std::string_view;
auto ParseTaskState(std::string_view text) -> std::optional<TaskState>;
// True for the four states that never change again.
auto IsFinal(TaskState state) -> bool;

// How a submission stands. Done, failed and refused are final.
enum class JobState : uint8_t { kActive, kDone, kFailed, kRefused };

auto ToString(JobState state) -> std::string_view;
auto ParseJobState(std::string_view text) -> std::optional<JobState>;

// Why a submission was refused. Nothing of a refused submission ran.
enum class Refusal : uint8_t {
  kInvalid,         // the request breaks the interface
  kUnknownPartner,  // no such partner, service or class is declared
  kWrongPartner,    // the id was minted for another partner
  kIdExpired,       // the id outlived its term unused
  kIdNotMinted,     // the id was never minted
  kCanNeverRun,     // no worker could ever hold one of its tasks
  kDeadline,        // the queue ahead is longer than the deadline allows
  kQueueFull,       // too many tasks wait
  kQuota,           // the team's quota is used up
  kDraining,        // this instance is stopping
  kOverloaded,      // this instance cannot take more requests at the moment
  kNotReady,        // no configuration is in force yet
  kIdReused,        // the id's job is another one; says nothing of that job
};

auto ToString(Refusal refusal) -> std::string_view;
auto ParseRefusal(std::string_view text) -> std::optional<Refusal>;

}  // namespace boragecroft

#endif  // SERVERS_MODEL_SUBMISSION_H_
