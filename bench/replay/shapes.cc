#include <array>

#include "bench/replay/workload.h"

namespace boragecroft::bench {
namespace {

// Returns the three kinds of job of both users. The kinds have the
// same total worth.
auto KindsOf(const std::string& wide,
             const std::string& long_kind,
             const std::string& narrow) -> std::vector<KindShape> {
  return {{.name = wide,
           .share = 34.4,
           .worth = 0.0291,
           .mean_width = 8,
           .max_width = 32,
           .mean_work = milliseconds{60},
           .max_work = milliseconds{240}},
          {.name = long_kind,
           .share = 6.25,
           .worth = 0.16,
           .mean_width = 4,
           .max_width = 16,
           .mean_work = milliseconds{900},
           .max_work = milliseconds{3600}},
          {.name = narrow,
           .share = 100,
           .worth = 0.01,
           .mean_width = 2,
           .max_width = 8,
           .mean_work = milliseconds{200},
           .max_work = milliseconds{800}}};
}

auto Letters() -> WorkloadShape {
  WorkloadShape out;
  out.kinds = KindsOf("reminder", "demand", "confirmation");
  out.workers_per_zone = 16;
  out.zone_hop = microseconds{200};
  out.cross_hop = microseconds{500};
  out.total_weight = 0.56;
  out.kind_weight = 0.12;
  out.zone_weight = 0.2;
  out.window_weight = 0.12;
  return out;
}

auto Logbooks() -> WorkloadShape {
  WorkloadShape out;
  out.kinds = KindsOf("damage", "summary", "certificate");
  out.workers_per_zone = 16;
  out.zone_hop = microseconds{100};
  out.cross_hop = microseconds{900};
  out.total_weight = 0.32;
  out.kind_weight = 0.24;
  out.zone_weight = 0.36;
  out.window_weight = 0.08;
  return out;
}

auto Zones(double a, double b, double c, double pa, double pb, double pc)
    -> std::vector<ZoneShape> {
  return {
      {.name = "a", .instances = 3, .jobs_per_second = a, .phase = pa},
      {.name = "b", .instances = 3, .jobs_per_second = b, .phase = pb},
      {.name = "c", .instances = 2, .jobs_per_second = c, .phase = pc},
  };
}

auto At(double second) -> microseconds {
  return microseconds(static_cast<int64_t>(second * 1e6));
}

auto LettersQuiet() -> WorkloadShape {
  auto out = Letters();
  out.name = "letters-quiet";
  out.length = seconds{34};
  out.zones = Zones(29.6, 22.8, 26.3, 0.89, 0.52, 0.58);
  out.bursts = {{.factor = 1.3, .from = At(7.76), .time = At(4)}};
  return out;
}

auto LettersHigh() -> WorkloadShape {
  auto out = Letters();
  out.name = "letters-high";
  out.length = seconds{41};
  out.zones = Zones(58.2, 44.9, 51.6, 0.89, 0.52, 0.58);
  out.bursts = {
      {.kind = "demand", .factor = 2.4, .from = At(4.6), .time = At(6.1)},
      {.kind = "reminder", .factor = 1.7, .from = At(12), .time = At(3.6)}};
  out.faults = {{.fault = WorkerFault::kSlow,
                 .share = 0.16,
                 .factor = 7.7,
                 .from = At(7.76),
                 .time = At(7.9)},
                {.fault = WorkerFault::kUnresponsive,
                 .share = 0.14,
                 .from = At(4.36),
                 .time = At(3.5)}};
  return out;
}

auto LogbooksQuiet() -> WorkloadShape {
  auto out = Logbooks();
  out.name = "logbooks-quiet";
  out.length = seconds{34};
  out.zones = Zones(21.6, 27.6, 28.1, 0.53, 0.02, 0.59);
  out.bursts = {{.factor = 1.3, .from = At(10.3), .time = At(4)}};
  return out;
}

auto LogbooksHigh() -> WorkloadShape {
  auto out = Logbooks();
  out.name = "logbooks-high";
  out.length = seconds{41};
  out.zones = Zones(47.2, 60.2, 61.3, 0.53, 0.02, 0.59);
  out.bursts = {
      {.kind = "summary", .factor = 2.5, .from = At(3), .time = At(6)},
      {.kind = "damage", .factor = 1.6, .from = At(13), .time = At(3.6)}};
  out.faults = {{.fault = WorkerFault::kStuck,
                 .share = 0.13,
                 .from = At(6.8),
                 .time = At(5.9)},
                {.fault = WorkerFault::kSlow,
                 .share = 0.119,
                 .factor = 4.97,
                 .from = At(25.7),
                 .time = At(7.1)}};
  out.leaving_share = 0.05;
  return out;
}

// Jobs and workers of the kiosks: two slots on a small worker, three on a big
// one, and a few jobs that take seven times as long as the others.
auto Kiosks() -> WorkloadShape {
  auto out = Logbooks();
  out.kinds = KindsOf("unlock", "settlement", "receipt");
  const std::array<milliseconds, 3> work = {milliseconds{51}, milliseconds{760},
                                            milliseconds{170}};
  const std::array<milliseconds, 3> most = {
      milliseconds{540}, milliseconds{8100}, milliseconds{1800}};
  for (size_t i = 0; i < out.kinds.size(); ++i) {
    out.kinds[i].mean_work = work.at(i);
    out.kinds[i].max_work = most.at(i);
    out.kinds[i].tail_share = 0.03;
    out.kinds[i].tail_factor = 7;
  }
  out.workers = {.speeds = {0.7, 0.7, 1.7},
                 .small_cpu_millis = 64'000,
                 .big_cpu_millis = 96'000};
  out.mean_cpu_millis = 27'000;
  out.max_cpu_millis = 41'000;
  out.wave_amplitude = 0.55;
  out.wave_period = seconds{17};
  out.cross_hop = microseconds{500};
  return out;
}

auto KiosksQuiet() -> WorkloadShape {
  auto out = Kiosks();
  out.name = "kiosks-quiet";
  out.length = seconds{34};
  out.zones = Zones(27.3, 27.5, 24.5, 0.1, 0.18, 0.26);
  out.bursts = {{.factor = 1.2, .from = At(8.46), .time = At(4)}};
  return out;
}

auto KiosksHigh() -> WorkloadShape {
  auto out = Kiosks();
  out.name = "kiosks-high";
  out.length = seconds{41};
  out.zones = Zones(46.9, 47.2, 42.1, 0.1, 0.18, 0.26);
  out.bursts = {{.factor = 1.3, .from = At(5.2), .time = At(4)}};
  out.faults = {{.fault = WorkerFault::kSlow,
                 .share = 0.1,
                 .factor = 7.6,
                 .from = At(8.1),
                 .time = At(5.4)},
                {.fault = WorkerFault::kStuck,
                 .share = 0.074,
                 .from = At(12.3),
                 .time = At(4.7)}};
  return out;
}

}  // namespace

auto ShapeNames() -> std::vector<std::string> {
  return {"letters-quiet", "letters-high", "logbooks-quiet",
          "logbooks-high", "kiosks-quiet", "kiosks-high"};
}

auto ShapeOf(const std::string& name) -> WorkloadShape {
  for (const auto& shape : {LettersQuiet(), LettersHigh(), LogbooksQuiet(),
                            LogbooksHigh(), KiosksQuiet(), KiosksHigh()}) {
    if (shape.name == name) {
      return shape;
    }
  }
  return {};
}

}  // namespace boragecroft::bench
