// Jobs as the scheduler of a group of workers handles them: the offer from an
// instance and the result.
#ifndef SERVERS_SCHEDULING_JOB_H_
#define SERVERS_SCHEDULING_JOB_H_

#include <compare>
#include <cstdint>
#include <string>

#include "core/base/clock.h"

namespace boragecroft {

// Caller's identifier of a job.
struct JobName {
  uint64_t value = 0;

  // NOLINTNEXTLINE(modernize-use-nullptr): false alarm of clang-tidy 14.
  auto operator<=>(const JobName&) const = default;
};

// Identifier of one task: its job and its position in the job.
struct TaskName {
  JobName job;
  uint32_t index = 0;

  // NOLINTNEXTLINE(modernize-use-nullptr): false alarm of clang-tidy 14.
  auto operator<=>(const TaskName&) const = default;
};

// Processor, memory and accelerators: the capacity of a worker, or the needs of
// a task.
struct Resources {
  int64_t cpu_millis = 0;  // thousandths of a core
  int64_t memory_mb = 0;
  int64_t accelerators = 0;

  auto operator+=(const Resources& it) -> Resources&;
  auto operator-=(const Resources& it) -> Resources&;
  auto operator==(const Resources&) const -> bool = default;
};

// Upper bounds of what a worker can have and a task can need. An entry or a
// request beyond them is invalid.
inline constexpr Resources kMaxResources{.cpu_millis = 100'000'000,
                                         .memory_mb = 1'000'000'000,
                                         .accelerators = 1'000'000};

// Reports whether `needs` fits within `capacity` in addition to `used`. No
// amount may be negative.
auto Fits(const Resources& capacity,
          const Resources& used,
          const Resources& needs) -> bool;

// Job that an instance offers to the scheduler of a group of workers.
struct JobOffer {
  JobName name;
  std::string spec;  // passed to the workers unchanged
  std::string kind;  // name of the route; run times are estimated for each kind
  std::string service;
  uint32_t count = 0;           // tasks
  Resources needs;              // of each task
  milliseconds run_estimate{};  // declared by the caller for one task; inexact
  milliseconds target{};        // constant part of the latency objective
  double slack_factor = 1;  // factor of the run time in the latency objective
  uint32_t max_attempts = 1;
  milliseconds age{};        // since the caller's request arrived
  milliseconds remaining{};  // until the caller stops waiting
  uint32_t submission = 0;   // number of earlier hand-overs of this job
  // Set when an earlier hand-over may have started tasks that still run.
  bool may_run_elsewhere = false;
  // Set when the group must refuse the job immediately unless all its tasks can
  // start now.
  bool immediate_only = false;
  uint32_t priority = 0;  // of the route; 0 is the most important
};

enum class JobOutcome : uint8_t {
  kDone = 0,
  kFailed = 1,   // a task failed as many times as its route allows
  kRefused = 2,  // nothing ran, and nothing will
  kStopped = 3,  // tasks may have run; they are being stopped
  // A caller cancelled the job. Tasks that run are being stopped, and none will
  // be started.
  kCancelled = 4,
};

struct JobResult {
  JobName name;
  JobOutcome outcome = JobOutcome::kRefused;
  milliseconds retry_after{};  // for a refusal: when capacity is expected
  uint32_t submission = 0;     // copied from the offer that it answers
  // Set with a refusal when the job was given back because the group is
  // evacuated: its origin offers it to other groups.
  bool evacuated = false;
};

// Connection of the instance that handed a job over (its origin). 0 is the
// holder's own instance.
using OriginId = uint64_t;

}  // namespace boragecroft

template <>
struct std::hash<boragecroft::JobName> {
  auto operator()(const boragecroft::JobName& it) const noexcept -> size_t {
    return std::hash<uint64_t>()(it.value);
  }
};

#endif  // SERVERS_SCHEDULING_JOB_H_
