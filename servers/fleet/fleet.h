// Keeps the endpoints of this availability zone as one instance knows them:
// which exist (from the platform's list, which lags), which may be used now
// (from this instance's own observations), and which tasks this instance has in
// progress on each.
#ifndef SERVERS_FLEET_FLEET_H_
#define SERVERS_FLEET_FLEET_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "core/base/address.h"
#include "core/base/clock.h"
#include "servers/fleet/slot_order.h"
#include "servers/fleet/worker_id.h"
#include "servers/model/submission.h"

namespace boragecroft {

// Endpoint in the platform's list.
struct ListedWorker {
  std::string service;
  std::string name;  // of the worker
  Address address;
  std::string incarnation;  // changes when the endpoint restarts
  uint32_t slots = 8;
  uint32_t connections = 64;
  Needs capacity;
  bool leaving = false;

  auto operator==(const ListedWorker&) const -> bool = default;
};

struct WorkerList {
  WallTime as_of{};  // time at which the platform created it
  std::vector<ListedWorker> workers;
};

// Share of one busy answer that each start earns. Unconfirmed borrowing spends
// this credit: it uses slots of other instances without a report that they are
// free.
inline constexpr double kBorrowCreditPerStart = 0.1;
// Busy answers that unconfirmed borrowing may cause before any task was
// started.
inline constexpr double kInitialBorrowCredit = 8;

enum class WorkerState : uint8_t { kLive, kLeaving, kRemoved };

// Incarnation of an endpoint. It keeps its index in the fleet until it is
// removed and has no task in progress.
struct FleetWorker {
  WorkerId id;
  ListedWorker listed;
  WorkerState state = WorkerState::kLive;
  // Incarnation of the process that answered last, or the one in the list if
  // none has answered. Starts name it as their target.
  std::string incarnation;
  // Learned speed multiplied by the straggler weight; set by the caller.
  double speed = 1;

  // Time since which the lists lack it, and the number of lists that lacked it.
  Instant missing_since{};
  uint32_t missing_lists = 0;

  Instant listed_at{};  // time of the last list that contained it

  // The endpoint answered "draining". The flag is cleared by a new incarnation,
  // or when the list shows the endpoint as live after it showed it as leaving.
  bool draining = false;
  Instant backoff_until{};        // after busy answers and failed connects
  uint32_t busy_answers = 0;      // in a row
  uint32_t connect_failures = 0;  // in a row
  Instant connect_failed_at{};

  // Free slots as last reported by the endpoint, minus those that this instance
  // took since. Empty until the endpoint has reported.
  std::optional<uint32_t> free_slots;
  Instant free_slots_reported_at{};
  Instant last_start{};

  uint32_t in_progress = 0;  // tasks of this instance
  uint32_t borrowed = 0;     // tasks of this instance beyond its allotted slots
  Needs occupied;            // by tasks of this instance
  uint32_t allotted_slots = 0;
  uint32_t max_connections = 1;  // of this instance to this worker
};

struct Fleet {
  std::vector<FleetWorker> workers;
  std::unordered_map<std::string, std::vector<size_t>> by_service;
  std::vector<size_t> unused;  // indices that can be reused
  uint32_t last_id = 0;
  WallTime list_as_of{};  // of the last list that was applied
  Instant list_applied_at{};

  std::unordered_map<std::string, SlotOrder> slot_orders;  // by service
  // Exponentially weighted mean over the recent answers of all endpoints that
  // reported their free slots.
  double mean_free_slots = 0;
  // Number of busy answers that unconfirmed borrowing may still cause.
  double borrow_credit = kInitialBorrowCredit;
  // Position of the next pick, by service.
  std::unordered_map<std::string, size_t> round_robin;
};

enum class ListEffect : uint8_t { kApplied, kIgnoredEmpty, kIgnoredStale };

// Changes caused by a list. Data learned about removed incarnations can be
// dropped.
struct ListChange {
  ListEffect effect = ListEffect::kApplied;
  std::vector<WorkerId> added;
  std::vector<WorkerId> removed;
  bool partial = false;  // it lacked too many workers to be plausible
};

// Applies the platform's list; `list` is empty when the platform cannot be
// reached.
auto ApplyWorkerList(Fleet& fleet,
                     const std::optional<WorkerList>& list,
                     Now now) -> ListChange;

// Answer of an endpoint to one attempt.
enum class EndpointAnswer : uint8_t {
  kRan,  // the task ran and was done or failed
  kBusy,
  kDraining,
  kCannotRun,
  kOtherIncarnation,  // refused because the start named another process
  kConnectFailed,     // nothing was sent
  kNoResponse,        // sent, and no answer came
};

// Task in progress on a worker; passed to `OnAnswer` together with the
// endpoint's answer.
struct Ticket {
  size_t index = 0;
  WorkerId worker;
  Needs needs;
  bool borrowed = false;
  bool unconfirmed = false;  // borrowed without a report that the slot is free
};

// Occupies a slot of the worker at `index`, which `PickWorker` returned.
auto OnStart(Fleet& fleet, size_t index, const Needs& needs, Now now) -> Ticket;
// Frees the slot and updates the state of the worker from the answer.
auto OnAnswer(Fleet& fleet,
              const Ticket& ticket,
              EndpointAnswer answer,
              Now now) -> void;

// Records the incarnation of the endpoint's current process, which an answer
// named.
auto RecordIncarnation(Fleet& fleet,
                       const Ticket& ticket,
                       const std::string& incarnation) -> void;

// Records the number of slots that were free when the endpoint answered.
auto RecordFreeSlots(Fleet& fleet,
                     const Ticket& ticket,
                     uint32_t free_slots,
                     Now now) -> void;

// Returns an estimate of the worker's free slots from its last report, whose
// weight decays with its age; 0 without a report.
auto EstimateFreeSlots(const FleetWorker& worker, Now now) -> double;
// Reports whether, according to that estimate, a slot remains free for its
// owner in addition to the borrowed one.
auto HasSlotToLend(const FleetWorker& worker, Now now) -> bool;

// Returns false only if the zone's workers of the service are known and each is
// too small. A worker that is leaving or ejected counts, because its successor
// may come.
auto CanEverRun(const Fleet& fleet,
                const std::string& service,
                const Needs& needs) -> bool;

// Reports whether the worker may get new tasks, regardless of slot allotments.
auto IsUsable(const FleetWorker& worker, Now now) -> bool;
// Reports whether another task with these needs fits in addition to those of
// this instance.
auto HasCapacity(const FleetWorker& worker, const Needs& needs) -> bool;

}  // namespace boragecroft

#endif  // SERVERS_FLEET_FLEET_H_
