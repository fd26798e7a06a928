// What the process tests share: settings with short times and questions about
// an id to every instance.
#ifndef TESTS_PROCESS_PROCESS_FIXTURE_H_
#define TESTS_PROCESS_PROCESS_FIXTURE_H_

#include <gtest/gtest.h>

#include <string>
#include <vector>

#include "tests/lab/caller.h"
#include "tests/lab/cluster.h"

namespace boragecroft::lab {

// Three zones with one instance each unless told otherwise, and short times.
auto MakeFixtureOptions(milliseconds balancer_grace = milliseconds(300))
    -> ClusterOptions;

// Tasks of `id` that started, and the most starts of one of them.
struct JobStartCounts {
  int tasks = 0;
  int max_starts_per_task = 0;
};
auto CountStartsOfJob(const StartCounts& counts, const std::string& id)
    -> JobStartCounts;
auto TaskName(const std::string& id, int index) -> std::string;

// Every running instance says the same final thing about an id; returns it.
auto ExpectSameFinalAnswer(Cluster& cluster,
                           const std::vector<size_t>& instances,
                           const std::string& id,
                           const std::string& partner) -> JsonReply;

// What an answer says of each task agrees with what the endpoints counted.
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
