// Common parts of the process tests: a cluster with short intervals and
// time-outs, and checks of a job's answer against every instance and against
// the starts that the endpoints counted.
#ifndef TESTS_PROCESS_PROCESS_FIXTURE_H_
#define TESTS_PROCESS_PROCESS_FIXTURE_H_

#include <gtest/gtest.h>

#include <string>
#include <vector>

#include "tests/lab/caller.h"
#include "tests/lab/cluster.h"

namespace boragecroft::lab {

// Returns options with short intervals and time-outs. The zones and the number
// of instances are the defaults: three zones with one instance each.
auto MakeFixtureOptions(milliseconds balancer_grace = milliseconds(300))
    -> ClusterOptions;

// The number of tasks of one job that started, and the highest number of starts
// of any one of them.
struct JobStartCounts {
  int tasks = 0;
  int max_starts_per_task = 0;
};
auto CountStartsOfJob(const StartCounts& counts, const std::string& id)
    -> JobStartCounts;
auto TaskName(const std::string& id, int index) -> std::string;

// Expects that each of `instances` gives the same final answer for a job id,
// and returns that answer.
auto ExpectSameFinalAnswer(Cluster& cluster,
                           const std::vector<size_t>& instances,
                           const std::string& id,
                           const std::string& partner) -> JsonReply;

// Expects that the state which an answer gives for each task agrees with the
// starts that the endpoints counted, and that no task started twice.
auto ExpectAnswerMatchesStarts(const JsonReply& answer,
                               const StartCounts& counts,
                               const JobSpec& job) -> void;

class ProcessFixture : public testing::Test {
 protected:
  explicit ProcessFixture(ClusterOptions options = MakeFixtureOptions())
      : cluster(std::move(options)) {}

  auto Callers(size_t index) -> Address {
    return cluster.Instances().at(index).callers;
  }
  auto Operators(size_t index) -> Address {
    return cluster.Instances().at(index).operators;
  }
  auto NewJob(size_t owner, int tasks, int run_ms) -> JobSpec;

  Cluster cluster;
};

}  // namespace boragecroft::lab

#endif  // TESTS_PROCESS_PROCESS_FIXTURE_H_
