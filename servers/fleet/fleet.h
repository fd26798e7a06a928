// The endpoints of this availability zone as one instance sees them: who exists
// (from the platform's lagging list), who may be used now (from own
// observation), and what this instance has in progress on each.
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

// One endpoint in the platform's list.
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
  WallTime as_of{};  // when the platform made it
  std::vector<ListedWorker> workers;
};

// Each start earns this share of one busy answer that blind borrowing may cost.
inline constexpr double kBorrowCreditPerStart = 0.1;
// Busy answers that blind borrowing may cost before anything was started.
inline constexpr double kInitialBorrowCredit = 8;

enum class WorkerState : uint8_t { kLive, kLeaving, kRemoved };

// One incarnation of an endpoint. It keeps its index in the fleet until it is
// gone and has nothing in progress.
struct FleetWorker {
  WorkerId id;
  ListedWorker listed;
  WorkerState state = WorkerState::kLive;
  // Of the process that answered last, or by the list. Starts name it.
  std::string incarnation;
  double speed = 1;  // learned speed times straggler weight; set by the caller

  // Since when the lists lack it, and in how many of them.
  Instant missing_since{};
  uint32_t missing_lists = 0;

  Instant listed_at{};  // when a list last showed it

  // Answered "draining". Ends with its incarnation, or when the list shows it
  // as live after it showed it as leaving.
  bool draining = false;
  Instant backoff_until{};        // after busy answers and failed connects
  uint32_t busy_answers = 0;      // in a row
  uint32_t connect_failures = 0;  // in a row
  Instant connect_failed_at{};

  // Free slots as the endpoint last told, less those that this instance took
  // since. Empty while it has told nothing.
  std::optional<uint32_t> free_slots;
  Instant free_slots_reported_at{};
  Instant last_start{};

  uint32_t in_progress = 0;  // tasks of this instance
  uint32_t borrowed = 0;     // of these, beyond the allotted slots
  Needs occupied;            // by tasks of this instance
  uint32_t allotted_slots = 0;
  uint32_t max_connections = 1;  // of this instance to this worker
};

struct Fleet {
  std::vector<FleetWorker> workers;
  std::unordered_map<std::string, std::vector<size_t>> by_service;
  std::vector<size_t> unused;  // indices to fill again
  uint32_t last_id = 0;
  WallTime list_as_of{};  // of the last list that was applied
  Instant list_applied_at{};

  std::unordered_map<std::string, SlotOrder> slot_orders;  // by service
  // Over the last answers of all endpoints that told their free slots.
  double mean_free_slots = 0;
  // Busy answers that blind borrowing may still cost.
  double borrow_credit = kInitialBorrowCredit;
  std::unordered_map<std::string, size_t> round_robin;  // next turn by service
};

enum class ListEffect : uint8_t { kApplied, kIgnoredEmpty, kIgnoredStale };

// What a list changed. What was learned of removed incarnations can be dropped.
struct ListChange {
  ListEffect effect = ListEffect::kApplied;
  std::vector<WorkerId> added;
  std::vector<WorkerId> removed;
  bool partial = false;  // it lacked too many workers to be believed
};

// Takes the platform's list, absent when the platform cannot be reached.
auto ApplyWorkerList(Fleet& fleet,
                     const std::optional<WorkerList>& list,
                     Now now) -> ListChange;

// How an endpoint answered one attempt.
enum class EndpointAnswer : uint8_t {
  kRan,  // done or failed
  kBusy,
  kDraining,
  kCannotRun,
  kOtherIncarnation,  // refused: the start was meant for another process
  kConnectFailed,     // nothing was sent
  kNoResponse,        // sent, and no answer came
};

// A task in progress on a worker, to hand back with its answer.
struct Ticket {
  size_t index = 0;
  WorkerId worker;
  Needs needs;
  bool borrowed = false;
  bool unconfirmed = false;  // borrowed without news that the slot is free
};

// Occupies a slot of the worker at `index`, as PickWorker returned it.
auto OnStart(Fleet& fleet, size_t index, const Needs& needs, Now now) -> Ticket;
// Frees the slot and learns from the answer.
auto OnAnswer(Fleet& fleet,
              const Ticket& ticket,
              EndpointAnswer answer,
              Now now) -> void;

// An answer named the process that the endpoint has now.
auto RecordIncarnation(Fleet& fleet,
                       const Ticket& ticket,
                       const std::string& incarnation) -> void;

// Takes the number of slots that were free when the endpoint answered.
auto RecordFreeSlots(Fleet& fleet,
                     const Ticket& ticket,
                     uint32_t free_slots,
                     Now now) -> void;

// The free slots of the worker by its own news, which counts for less as it
// ages; 0 without any.
auto EstimateFreeSlots(const FleetWorker& worker, Now now) -> double;
// Whether the news leaves a slot free for its owner besides the borrowed one.
auto HasSlotToLend(const FleetWorker& worker, Now now) -> bool;

// False only when the zone's workers of the service are known and each is too
// small. A worker that is leaving or put aside counts: its successor may come.
auto CanEverRun(const Fleet& fleet,
                const std::string& service,
                const Needs& needs) -> bool;

// Whether the worker may get new tasks, allowances aside.
auto IsUsable(const FleetWorker& worker, Now now) -> bool;
// Whether another task with these needs fits beside those of this instance.
auto HasCapacity(const FleetWorker& worker, const Needs& needs) -> bool;

}  // namespace boragecroft

#endif  // SERVERS_FLEET_FLEET_H_
