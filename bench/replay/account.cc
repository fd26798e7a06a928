#include "bench/replay/account.h"

#include <algorithm>
#include <map>

#include "bench/load/report.h"

namespace boragecroft::bench {
namespace {

constexpr microseconds kWindow = seconds{2};
constexpr size_t kWorstWindows = 2;
constexpr double kLargestShare = 0.1;

struct Owed {
  double earned = 0;
  double owed = 0;
};

auto ShareOf(const Owed& it) -> double {
  return it.owed > 0 ? it.earned / it.owed : 1;
}

auto TimeOf(const JobRecord& record) -> microseconds {
  return record.answered - record.sent;
}

auto IsDone(const JobRecord& record) -> bool {
  return record.outcome == JobOutcome::kDone && !record.left;
}

auto CreditOf(const DayJob& job, const JobRecord& record) -> double {
  if (!IsDone(record)) {
    return 0;
  }
  const auto time = TimeOf(record);
  if (time <= job.objective) {
    return job.worth;
  }
  return time <= job.objective * kLateObjectives ? job.worth * kLateWorth : 0;
}

auto InBurst(const Day& day, const DayJob& job) -> bool {
  return std::any_of(
      day.shape.bursts.begin(), day.shape.bursts.end(), [&](const Burst& it) {
        return it.from <= job.arrives && job.arrives < it.from + it.time;
      });
}

auto LongestKind(const Day& day) -> size_t {
  const auto& kinds = day.shape.kinds;
  const auto it = std::max_element(kinds.begin(), kinds.end(),
                                   [](const KindShape& a, const KindShape& b) {
                                     return a.mean_work < b.mean_work;
                                   });
  return static_cast<size_t>(it - kinds.begin());
}

auto LargestShareOf(const Day& day, const Credits& credits) -> double {
  const auto kind = LongestKind(day);
  std::vector<std::pair<double, size_t>> by_size;
  for (size_t i = 0; i < day.jobs.size(); ++i) {
    if (day.jobs[i].kind == kind && day.jobs[i].owed) {
      by_size.emplace_back(-CoreWorkOf(day.jobs[i]), i);
    }
  }
  std::sort(by_size.begin(), by_size.end());
  by_size.resize(
      static_cast<size_t>(static_cast<double>(by_size.size()) * kLargestShare));
  Owed sum;
  for (const auto& [size, i] : by_size) {
    sum.earned += credits[i];
    sum.owed += day.jobs[i].worth;
  }
  return ShareOf(sum);
}

auto WorstWindow(const std::map<int64_t, Owed>& windows) -> double {
  std::vector<double> shares;
  shares.reserve(windows.size());
  for (const auto& [n, it] : windows) {
    shares.push_back(ShareOf(it));
  }
  if (shares.empty()) {
    return 1;
  }
  std::sort(shares.begin(), shares.end());
  const auto n = std::min(shares.size(), kWorstWindows);
  double sum = 0;
  for (size_t i = 0; i < n; ++i) {
    sum += shares[i];
  }
  return sum / static_cast<double>(n);
}

auto Ratio(uint64_t part, uint64_t whole) -> double {
  return whole == 0 ? 0
                    : static_cast<double>(part) / static_cast<double>(whole);
}

struct Counts {
  uint64_t owed = 0, refused = 0, late = 0, lost = 0, refused_late = 0;
  uint64_t returned = 0, returned_in_time = 0;
  milliseconds waited{};
  std::vector<double> refusal_ms;
};

auto CountRecord(const Day& day, const JobRecord& record, Counts& out) -> void {
  const auto& job = day.jobs[record.job];
  if (!job.owed) {
    return;
  }
  const auto in_time = IsDone(record) && TimeOf(record) <= job.objective;
  if (record.returned) {
    ++out.returned;
    out.waited += record.waited;
    out.returned_in_time += in_time ? 1 : 0;
    return;
  }
  ++out.owed;
  if (record.outcome == JobOutcome::kRefused) {
    ++out.refused;
    out.refusal_ms.push_back(
        std::chrono::duration<double, std::milli>(TimeOf(record)).count());
    out.refused_late += TimeOf(record) > job.objective / 4 ? 1 : 0;
  } else if (IsDone(record)) {
    out.late += in_time ? 0 : 1;
  } else {
    ++out.lost;
  }
}

}  // namespace

auto CreditsOf(const Day& day, const Played& played) -> Credits {
  Credits out(day.jobs.size());
  for (const auto& it : played.records) {
    if (!it.returned) {
      out[it.job] = CreditOf(day.jobs[it.job], it);
    }
  }
  return out;
}

auto SharesOf(const Day& day, const Credits& credits) -> CreditShares {
  Owed all;
  Owed bursts;
  Owed steady;
  std::vector<Owed> kinds(day.shape.kinds.size());
  std::vector<Owed> zones(day.shape.zones.size());
  std::map<int64_t, Owed> windows;
  for (size_t i = 0; i < day.jobs.size(); ++i) {
    const auto& job = day.jobs[i];
    if (!job.owed) {
      continue;
    }
    auto& part = InBurst(day, job) ? bursts : steady;
    for (auto* it : {&all, &part, &kinds[job.kind], &zones[job.zone],
                     &windows[job.arrives / kWindow]}) {
      it->earned += credits[i];
      it->owed += job.worth;
    }
  }
  CreditShares out;
  out.day = ShareOf(all);
  out.bursts = ShareOf(bursts);
  out.steady = ShareOf(steady);
  for (const auto& it : kinds) {
    out.kinds.push_back(ShareOf(it));
  }
  for (const auto& it : zones) {
    out.zones.push_back(ShareOf(it));
  }
  out.largest = LargestShareOf(day, credits);
  out.worst_kind = std::min(
      out.largest, *std::min_element(out.kinds.begin(), out.kinds.end()));
  out.worst_zone = *std::min_element(out.zones.begin(), out.zones.end());
  out.worst_window = WorstWindow(windows);
  const auto& shape = day.shape;
  out.mark = shape.day_weight * out.day + shape.kind_weight * out.worst_kind +
             shape.zone_weight * out.worst_zone +
             shape.window_weight * out.worst_window;
  return out;
}

auto AccountOf(const Day& day, const Played& played) -> Account {
  Counts counts;
  for (const auto& it : played.records) {
    CountRecord(day, it, counts);
  }
  Account out;
  out.shares = SharesOf(day, CreditsOf(day, played));
  out.refused = Ratio(counts.refused, counts.owed);
  out.late = Ratio(counts.late, counts.owed);
  out.lost = Ratio(counts.lost, counts.owed);
  out.refused_late = Ratio(counts.refused_late, counts.owed);
  out.refusal_p50_ms = Percentile(counts.refusal_ms, 0.5);
  out.wasted_core_s = played.wasted_core_ms / 1000;
  out.returned = counts.returned;
  out.return_wait_ms =
      Ratio(static_cast<uint64_t>(counts.waited.count()), counts.returned);
  out.returned_in_time = Ratio(counts.returned_in_time, counts.returned);
  return out;
}

auto MeanOf(const std::vector<Account>& accounts) -> Account {
  Account out;
  if (accounts.empty()) {
    return out;
  }
  const auto n = static_cast<double>(accounts.size());
  out.shares.kinds.resize(accounts.front().shares.kinds.size());
  out.shares.zones.resize(accounts.front().shares.zones.size());
  for (const auto& it : accounts) {
    out.shares.day += it.shares.day / n;
    out.shares.worst_kind += it.shares.worst_kind / n;
    out.shares.worst_zone += it.shares.worst_zone / n;
    out.shares.worst_window += it.shares.worst_window / n;
    out.shares.bursts += it.shares.bursts / n;
    out.shares.steady += it.shares.steady / n;
    out.shares.mark += it.shares.mark / n;
    out.shares.largest += it.shares.largest / n;
    for (size_t i = 0; i < out.shares.kinds.size(); ++i) {
      out.shares.kinds[i] += it.shares.kinds[i] / n;
    }
    for (size_t i = 0; i < out.shares.zones.size(); ++i) {
      out.shares.zones[i] += it.shares.zones[i] / n;
    }
    out.refused += it.refused / n;
    out.late += it.late / n;
    out.lost += it.lost / n;
    out.refused_late += it.refused_late / n;
    out.refusal_p50_ms += it.refusal_p50_ms / n;
    out.wasted_core_s += it.wasted_core_s / n;
    out.returned_in_time += it.returned_in_time / n;
    out.return_wait_ms += it.return_wait_ms / n;
    out.returned += it.returned;
  }
  return out;
}

}  // namespace boragecroft::bench
