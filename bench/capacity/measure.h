// Heap and processor time of pure decisions, and slopes over their size.
#ifndef BENCH_CAPACITY_MEASURE_H_
#define BENCH_CAPACITY_MEASURE_H_

#include <functional>
#include <string>
#include <vector>

#include "bench/load/report.h"

namespace boragecroft::bench {

// Bytes of heap in use.
auto HeapBytes() -> double;
// Processor time of this thread.
auto ThreadTime() -> double;  // microseconds

struct SizePoint {
  double size = 0;
  double value = 0;
};

// Prints each point and the slope of the least-squares line through them.
auto PrintSlope(const Reporter& reporter,
                const std::string& figure,
                const std::vector<SizePoint>& points,
                const std::string& unit) -> void;

// Microseconds of processor time of one call: the least of some rounds of
// `calls` calls each, since others disturb.
auto MeasureTime(size_t calls, const std::function<void()>& call) -> double;

// The heap that `make` leaves in use.
auto MeasureHeap(const std::function<void()>& make) -> double;

}  // namespace boragecroft::bench

#endif  // BENCH_CAPACITY_MEASURE_H_
