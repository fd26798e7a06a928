// Checks the waiting orders and placement rules that a replay compares with the
// default ones.
#include "servers/scheduling/policy.h"

#include "tests/servers/scheduling/scheduler_fixture.h"

namespace boragecroft {
namespace {

// A worker is fully used. A long job (3) has waited longest, then a short one
// (2), which has the earlier refusal time.
class AlternativeOrder : public SchedulerFixture {
 protected:
  auto FirstStartUnder(const SchedulingPolicy& policy) -> JobName {
    state.policy = policy;
    Begin({MakeEntry("w1", 15'000)});
    auto first = MakeOffer(1, 1);
    first.run_estimate = milliseconds{20};
    Offer(first);
    Take<StartCommand>();
    auto long_one = MakeOffer(3, 1);
    long_one.kind = "demand";
    long_one.run_estimate = milliseconds{400};
    Offer(long_one);
    now += milliseconds{1};
    Offer(MakeOffer(2, 1));
    now += milliseconds{15};
    AnswerRenewal(Take<RenewCommand>().at(0), {},
                  {{1, {JobName{1}, 0}, 1, RunEnd::kDone}});
    return Take<StartCommand>().at(0).task.job;
  }
};

TEST_F(AlternativeOrder, StartsEarliestRefusalFirstByDefault) {
  EXPECT_EQ(FirstStartUnder({}), JobName{2});
}

TEST_F(AlternativeOrder, StartsEarliestArrivalFirst) {
  EXPECT_EQ(FirstStartUnder(
                {.without_priorities = {.order = WaitingOrder::kArrival}}),
            JobName{3});
}

TEST_F(AlternativeOrder, StartsLeastSlackFirst) {
  EXPECT_EQ(FirstStartUnder(
                {.without_priorities = {.order = WaitingOrder::kLeastSlack}}),
            JobName{2});
}

TEST_F(AlternativeOrder, StartsHighestWorthDensityFirst) {
  EXPECT_EQ(
      FirstStartUnder({.without_priorities = {.order = WaitingOrder::kDensity},
                       .worth = {{"demand", 20}, {"reminder", 1}}}),
      JobName{3});
}

TEST_F(AlternativeOrder, StartsKindWithLeastUsageFirst) {
  // Job 1 was of the same kind as job 2.
  EXPECT_EQ(
      FirstStartUnder({.without_priorities = {.order = WaitingOrder::kFair}}),
      JobName{3});
}

class AlternativePlacement : public SchedulerFixture {
 protected:
  auto WorkersUnder(PlacementRule rule, uint32_t tasks)
      -> std::vector<std::string> {
    state.policy.placement = rule;
    Begin({MakeEntry("w1", 60'000), MakeEntry("w2", 60'000),
           MakeEntry("w3", 60'000)});
    Offer(MakeOffer(1, tasks));
    std::vector<std::string> ids;
    for (const auto& it : Take<StartCommand>()) {
      ids.push_back(it.target.worker);
    }
    return ids;
  }
};

TEST_F(AlternativePlacement, RoundRobinTakesWorkersInTurn) {
  const auto workers = WorkersUnder(PlacementRule::kRoundRobin, 3);
  ASSERT_EQ(workers.size(), 3U);
  EXPECT_NE(workers[0], workers[1]);
  EXPECT_NE(workers[1], workers[2]);
  EXPECT_NE(workers[0], workers[2]);
}

TEST_F(AlternativePlacement, TwoChoicesFillsAllCapacity) {
  EXPECT_EQ(WorkersUnder(PlacementRule::kTwoChoices, 12).size(), 12U);
}

TEST_F(AlternativePlacement, RuleSurvivesNewTerm) {
  WorkersUnder(PlacementRule::kRoundRobin, 1);
  EXPECT_EQ(state.policy.placement, PlacementRule::kRoundRobin);
}

}  // namespace
}  // namespace boragecroft
