// The single gate for every start of a task: first starts, repetitions after a
// refusal, retries and hedges. A task that is not repeatable is never started
// again unless each earlier attempt is known not to have started.
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

// How one attempt ended.
enum class AttemptEnd : uint8_t {
  kBusy,       // refused: no free slot
  kDraining,   // refused: the endpoint is leaving
  kCannotRun,  // refused: the endpoint lacks what the task needs
  kNotSent,    // no byte was handed to the network
  kDone,
  kFailed,   // ran and failed
  kUnknown,  // sent, and no answer says whether it ran
};

// True when the attempt is certain not to have started.
auto IsKnownNotStarted(AttemptEnd end) -> bool;

// The attempts of one task. Changed by the functions below only.
struct Attempts {
  bool repeatable = false;
  bool first_start_counted = false;
  uint32_t in_progress = 0;
  uint32_t done = 0;
  uint32_t failed = 0;
  uint32_t unknown = 0;
  uint32_t extra_starts = 0;  // charged to the budget
  // Ended as known not to have started, by the first four values of AttemptEnd.
  std::array<uint32_t, 4> not_started{};
  Instant not_before{};  // backoff after the last of these
};

// Whose budget an extra start is charged to.
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
  // Hundredths of an extra start, by class and declared partner.
  std::unordered_map<BudgetKey, uint32_t> credit;
};

enum class StartDenial : uint8_t {
  kNone,
  kAlreadyDone,
  kMayHaveStarted,   // not repeatable, and an earlier attempt may have started
  kInProgress,       // an attempt is running
  kNotDue,           // the running attempt is not yet slow enough to hedge
  kBudget,           // the retry budget is used up
  kTooManyAttempts,  // the bound on attempts is reached
  kBackoff,          // too early after an attempt that did not start
};

struct StartPermit {
  StartDenial denial = StartDenial::kNone;
  bool charged = false;  // counts against the budget
  microseconds wait{};   // for kBackoff: ask again after this

  auto IsGranted() const -> bool { return denial == StartDenial::kNone; }
};

// Whether the task may be started now as its first attempt, after attempts that
// did not start, or as a retry after attempts that may have.
auto MayStart(const RetryBudget& budget,
              const BudgetKey& key,
              const Attempts& attempts,
              Now now) -> StartPermit;

// Whether a task that has been running for `running_for` may get a second start
// on another worker; the first answer wins.
auto MayHedge(const RetryBudget& budget,
              const BudgetKey& key,
              const Attempts& attempts,
              const RunTimeEstimate& estimate,
              microseconds running_for) -> StartPermit;

// Notes a granted start. A first start earns budget, a charged one spends it.
auto RecordStart(RetryBudget& budget,
                 const BudgetKey& key,
                 Attempts& attempts,
                 const StartPermit& permit) -> void;

// Notes how an attempt in progress ended, and draws the backoff when it did not
// start.
auto RecordEnd(Attempts& attempts, AttemptEnd end, Now now, Random& random)
    -> void;

// How far a task got that will not be started again; kStarted while an attempt
// is in progress.
auto SummarizeAttempts(const Attempts& attempts) -> TaskState;

}  // namespace boragecroft

#endif  // SERVERS_RETRY_RETRY_H_
