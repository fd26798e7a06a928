// Decides on every start of a task: first starts, repetitions after a refusal,
// retries and hedges. A task that is not repeatable is never started again
// unless every earlier attempt is known not to have started.
#ifndef SERVERS_RETRY_RETRY_H_
#define SERVERS_RETRY_RETRY_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <unordered_map>

#include "core/base/clock.h"
#include "core/base/random.h"
#include "servers/estimates/estimates.h"
#include "servers/model/submission.h"

namespace boragecroft {

// Outcome of one attempt.
enum class AttemptEnd : uint8_t {
  kBusy,       // refused: no free slot
  kDraining,   // refused: the endpoint is leaving
  kCannotRun,  // refused: the endpoint lacks resources that the task needs
  kNotSent,    // no byte was handed to the network
  kDone,
  kFailed,   // ran and failed
  kUnknown,  // sent, but no answer tells whether it ran
};

// Reports whether the attempt certainly did not start.
auto IsKnownNotStarted(AttemptEnd end) -> bool;

// Attempts of one task. Changed only by the functions below.
struct Attempts {
  bool repeatable = false;
  bool first_start_counted = false;
  uint32_t in_progress = 0;
  uint32_t done = 0;
  uint32_t failed = 0;
  uint32_t unknown = 0;
  uint32_t extra_starts = 0;  // charged to the retry budget
  // Attempts that are known not to have started, by the first four values of
  // AttemptEnd.
  std::array<uint32_t, 4> not_started{};
  Instant not_before{};  // end of the backoff after the last of these
};

// Key of the budget to which an extra start is charged.
struct BudgetKey {
  std::string urgency_class;
  std::string partner;

  auto operator==(const BudgetKey&) const -> bool = default;
};

}  // namespace boragecroft

template <>
struct std::hash<boragecroft::BudgetKey> {
  auto operator()(const boragecroft::BudgetKey& it) const noexcept -> size_t {
    return std::hash<std::string>()(it.urgency_class) * 31 +
           std::hash<std::string>()(it.partner);
  }
};

namespace boragecroft {

struct RetryBudget {
  uint32_t percent = 10;  // extra starts as a share of first starts
  // Credit in hundredths of an extra start, by class and declared partner.
  std::unordered_map<BudgetKey, uint32_t> credit;
};

enum class StartDenial : uint8_t {
  kNone,
  kAlreadyDone,
  kMayHaveStarted,   // not repeatable, and an earlier attempt may have started
  kInProgress,       // an attempt is in progress
  kNotDue,           // the attempt in progress is not yet slow enough to hedge
  kBudget,           // the retry budget is used up
  kTooManyAttempts,  // the bound on attempts is reached
  kBackoff,          // too early after an attempt that did not start
};

struct StartPermit {
  StartDenial denial = StartDenial::kNone;
  bool charged = false;  // charged to the retry budget
  // For kBackoff: time until the start may be requested again.
  microseconds wait{};

  auto IsGranted() const -> bool { return denial == StartDenial::kNone; }
};

// Reports whether the task may be started now: as its first attempt, after
// attempts that did not start, or as a retry after attempts that may have
// started.
auto MayStart(const RetryBudget& budget,
              const BudgetKey& key,
              const Attempts& attempts,
              Now now) -> StartPermit;

// Reports whether a task that has been running for `running_for` may get a
// second start (a hedge) on another worker. The first answer is used.
auto MayHedge(const RetryBudget& budget,
              const BudgetKey& key,
              const Attempts& attempts,
              const RunTimeEstimate& estimate,
              microseconds running_for) -> StartPermit;

// Records a granted start. A first start adds credit to the budget, a charged
// start spends it.
auto RecordStart(RetryBudget& budget,
                 const BudgetKey& key,
                 Attempts& attempts,
                 const StartPermit& permit) -> void;

// Records the outcome of an attempt in progress, and draws a random backoff if
// it did not start.
auto RecordEnd(Attempts& attempts, AttemptEnd end, Now now, Random& random)
    -> void;

// Returns the state of a task that will not be started again, or kStarted while
// an attempt is in progress.
auto SummarizeAttempts(const Attempts& attempts) -> TaskState;

}  // namespace boragecroft

#endif  // SERVERS_RETRY_RETRY_H_
