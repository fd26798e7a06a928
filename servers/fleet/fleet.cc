#include "servers/fleet/fleet.h"

#include <algorithm>
#include <cmath>

namespace boragecroft {

namespace {

constexpr auto kFirstBusyBackoff = milliseconds(30);
constexpr auto kMaxBusyBackoff = seconds(1);
constexpr auto kFirstConnectBackoff = milliseconds(100);
constexpr auto kMaxConnectBackoff = seconds(5);
// Limit of the credit, and so of the number of unconfirmed borrowed slots in
// progress.
constexpr auto kMaxBorrowCredit = 32.0;

// Time after which the weight of a report of free slots has decayed to 1/e.
constexpr auto kReportLifetime = std::chrono::duration<double>(0.1);
// Estimated free slots needed to borrow one: one for the borrower and one that
// stays free for an owner.
constexpr auto kFreeSlotsToBorrow = 2.0;
// An answer moves the mean of the free slots by the difference divided by this
// number.
constexpr auto kMeanSmoothingDivisor = 64.0;

auto DoubledBackoff(microseconds first, microseconds limit, uint32_t times)
    -> microseconds {
  auto wait = first;
  for (uint32_t n = 1; n < times && wait < limit; ++n) {
    wait *= 2;
  }
  return std::min(wait, limit);
}

auto ResetBackoff(FleetWorker& worker) -> void {
  worker.busy_answers = 0;
  worker.connect_failures = 0;
  worker.backoff_until = {};
}

auto Fits(const Needs& needs, const Needs& capacity) -> bool {
  return needs.cpu_millis <= capacity.cpu_millis &&
         needs.memory_mb <= capacity.memory_mb &&
         needs.accelerators <= capacity.accelerators;
}

auto SubtractOrZero(uint32_t capacity, uint32_t used) -> uint32_t {
  return capacity > used ? capacity - used : 0;
}

auto Release(FleetWorker& worker, const Ticket& ticket) -> void {
  --worker.in_progress;
  worker.borrowed -= ticket.borrowed ? 1 : 0;
  worker.occupied.cpu_millis -= ticket.needs.cpu_millis;
  worker.occupied.memory_mb -= ticket.needs.memory_mb;
  worker.occupied.accelerators -= ticket.needs.accelerators;
}

}  // namespace

auto OnStart(Fleet& fleet, size_t index, const Needs& needs, Now now)
    -> Ticket {
  auto& worker = fleet.workers[index];
  const auto borrowed =
      worker.in_progress - worker.borrowed >= worker.allotted_slots;
  const Ticket ticket{.index = index,
                      .worker = worker.id,
                      .needs = needs,
                      .borrowed = borrowed,
                      .unconfirmed = borrowed && !HasSlotToLend(worker, now)};
  worker.last_start = now.boot;
  if (worker.free_slots) {
    worker.free_slots = SubtractOrZero(*worker.free_slots, 1);
  }
  ++worker.in_progress;
  worker.occupied.cpu_millis += needs.cpu_millis;
  worker.occupied.memory_mb += needs.memory_mb;
  worker.occupied.accelerators += needs.accelerators;
  worker.borrowed += ticket.borrowed ? 1 : 0;
  if (ticket.unconfirmed) {
    // The credit is charged at the start, so that no more such tasks are in
    // progress than may be answered as busy.
    fleet.borrow_credit -= 1;
  }
  fleet.borrow_credit =
      std::min(fleet.borrow_credit + kBorrowCreditPerStart, kMaxBorrowCredit);
  return ticket;
}

auto OnAnswer(Fleet& fleet,
              const Ticket& ticket,
              EndpointAnswer answer,
              Now now) -> void {
  auto& worker = fleet.workers[ticket.index];
  Release(worker, ticket);
  if (ticket.unconfirmed && answer != EndpointAnswer::kBusy) {
    fleet.borrow_credit = std::min(fleet.borrow_credit + 1, kMaxBorrowCredit);
  }
  switch (answer) {
    case EndpointAnswer::kRan:
      return ResetBackoff(worker);
    case EndpointAnswer::kBusy:
      RecordFreeSlots(fleet, ticket, 0, now);
      ++worker.busy_answers;
      worker.backoff_until =
          now.boot + DoubledBackoff(kFirstBusyBackoff, kMaxBusyBackoff,
                                    worker.busy_answers);
      return;
    case EndpointAnswer::kOtherIncarnation:
      // A pause is needed before the next attempt, because two processes may be
      // answering alternately at this address.
      worker.backoff_until = now.boot + kFirstBusyBackoff;
      return;
    case EndpointAnswer::kDraining:
      worker.draining = true;
      return;
    case EndpointAnswer::kConnectFailed:
      ++worker.connect_failures;
      worker.connect_failed_at = now.boot;
      worker.backoff_until =
          now.boot + DoubledBackoff(kFirstConnectBackoff, kMaxConnectBackoff,
                                    worker.connect_failures);
      return;
    case EndpointAnswer::kCannotRun:
    case EndpointAnswer::kNoResponse:
      return;
  }
}

auto RecordIncarnation(Fleet& fleet,
                       const Ticket& ticket,
                       const std::string& incarnation) -> void {
  if (!incarnation.empty()) {
    fleet.workers[ticket.index].incarnation = incarnation;
  }
}

auto RecordFreeSlots(Fleet& fleet,
                     const Ticket& ticket,
                     uint32_t free_slots,
                     Now now) -> void {
  auto& worker = fleet.workers[ticket.index];
  worker.free_slots = free_slots;
  worker.free_slots_reported_at = now.boot;
  fleet.mean_free_slots +=
      (free_slots - fleet.mean_free_slots) / kMeanSmoothingDivisor;
}

auto EstimateFreeSlots(const FleetWorker& worker, Now now) -> double {
  const std::chrono::duration<double> age =
      now.boot - worker.free_slots_reported_at;
  return worker.free_slots.value_or(0) * std::exp(-age / kReportLifetime);
}

auto HasSlotToLend(const FleetWorker& worker, Now now) -> bool {
  return EstimateFreeSlots(worker, now) >= kFreeSlotsToBorrow;
}

auto CanEverRun(const Fleet& fleet,
                const std::string& service,
                const Needs& needs) -> bool {
  auto known = false;
  for (const auto& it : fleet.workers) {
    if (it.state == WorkerState::kRemoved || it.listed.service != service) {
      continue;
    }
    known = true;
    if (Fits(needs, it.listed.capacity)) {
      return true;
    }
  }
  return !known;
}

auto IsUsable(const FleetWorker& worker, Now now) -> bool {
  return worker.state == WorkerState::kLive && !worker.draining &&
         now.boot >= worker.backoff_until;
}

auto HasCapacity(const FleetWorker& worker, const Needs& needs) -> bool {
  const auto& capacity = worker.listed.capacity;
  const auto& used = worker.occupied;
  const Needs left{
      .cpu_millis = SubtractOrZero(capacity.cpu_millis, used.cpu_millis),
      .memory_mb = SubtractOrZero(capacity.memory_mb, used.memory_mb),
      .accelerators = SubtractOrZero(capacity.accelerators, used.accelerators)};
  return Fits(needs, left);
}

}  // namespace boragecroft
