// What the process tests share: settings with short times and questions about
// an id to every instance.
#ifndef TESTS_PROCESS_STORY_H_
#define TESTS_PROCESS_STORY_H_

#include <gtest/gtest.h>

#include <string>
#include <vector>

#include "tests/lab/caller.h"
#include "tests/lab/cluster.h"

namespace boragecroft::lab {

// Three zones with one instance each unless told otherwise, and short times.
auto StoryOptions(milliseconds balancer_grace = milliseconds(300))
    -> ClusterOptions;

// Tasks of `id` that started, and the most starts of one of them.
struct StartsOfJob {
  int tasks = 0;
  int most = 0;
};
auto StartsOf(const StartCounts& counts, const std::string& id) -> StartsOfJob;
auto TaskName(const std::string& id, int index) -> std::string;

// Every running instance says the same final thing about an id; returns it.
auto ExpectOneAnswer(Cluster& cluster,
                     const std::vector<size_t>& instances,
                     const std::string& id,
                     const std::string& partner) -> JsonReply;

// What an answer says of each task agrees with what the endpoints counted.
auto ExpectTrue(const JsonReply& answer,
                const StartCounts& counts,
                const JobSpec& job) -> void;

class Story : public testing::Test {
 protected:
  explicit Story(ClusterOptions options = StoryOptions())
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

#endif  // TESTS_PROCESS_STORY_H_
