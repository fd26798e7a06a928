#include "bench/capacity/measure.h"

#include <malloc.h>
#include <time.h>

#include <algorithm>

namespace boragecroft::bench {
namespace {

constexpr int kRounds = 5;

}  // namespace

auto HeapBytes() -> double {
  const auto info = mallinfo2();
  return static_cast<double>(info.uordblks) + static_cast<double>(info.hblkhd);
}

auto ThreadTime() -> double {
  timespec time{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
  return static_cast<double>(time.tv_sec) * 1e6 +
         static_cast<double>(time.tv_nsec) / 1e3;
}

auto PrintSlope(const Reporter& reporter,
                const std::string& figure,
                const std::vector<SizePoint>& points,
                const std::string& unit) -> void {
  double mean_size = 0;
  double mean_value = 0;
  for (const auto& it : points) {
    PrintFigure(reporter,
                figure + "_at_" + std::to_string(static_cast<int64_t>(it.size)),
                it.value, unit);
    mean_size += it.size / static_cast<double>(points.size());
    mean_value += it.value / static_cast<double>(points.size());
  }
  double covariance = 0;
  double variance = 0;
  for (const auto& it : points) {
    covariance += (it.size - mean_size) * (it.value - mean_value);
    variance += (it.size - mean_size) * (it.size - mean_size);
  }
  const auto slope = covariance / variance;
  PrintFigure(reporter, figure + "_slope", slope, unit + " a unit");
  PrintFigure(reporter, figure + "_base", mean_value - slope * mean_size, unit);
}

auto MeasureTime(size_t calls, const std::function<void()>& call) -> double {
  auto shortest = 1e18;
  for (auto round = 0; round < kRounds; ++round) {
    const auto begin = ThreadTime();
    for (size_t i = 0; i < calls; ++i) {
      call();
    }
    shortest =
        std::min(shortest, (ThreadTime() - begin) / static_cast<double>(calls));
  }
  return shortest;
}

auto MeasureHeap(const std::function<void()>& make) -> double {
  const auto before = HeapBytes();
  make();
  return HeapBytes() - before;
}

}  // namespace boragecroft::bench
