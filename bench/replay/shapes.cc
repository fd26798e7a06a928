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

// Returns the three kinds of job of the two deployments in docs/hard-load.md,
// with the run times and jobs per second given there.
auto PrioritizedKinds(const std::array<const char*, 3>& names,
                      const std::array<milliseconds, 3>& work,
                      const std::array<milliseconds, 3>& most,
                      const std::array<double, 3>& shares)
    -> std::vector<KindShape> {
  constexpr std::array<uint32_t, 3> kPriorities = {0, 2, 1};
  constexpr std::array<double, 3> kWorths = {0.00485, 0.0267, 0.00167};
  constexpr std::array<uint32_t, 3> kWidths = {8, 4, 2};
  std::vector<KindShape> out;
  for (size_t i = 0; i < names.size(); ++i) {
    out.push_back({.name = names.at(i),
                   .priority = kPriorities.at(i),
                   .share = shares.at(i),
                   .worth = kWorths.at(i),
                   .mean_width = static_cast<double>(kWidths.at(i)),
                   .max_width = 4 * kWidths.at(i),
                   .mean_work = work.at(i),
                   .max_work = most.at(i)});
  }
  return out;
}

// Properties that both deployments with prioritized kinds share.
auto LargeSite() -> WorkloadShape {
  WorkloadShape out;
  out.workers_per_zone = 88;
  out.zone_hop = microseconds{200};
  out.wave_amplitude = 0.55;
  out.wave_period = seconds{13};
  out.total_weight = 0.6;
  out.kind_weight = 0.08;
  out.zone_weight = 0.2;
  out.window_weight = 0.12;
  return out;
}

// Returns four zones with these numbers of instances, jobs per second and
// phases.
auto FourZones(const std::array<uint32_t, 4>& instances,
               const std::array<double, 4>& rates,
               const std::array<double, 4>& phases) -> std::vector<ZoneShape> {
  constexpr std::array<const char*, 4> kNames = {"a", "b", "c", "d"};
  std::vector<ZoneShape> out;
  for (size_t i = 0; i < kNames.size(); ++i) {
    out.push_back({.name = kNames.at(i),
                   .instances = instances.at(i),
                   .jobs_per_second = rates.at(i),
                   .phase = phases.at(i)});
  }
  return out;
}

// Adds the bursts of two kinds and the slow workers of the high loads.
auto AddHighLoad(WorkloadShape& out,
                 const std::string& long_kind,
                 const std::string& wide_kind) -> void {
  out.length = seconds{41};
  out.bursts = {
      {.kind = long_kind, .factor = 1.8, .from = At(5), .time = At(4)},
      {.kind = wide_kind, .factor = 1.6, .from = At(14), .time = At(4)}};
  out.faults = {{.fault = WorkerFault::kSlow,
                 .share = 0.1,
                 .factor = 5,
                 .from = At(24),
                 .time = At(5)}};
}

auto Bookings(const std::array<double, 4>& rates) -> WorkloadShape {
  auto out = LargeSite();
  out.kinds = PrioritizedKinds(
      {"slot-check", "booking-confirm", "slot-hold"},
      {milliseconds{51}, milliseconds{760}, milliseconds{170}},
      {milliseconds{540}, milliseconds{8100}, milliseconds{1800}},
      {181, 33, 528});
  for (auto& it : out.kinds) {
    it.tail_share = 0.03;
    it.tail_factor = 7;
  }
  out.workers = {.speeds = {1, 1, 1},
                 .small_cpu_millis = 64'000,
                 .big_cpu_millis = 96'000};
  out.mean_cpu_millis = 32'000;
  out.max_cpu_millis = 48'000;
  out.cross_hop = microseconds{1400};
  out.zones = FourZones({8, 8, 7, 7}, rates, {0.1, 0.18, 0.26, 0.34});
  return out;
}

auto BookingsQuiet() -> WorkloadShape {
  auto out = Bookings({95, 115, 97, 101});
  out.name = "bookings-quiet";
  out.length = seconds{34};
  return out;
}

auto BookingsHigh() -> WorkloadShape {
  auto out = Bookings({172, 209, 177, 184});
  out.name = "bookings-high";
  AddHighLoad(out, "booking-confirm", "slot-check");
  return out;
}

auto Maps(double rate) -> WorkloadShape {
  auto out = LargeSite();
  out.kinds = PrioritizedKinds(
      {"tile-fetch", "boundary-overlay", "title-lookup"},
      {milliseconds{60}, milliseconds{900}, milliseconds{200}},
      {milliseconds{240}, milliseconds{3600}, milliseconds{800}},
      {206, 37.5, 600});
  out.workers = {.speeds = {0.6, 1.0, 1.6},
                 .small_cpu_millis = 32'000,
                 .big_cpu_millis = 48'000};
  out.mean_cpu_millis = 16'000;
  out.max_cpu_millis = 24'000;
  out.cross_hop = microseconds{500};
  out.zones =
      FourZones({9, 9, 8, 8}, {rate, rate, rate, rate}, {0.1, 0.35, 0.6, 0.85});
  return out;
}

auto MapsQuiet() -> WorkloadShape {
  auto out = Maps(105);
  out.name = "maps-quiet";
  out.length = seconds{34};
  return out;
}

auto MapsHigh() -> WorkloadShape {
  auto out = Maps(211);
  out.name = "maps-high";
  AddHighLoad(out, "boundary-overlay", "tile-fetch");
  return out;
}

auto AllShapes() -> std::vector<WorkloadShape> {
  return {LettersQuiet(), LettersHigh(), LogbooksQuiet(), LogbooksHigh(),
          KiosksQuiet(),  KiosksHigh(),  BookingsQuiet(), BookingsHigh(),
          MapsQuiet(),    MapsHigh()};
}

}  // namespace

auto ShapeNames() -> std::vector<std::string> {
  std::vector<std::string> out;
  for (const auto& it : AllShapes()) {
    out.push_back(it.name);
  }
  return out;
}

auto ShapeOf(const std::string& name) -> WorkloadShape {
  for (const auto& shape : AllShapes()) {
    if (shape.name == name) {
      return shape;
    }
  }
  return {};
}

}  // namespace boragecroft::bench
