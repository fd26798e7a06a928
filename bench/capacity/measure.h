// Measures the heap and processor time of pure functions, and how both grow
// with the size of the input.
#ifndef BENCH_CAPACITY_MEASURE_H_
#define BENCH_CAPACITY_MEASURE_H_

#include <functional>
#include <string>
#include <vector>

#include "bench/load/report.h"

namespace boragecroft::bench {

// Returns the bytes of heap in use.
auto HeapBytes() -> double;
// Returns the processor time of this thread in microseconds.
auto ThreadTime() -> double;

struct SizePoint {
  double size = 0;
  double value = 0;
};

// Prints each point, and the slope and the base of the least-squares line
// through the points.
auto PrintSlope(const Reporter& reporter,
                const std::string& figure,
                const std::vector<SizePoint>& points,
                const std::string& unit) -> void;

// Returns the processor time of one call in microseconds: the minimum of five
// rounds of `calls` calls each, since other processes can only lengthen a
// round.
auto MeasureTime(size_t calls, const std::function<void()>& call) -> double;

// Returns the bytes of heap that `make` allocates and leaves in use.
auto MeasureHeap(const std::function<void()>& make) -> double;

}  // namespace boragecroft::bench

#endif  // BENCH_CAPACITY_MEASURE_H_
