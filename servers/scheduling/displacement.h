// Decides which waiting jobs come first and which are turned away when there is
// too little room.
//
// Answers bursts and wave peaks on sites whose kinds of job differ in priority
// and in the room that they need. A job that needs much room at a low priority
// displaces many others, so turning it away costs callers least. A floor for
// each kind, and for the largest jobs of each kind, keeps this order from
// turning away one kind altogether. A job whose start comes too late to be of
// use is turned away while its caller still has time to go elsewhere.
//
// The functions are pure. Work is measured in core-milliseconds on workers of
// speed 1. Work that is negative or not finite counts as kMinJobWork.
#ifndef SERVERS_SCHEDULING_DISPLACEMENT_H_
#define SERVERS_SCHEDULING_DISPLACEMENT_H_

#include <array>
#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

#include "core/base/clock.h"

namespace boragecroft {

// Least and most work that a job counts for, in core-milliseconds.
inline constexpr double kMinJobWork = 1;
inline constexpr double kMaxJobWork = 1e12;

// Returns the cost to callers of turning a job away, per core-millisecond of
// the room that this frees. The weight halves with each step of priority down
// from 0, the most important one; steps beyond 30 count as 30.
auto CostOfTurningAway(uint32_t priority, double work) -> double;

// Sum over the last 1.5 s.
struct RecentSum {
  std::array<double, 6> parts{};
  int64_t last_part = 0;  // number of the newest part since the clock's zero
};

auto AddTo(RecentSum& sum, double amount, Instant now) -> void;
auto ValueOf(const RecentSum& sum, Instant now) -> double;

// Work offered and started recently, of a kind of job or of its largest jobs.
struct ServedWork {
  RecentSum offered;
  RecentSum started;
};

struct KindFloor {
  ServedWork all;
  ServedWork largest;
  // Estimate of the work that nine of ten jobs do not exceed; 0 before the
  // first job.
  double large_work = 0;
};

// Floors of all kinds of job. Indexes stay valid.
struct Floors {
  std::unordered_map<std::string, size_t> index;
  std::vector<KindFloor> kinds;
};

// Place of a job among the floors.
struct FloorShare {
  size_t kind = 0;       // index
  bool largest = false;  // one of the largest tenth of its kind
};

// Records an accepted job; returns its place.
auto RecordOffered(Floors& floors,
                   const std::string& kind,
                   double work,
                   Instant now) -> FloorShare;
// Records that tasks with this work have been started.
auto RecordStarted(Floors& floors, FloorShare share, double work, Instant now)
    -> void;
// Reports whether the job's kind, or the largest jobs of the kind if it is one
// of them, got less than a quarter of the work offered in the last 1.5 s.
auto IsBelowFloor(const Floors& floors, FloorShare share, Instant now) -> bool;

// Cores that runs in progress are expected to release, in parts of 10 ms from
// now on. Later releases count as released in the last part.
struct RoomForecast {
  std::array<double, 160> released{};
};

inline constexpr milliseconds kForecastPart{10};

// Adds a run that has taken `elapsed` and was expected to take `expected`. The
// rest of a run that is overdue is a quarter of the time that it has taken.
auto AddRelease(RoomForecast& forecast,
                double cores,
                microseconds elapsed,
                microseconds expected) -> void;

// Waiting job as the forecast sees it.
struct WaitingClaim {
  double cores = 0;           // of all tasks that have not been started
  microseconds run_time{};    // expected for one task
  microseconds start_within;  // time from now after which a start is of no use
  bool keep = false;          // must not be given up: it has started tasks
};

// Returns for each claim, in the order in which the jobs start, when its last
// task is predicted to start, counted from now. A claim that would start too
// late takes no room from the ones after it, unless it must be kept. A start
// beyond the forecast is reported as the forecast's length. Negative cores
// count as 0.
auto PredictStarts(RoomForecast forecast,
                   const std::vector<WaitingClaim>& claims)
    -> std::vector<microseconds>;

}  // namespace boragecroft

#endif  // SERVERS_SCHEDULING_DISPLACEMENT_H_
