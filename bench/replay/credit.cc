#include "bench/replay/credit.h"

#include <algorithm>
#include <map>

#include "bench/load/report.h"

namespace boragecroft::bench {
namespace {

constexpr microseconds kWindow = seconds{2};
// Half of the time that callers wait.
constexpr milliseconds kLongHold{750};
constexpr size_t kWorstWindows = 2;

struct CreditSum {
  double earned = 0;
  double possible = 0;
};

auto ShareOf(const CreditSum& it) -> double {
  return it.possible > 0 ? it.earned / it.possible : 1;
}

auto TimeOf(const JobRecord& record) -> microseconds {
  return record.answered - record.sent;
}

// Returns how long the caller waited, until its answer or until it left.
auto HoldOf(const WorkloadJob& job, const JobRecord& record) -> microseconds {
  return record.outcome && !record.caller_left ? TimeOf(record)
                                               : job.leaves_after;
}

auto IsDone(const JobRecord& record) -> bool {
  return record.outcome == JobOutcome::kDone && !record.caller_left;
}

auto CreditOf(const WorkloadJob& job, const JobRecord& record) -> double {
  if (!IsDone(record)) {
    return 0;
  }
  const auto time = TimeOf(record);
  if (time <= job.objective) {
    return job.worth;
  }
  return time <= job.objective * kLateObjectives ? job.worth * kLateWorth : 0;
}

auto InBurst(const Workload& workload, const WorkloadJob& job) -> bool {
  return std::any_of(workload.shape.bursts.begin(), workload.shape.bursts.end(),
                     [&](const Burst& it) {
                       return it.from <= job.arrives &&
                              job.arrives < it.from + it.time;
                     });
}

auto LongestKind(const Workload& workload) -> size_t {
  const auto& kinds = workload.shape.kinds;
  const auto it = std::max_element(kinds.begin(), kinds.end(),
                                   [](const KindShape& a, const KindShape& b) {
                                     return a.mean_work < b.mean_work;
                                   });
  return static_cast<size_t>(it - kinds.begin());
}

// Returns the counted jobs of a kind, the largest first.
auto BySize(const Workload& workload, size_t kind) -> std::vector<size_t> {
  std::vector<std::pair<double, size_t>> by_size;
  for (size_t i = 0; i < workload.jobs.size(); ++i) {
    if (workload.jobs[i].kind == kind && workload.jobs[i].counted) {
      by_size.emplace_back(-CoreWorkOf(workload.jobs[i]), i);
    }
  }
  std::sort(by_size.begin(), by_size.end());
  std::vector<size_t> out;
  out.reserve(by_size.size());
  for (const auto& [size, i] : by_size) {
    out.push_back(i);
  }
  return out;
}

// Returns the shares of a kind by size. `possible` holds what each job could
// have earned.
auto SizeSharesOf(const Workload& workload,
                  size_t kind,
                  const Credits& earned,
                  const Credits& possible) -> SizeShares {
  const auto order = BySize(workload, kind);
  // Returns the share of the jobs between two tenths of the order.
  const auto between = [&](size_t from, size_t until) {
    CreditSum sum;
    for (auto n = order.size() * from / 10; n < order.size() * until / 10;
         ++n) {
      sum.earned += earned[order[n]];
      sum.possible += possible[order[n]];
    }
    return ShareOf(sum);
  };
  SizeShares out;
  out.all = between(0, 10);
  out.largest = between(0, 1);
  out.next_fifth = between(1, 3);
  for (size_t i = 0; i < out.tenths.size(); ++i) {
    out.tenths.at(i) = between(i, i + 1);
  }
  return out;
}

auto SizeSharesOf(const Workload& workload,
                  const Credits& earned,
                  const Credits& possible) -> std::vector<SizeShares> {
  std::vector<SizeShares> out;
  for (size_t kind = 0; kind < workload.shape.kinds.size(); ++kind) {
    out.push_back(SizeSharesOf(workload, kind, earned, possible));
  }
  return out;
}

auto AddPart(std::vector<SizeShares>& sum,
             const std::vector<SizeShares>& part,
             double n) -> void {
  for (size_t i = 0; i < part.size(); ++i) {
    sum[i].all += part[i].all / n;
    sum[i].largest += part[i].largest / n;
    sum[i].next_fifth += part[i].next_fifth / n;
    for (size_t k = 0; k < part[i].tenths.size(); ++k) {
      sum[i].tenths.at(k) += part[i].tenths.at(k) / n;
    }
  }
}

auto WorstWindow(const std::map<int64_t, CreditSum>& windows) -> double {
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
  uint64_t counted = 0, refused = 0, late = 0, lost = 0, refused_late = 0;
  uint64_t retried = 0, retried_in_time = 0;
  uint64_t held = 0;
  CreditSum held_worth;
  milliseconds waited{};
  std::vector<double> refusal_ms;
};

auto CountRecord(const Workload& workload, const JobRecord& record, Counts& out)
    -> void {
  const auto& job = workload.jobs[record.job];
  if (!job.counted) {
    return;
  }
  const auto in_time = IsDone(record) && TimeOf(record) <= job.objective;
  if (record.is_retry) {
    ++out.retried;
    out.waited += record.waited;
    out.retried_in_time += in_time ? 1 : 0;
    return;
  }
  ++out.counted;
  const auto held = !IsDone(record) && HoldOf(job, record) > kLongHold;
  out.held += held ? 1 : 0;
  out.held_worth.earned += held ? job.worth : 0;
  out.held_worth.possible += job.worth;
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

auto CreditsOf(const Workload& workload, const SimulationResult& result)
    -> Credits {
  Credits out(workload.jobs.size());
  for (const auto& it : result.records) {
    if (!it.is_retry) {
      out[it.job] = CreditOf(workload.jobs[it.job], it);
    }
  }
  return out;
}

auto SharesOf(const Workload& workload, const Credits& credits)
    -> CreditShares {
  CreditSum all;
  CreditSum bursts;
  CreditSum steady;
  std::vector<CreditSum> kinds(workload.shape.kinds.size());
  std::vector<CreditSum> zones(workload.shape.zones.size());
  std::map<int64_t, CreditSum> windows;
  for (size_t i = 0; i < workload.jobs.size(); ++i) {
    const auto& job = workload.jobs[i];
    if (!job.counted) {
      continue;
    }
    auto& part = InBurst(workload, job) ? bursts : steady;
    for (auto* it : {&all, &part, &kinds[job.kind], &zones[job.zone],
                     &windows[job.arrives / kWindow]}) {
      it->earned += credits[i];
      it->possible += job.worth;
    }
  }
  CreditShares out;
  out.total = ShareOf(all);
  out.bursts = ShareOf(bursts);
  out.steady = ShareOf(steady);
  for (const auto& it : kinds) {
    out.kinds.push_back(ShareOf(it));
  }
  for (const auto& it : zones) {
    out.zones.push_back(ShareOf(it));
  }
  Credits worths;
  for (const auto& it : workload.jobs) {
    worths.push_back(it.worth);
  }
  out.sizes = SizeSharesOf(workload, credits, worths);
  out.largest = out.sizes.at(LongestKind(workload)).largest;
  out.worst_kind = std::min(
      out.largest, *std::min_element(out.kinds.begin(), out.kinds.end()));
  out.worst_zone = *std::min_element(out.zones.begin(), out.zones.end());
  out.worst_window = WorstWindow(windows);
  const auto& shape = workload.shape;
  out.mark = shape.total_weight * out.total +
             shape.kind_weight * out.worst_kind +
             shape.zone_weight * out.worst_zone +
             shape.window_weight * out.worst_window;
  return out;
}

auto ServedSharesOf(const Workload& workload, const Credits& served)
    -> std::vector<SizeShares> {
  return SizeSharesOf(workload, served, Credits(workload.jobs.size(), 1));
}

auto SummarizeCredit(const Workload& workload, const SimulationResult& result)
    -> CreditSummary {
  Counts counts;
  Credits served(workload.jobs.size());
  for (const auto& it : result.records) {
    CountRecord(workload, it, counts);
    if (!it.is_retry) {
      served[it.job] = IsDone(it) ? 1 : 0;
    }
  }
  CreditSummary out;
  out.served = ServedSharesOf(workload, served);
  out.shares = SharesOf(workload, CreditsOf(workload, result));
  out.refused = Ratio(counts.refused, counts.counted);
  out.late = Ratio(counts.late, counts.counted);
  out.lost = Ratio(counts.lost, counts.counted);
  out.held = Ratio(counts.held, counts.counted);
  out.held_worth = ShareOf(counts.held_worth);
  out.refused_late = Ratio(counts.refused_late, counts.counted);
  out.refusal_p50_ms = Percentile(counts.refusal_ms, 0.5);
  out.wasted_core_s = result.wasted_core_ms / 1000;
  out.retried = counts.retried;
  out.retry_wait_ms =
      Ratio(static_cast<uint64_t>(counts.waited.count()), counts.retried);
  out.retried_in_time = Ratio(counts.retried_in_time, counts.retried);
  return out;
}

auto MeanOf(const std::vector<CreditSummary>& summaries) -> CreditSummary {
  CreditSummary out;
  if (summaries.empty()) {
    return out;
  }
  const auto n = static_cast<double>(summaries.size());
  out.shares.kinds.resize(summaries.front().shares.kinds.size());
  out.shares.zones.resize(summaries.front().shares.zones.size());
  const SizeShares none{.all = 0, .largest = 0, .next_fifth = 0};
  out.shares.sizes.resize(summaries.front().shares.sizes.size(), none);
  out.served.resize(summaries.front().served.size(), none);
  for (const auto& it : summaries) {
    out.shares.total += it.shares.total / n;
    out.shares.worst_kind += it.shares.worst_kind / n;
    out.shares.worst_zone += it.shares.worst_zone / n;
    out.shares.worst_window += it.shares.worst_window / n;
    out.shares.bursts += it.shares.bursts / n;
    out.shares.steady += it.shares.steady / n;
    out.shares.mark += it.shares.mark / n;
    out.shares.largest += it.shares.largest / n;
    AddPart(out.shares.sizes, it.shares.sizes, n);
    AddPart(out.served, it.served, n);
    for (size_t i = 0; i < out.shares.kinds.size(); ++i) {
      out.shares.kinds[i] += it.shares.kinds[i] / n;
    }
    for (size_t i = 0; i < out.shares.zones.size(); ++i) {
      out.shares.zones[i] += it.shares.zones[i] / n;
    }
    out.refused += it.refused / n;
    out.late += it.late / n;
    out.lost += it.lost / n;
    out.held += it.held / n;
    out.held_worth += it.held_worth / n;
    out.refused_late += it.refused_late / n;
    out.refusal_p50_ms += it.refusal_p50_ms / n;
    out.wasted_core_s += it.wasted_core_s / n;
    out.retried_in_time += it.retried_in_time / n;
    out.retry_wait_ms += it.retry_wait_ms / n;
    out.retried += it.retried;
  }
  return out;
}

}  // namespace boragecroft::bench
