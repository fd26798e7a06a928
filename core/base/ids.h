// Identifiers: the incarnation of an instance and the ids that it mints for
// jobs.
#ifndef CORE_BASE_IDS_H_
#define CORE_BASE_IDS_H_

#include <compare>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

#include "core/base/clock.h"

namespace boragecroft {

// One start of one daemon process. Drawn at random at start; never used again
// by any process.
struct Incarnation {
  uint64_t value = 0;

  // NOLINTNEXTLINE(modernize-use-nullptr): false alarm of clang-tidy 14.
  auto operator<=>(const Incarnation&) const = default;
};

// Names a job. Only the process with this incarnation ever starts the job's
// tasks, unless it has closed its ledger and named a successor.
struct JobId {
  Incarnation incarnation;
  uint64_t sequence = 0;
  WallTime minted;

  // NOLINTNEXTLINE(modernize-use-nullptr): false alarm of clang-tidy 14.
  auto operator<=>(const JobId&) const = default;
};

// Names one task of a job by its position in the submission.
struct TaskId {
  JobId job;
  uint32_t index = 0;

  // NOLINTNEXTLINE(modernize-use-nullptr): false alarm of clang-tidy 14.
  auto operator<=>(const TaskId&) const = default;
};

// Sixteen hexadecimal digits.
auto ToString(Incarnation incarnation) -> std::string;
auto ParseIncarnation(std::string_view text) -> std::optional<Incarnation>;

// "<incarnation>-<minted, ms since the epoch, hex>-<sequence, hex>".
auto ToString(const JobId& id) -> std::string;
auto ParseJobId(std::string_view text) -> std::optional<JobId>;

// "<job id>/<index>".
auto ToString(const TaskId& id) -> std::string;
auto ParseTaskId(std::string_view text) -> std::optional<TaskId>;

}  // namespace boragecroft

template <>
struct std::hash<boragecroft::Incarnation> {
  auto operator()(const boragecroft::Incarnation& it) const noexcept -> size_t {
    return std::hash<uint64_t>()(it.value);
  }
};

template <>
struct std::hash<boragecroft::JobId> {
  auto operator()(const boragecroft::JobId& it) const noexcept -> size_t {
    return std::hash<uint64_t>()(it.incarnation.value ^
                                 (it.sequence * 0x9E3779B97F4A7C15ULL));
  }
};

#endif  // CORE_BASE_IDS_H_
