#include "bench/load/report.h"

#include <unistd.h>

#include <algorithm>
#include <cmath>
#include <fstream>
#include <iomanip>
#include <iostream>
#include <map>
#include <sstream>

namespace boragecroft::bench {
namespace {

// Number of fields in /proc/PID/stat between the process name and the user
// time. The first of them is the state.
constexpr int kFieldsBeforeUserTime = 11;

auto Milliseconds(microseconds time) -> double {
  return static_cast<double>(time.count()) / 1000;
}

}  // namespace

auto PrintFigure(const Reporter& reporter,
                 const std::string& figure,
                 double value,
                 const std::string& unit) -> void {
  std::cout << "{\"bench\":\"" << reporter.bench << "\",\"figure\":\"" << figure
            << "\",\"value\":" << std::setprecision(10)
            << std::round(value * 10000) / 10000 << ",\"unit\":\"" << unit
            << "\",\"seed\":" << reporter.seed << ",\"command\":\""
            << reporter.command << "\"}" << std::endl;
}

auto LoadAverage() -> double {
  double average = 0;
  std::ifstream("/proc/loadavg") >> average;
  return average;
}

auto PrintLoadAverage(const Reporter& reporter, const std::string& figure)
    -> void {
  PrintFigure(reporter, figure, LoadAverage(), "runnable");
}

auto Percentile(std::vector<double> values, double quantile) -> double {
  if (values.empty()) {
    return 0;
  }
  const auto last = static_cast<double>(values.size() - 1);
  const auto at =
      values.begin() + static_cast<ptrdiff_t>(std::lround(quantile * last));
  std::nth_element(values.begin(), at, values.end());
  return *at;
}

auto ProcessorTime(pid_t pid) -> microseconds {
  std::ifstream file("/proc/" + std::to_string(pid) + "/stat");
  std::string text;
  std::getline(file, text);
  std::istringstream fields(text.substr(text.rfind(')') + 1));
  std::string skipped;
  for (auto i = 0; i < kFieldsBeforeUserTime; ++i) {
    fields >> skipped;
  }
  int64_t user = 0;
  int64_t system = 0;
  fields >> user >> system;
  return microseconds((user + system) * 1000000 / sysconf(_SC_CLK_TCK));
}

auto ResidentBytes(pid_t pid) -> uint64_t {
  std::ifstream file("/proc/" + std::to_string(pid) + "/statm");
  uint64_t size = 0;
  uint64_t resident = 0;
  file >> size >> resident;
  return resident * static_cast<uint64_t>(sysconf(_SC_PAGESIZE));
}

auto CountWakeUps(pid_t pid) -> uint64_t {
  std::ifstream file("/proc/" + std::to_string(pid) + "/status");
  std::string line;
  const std::string name = "voluntary_ctxt_switches:";
  while (std::getline(file, line)) {
    if (line.starts_with(name)) {
      return std::stoull(line.substr(name.size()));
    }
  }
  return 0;
}

auto Summarise(const std::vector<PlannedRequest>& plan,
               const std::vector<RequestOutcome>& outcomes,
               const std::string& stream,
               microseconds from,
               microseconds to) -> StreamReport {
  StreamReport report;
  for (size_t i = 0; i < plan.size(); ++i) {
    const auto& planned = plan[i];
    const auto& outcome = outcomes[i];
    if (planned.stream != stream || planned.at < from || planned.at >= to) {
      continue;
    }
    ++report.requests;
    if (outcome.state != "done") {
      report.refused += outcome.state == "refused" ? 1 : 0;
      report.failed += outcome.state == "failed" ? 1 : 0;
      report.other +=
          outcome.state != "refused" && outcome.state != "failed" ? 1 : 0;
      continue;
    }
    const auto response = outcome.ended - planned.at;
    ++report.done;
    report.done_tasks += planned.tasks;
    if (planned.deadline.count() == 0 || response <= planned.deadline) {
      ++report.deadline_hits;
      report.deadline_hit_tasks += planned.tasks;
    }
    report.response_ms.push_back(Milliseconds(response));
    if (planned.ideal_response.count() > 0) {
      report.ratios.push_back(
          static_cast<double>(response.count()) /
          static_cast<double>(planned.ideal_response.count()));
    }
  }
  return report;
}

auto PrintFailureReasons(const std::vector<PlannedRequest>& plan,
                         const std::vector<RequestOutcome>& outcomes) -> void {
  constexpr size_t kShownBytes = 100;
  std::map<std::string, size_t> reasons;
  for (size_t i = 0; i < plan.size(); ++i) {
    const auto& outcome = outcomes[i];
    if (outcome.state != "done" && outcome.state != "active") {
      ++reasons[plan[i].stream + ": " + std::to_string(outcome.status) + " " +
                outcome.state + " " + outcome.detail.substr(0, kShownBytes)];
    }
  }
  for (const auto& [reason, n] : reasons) {
    std::cerr << "  " << n << " x " << reason << "\n";
  }
}

}  // namespace boragecroft::bench
