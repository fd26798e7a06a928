#include "servers/health/outlier_detector.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <iostream>

#include <rapidcheck/gtest.h>

#include "tests/servers/health/simulated_fleet.h"

namespace boragecroft {
namespace {

const ProbeTask kLetter{{"cartas", "letter"}, true};

struct OutlierDetectorTest : testing::Test {
  OutlierDetector outlier_detector;
  Now now{Instant(seconds(1000)), WallTime()};
  uint64_t jobs = 0;

  OutlierDetectorTest() { SetPoolSize(outlier_detector, "cartas", 16); }

  auto Record(uint32_t worker,
              Outcome outcome,
              const std::string& kind = "letter",
              uint64_t job = 0) -> EjectionUpdate {
    const JobId id{.sequence = job != 0 ? job : ++jobs};
    return RecordOutcome(outlier_detector,
                         {{worker}, id, {"cartas", kind}, outcome, now.boot},
                         now);
  }
  // Records four successful tasks of a kind on each worker from `first` on.
  auto RecordSuccesses(const std::string& kind = "letter", uint32_t first = 0)
      -> void {
    for (auto worker = first; worker < 16; ++worker) {
      for (auto n = 0; n < 4; ++n) {
        Record(worker, Outcome::kDone, kind);
      }
    }
  }
  auto FailUntilEjected(uint32_t worker,
                        Outcome outcome,
                        const std::string& kind = "letter") -> int {
    for (auto n = 1; n <= 50; ++n) {
      if (Record(worker, outcome, kind).kind == EjectionChange::kEjected) {
        return n;
      }
    }
    return 0;
  }
  auto IsEjected(uint32_t worker, const std::string& kind = "letter") const
      -> bool {
    const auto ids =
        FindExclusions(outlier_detector, {{"cartas", kind}, true}, now)
            .excluded;
    return std::find(ids.begin(), ids.end(), WorkerId{worker}) != ids.end();
  }
};

TEST_F(OutlierDetectorTest,
       EjectsWorkerAfterFewFailuresOfTasksThatRunElsewhere) {
  RecordSuccesses();
  const auto tasks = FailUntilEjected(3, Outcome::kFailed);
  EXPECT_GE(tasks, 3);
  EXPECT_LE(tasks, 6);
  EXPECT_TRUE(IsEjected(3));
}

TEST_F(OutlierDetectorTest, EjectsNobodyWhenJobFailsEverywhere) {
  RecordSuccesses();
  for (uint32_t n = 0; n < 2000; ++n) {
    EXPECT_EQ(Record(n % 16, Outcome::kFailed, "letter", 1'000'000).kind,
              EjectionChange::kUnchanged);
  }
}

TEST_F(OutlierDetectorTest, EjectsForSingleJobOnlyWhenItRunsOnOtherWorkers) {
  RecordSuccesses();
  for (auto n = 0; n < 30; ++n) {
    EXPECT_EQ(Record(3, Outcome::kFailed, "letter", 1'000'000).kind,
              EjectionChange::kUnchanged);
  }
  Record(4, Outcome::kDone, "letter", 1'000'000);
  Record(5, Outcome::kDone, "letter", 1'000'000);
  EXPECT_EQ(Record(3, Outcome::kFailed, "letter", 1'000'000).kind,
            EjectionChange::kEjected);
}

TEST_F(OutlierDetectorTest, EjectsWorkerForSingleKindWhenOnlyThatKindFails) {
  RecordSuccesses("letter");
  RecordSuccesses("scan", 1);
  for (auto n = 0; n < 100 && !IsEjected(0, "scan"); ++n) {
    for (auto i = 0; i < 5; ++i) {
      Record(0, Outcome::kDone, "letter");
    }
    Record(0, Outcome::kFailed, "scan");
  }
  EXPECT_TRUE(IsEjected(0, "scan"));
  EXPECT_FALSE(IsEjected(0, "letter"));
}

TEST_F(OutlierDetectorTest, EjectionForAllKindsReplacesEjectionForSingleKind) {
  RecordSuccesses("letter");
  RecordSuccesses("scan");
  SharedEjection shared;
  shared.subject.worker = {3};
  shared.service = "cartas";
  for (const auto* kind : {"scan", ""}) {
    shared.subject.kind = kind;
    ++shared.sequence;
    ApplyPeerEjection(outlier_detector, "a", shared, now);
    ApplyPeerEjection(outlier_detector, "b", shared, now);
    EXPECT_TRUE(IsEjected(3, "scan"));
  }
  EXPECT_EQ(outlier_detector.ejections.size(), 1U);
}

TEST_F(OutlierDetectorTest,
       MissingResponsesAndFailedConnectsCountLessThanFailures) {
  RecordSuccesses();
  const auto failures = FailUntilEjected(3, Outcome::kFailed);
  const auto missing_responses = FailUntilEjected(4, Outcome::kNoResponse);
  const auto connects = FailUntilEjected(5, Outcome::kConnectFailed);
  EXPECT_LT(failures, missing_responses);
  EXPECT_LT(failures, connects);
  EXPECT_LE(std::max(missing_responses, connects), 12);
}

TEST_F(OutlierDetectorTest, ProbesOneAtATimeAtGrowingIntervals) {
  RecordSuccesses();
  FailUntilEjected(3, Outcome::kFailed);
  auto interval = microseconds(seconds(1));
  for (auto n = 0; n < 8; ++n) {
    now.boot += interval - milliseconds(1);
    EXPECT_FALSE(StartProbe(outlier_detector, {3}, kLetter, now));
    now.boot += milliseconds(1);
    EXPECT_TRUE(StartProbe(outlier_detector, {3}, kLetter, now));
    EXPECT_FALSE(StartProbe(outlier_detector, {3}, kLetter, now))
        << "only one probe at a time";
    Record(3, Outcome::kFailed);
    interval = std::min<microseconds>(interval * 2, seconds(64));
  }
  now.boot += interval;
  StartProbe(outlier_detector, {3}, kLetter, now);
  EXPECT_EQ(Record(3, Outcome::kDone).kind, EjectionChange::kReadmitted);
  EXPECT_FALSE(IsEjected(3));
  FailUntilEjected(3, Outcome::kFailed);
  now.boot += seconds(30);
  EXPECT_FALSE(StartProbe(outlier_detector, {3}, kLetter, now))
      << "earlier ejections are remembered";
}

TEST_F(OutlierDetectorTest, DoesNotReadmitForAttemptStartedBeforeProbe) {
  RecordSuccesses();
  FailUntilEjected(3, Outcome::kFailed);
  const auto before = now.boot;
  now.boot += seconds(1);
  StartProbe(outlier_detector, {3}, kLetter, now);
  RecordOutcome(
      outlier_detector,
      {{3}, {.sequence = 9}, {"cartas", "letter"}, Outcome::kDone, before},
      now);
  EXPECT_TRUE(IsEjected(3));
}

TEST_F(OutlierDetectorTest, AllowsNewProbeWhenProbeIsRefused) {
  RecordSuccesses();
  FailUntilEjected(3, Outcome::kFailed);
  now.boot += seconds(1);
  ASSERT_TRUE(StartProbe(outlier_detector, {3}, kLetter, now));
  CancelProbe(outlier_detector, {3}, kLetter.kind);
  EXPECT_TRUE(IsEjected(3));
  EXPECT_TRUE(StartProbe(outlier_detector, {3}, kLetter, now));
}

TEST_F(OutlierDetectorTest, ProbesWithNonRepeatableTaskOnlyWhenNoOtherCame) {
  RecordSuccesses();
  FailUntilEjected(3, Outcome::kFailed);
  const ProbeTask letter{kLetter.kind, false};
  now.boot += seconds(30);
  EXPECT_FALSE(StartProbe(outlier_detector, {3}, letter, now));
  now.boot += seconds(1);
  EXPECT_TRUE(StartProbe(outlier_detector, {3}, letter, now));
}

TEST_F(OutlierDetectorTest,
       PeerEjectionsAddEvidenceButOwnSuccessesOutweighThem) {
  RecordSuccesses();
  FailUntilEjected(3, Outcome::kFailed);
  FailUntilEjected(4, Outcome::kConnectFailed);
  const auto shared = ListSharedEjections(outlier_detector);
  ASSERT_EQ(shared.size(), 1U) << "failed connects are not shared";

  outlier_detector = {};
  SetPoolSize(outlier_detector, "cartas", 16);
  RecordSuccesses();
  for (auto n = 0; n < 5; ++n) {
    ApplyPeerEjection(outlier_detector, "a", shared[0], now);
  }
  EXPECT_FALSE(IsEjected(3)) << "a repeated ejection counts once";
  RecordSuccesses();
  ApplyPeerEjection(outlier_detector, "b", shared[0], now);
  EXPECT_FALSE(IsEjected(3)) << "own successes outweigh it";
  EXPECT_EQ(ApplyPeerEjection(outlier_detector, "c", shared[0], now).kind,
            EjectionChange::kEjected);
  EXPECT_TRUE(ListSharedEjections(outlier_detector).empty())
      << "peer ejections are not shared";
}

TEST_F(OutlierDetectorTest, StragglerWeightRecoversWithTime) {
  RecordStraggler(outlier_detector, {3}, now);
  EXPECT_DOUBLE_EQ(StragglerWeight(outlier_detector, {3}, now), 0.5);
  now.boot += seconds(60);
  EXPECT_GT(StragglerWeight(outlier_detector, {3}, now), 0.95);
  EXPECT_EQ(StragglerWeight(outlier_detector, {4}, now), 1);
}

RC_GTEST_FIXTURE_PROP(OutlierDetectorTest, EjectsNoMoreThanCap, ()) {
  outlier_detector.max_ejected_percent = *rc::gen::inRange(0, 101);
  const auto workers = *rc::gen::inRange<uint32_t>(1, 17);
  SetPoolSize(outlier_detector, "cartas", workers);
  for (auto n = 0; n < 400; ++n) {
    now.boot += milliseconds(*rc::gen::inRange(0, 300));
    const auto worker = *rc::gen::inRange<uint32_t>(0, workers);
    const std::string kind = *rc::gen::element("letter", "scan");
    StartProbe(outlier_detector, {worker}, {{"cartas", kind}, true}, now);
    Record(worker, static_cast<Outcome>(*rc::gen::inRange(0, 4)), kind);
    RC_ASSERT(FindExclusions(outlier_detector, {{"cartas", kind}, true}, now)
                      .excluded.size() *
                  100 <=
              workers * outlier_detector.max_ejected_percent);
  }
}

struct SimulatedFleetTest : testing::TestWithParam<uint64_t> {};

TEST_P(SimulatedFleetTest, EjectsWorkerThatFailsEverythingSoonAndAtLittleCost) {
  const auto outcome = Simulate({.bad_workers = {7}, .seed = GetParam()});
  EXPECT_TRUE(outcome.all_bad_workers_ejected);
  EXPECT_LE(outcome.last_ejection_after, seconds(2));
  EXPECT_LT(outcome.failed_by_bad_workers * 100, outcome.starts);
  EXPECT_EQ(outcome.wrong_ejections, 0U);
  RecordProperty("put_aside_us",
                 static_cast<int>(outcome.last_ejection_after.count()));
  RecordProperty("failed", static_cast<int>(outcome.failed_by_bad_workers));
  RecordProperty("starts", static_cast<int>(outcome.starts));
}

TEST_P(SimulatedFleetTest, EjectsNobodyWhenJobsAlwaysFail) {
  const auto outcome =
      Simulate({.one_job_in_ten_fails = true, .seed = GetParam()});
  EXPECT_EQ(outcome.wrong_ejections, 0U);
}

TEST_P(SimulatedFleetTest, DistinguishesBadWorkersFromBadJobs) {
  const auto outcome = Simulate({.bad_workers = {2, 7, 11},
                                 .one_job_in_ten_fails = true,
                                 .seed = GetParam()});
  EXPECT_TRUE(outcome.all_bad_workers_ejected);
  EXPECT_LE(outcome.last_ejection_after, seconds(2));
  EXPECT_EQ(outcome.wrong_ejections, 0U);
}

INSTANTIATE_TEST_SUITE_P(Seeds,
                         SimulatedFleetTest,
                         testing::Range<uint64_t>(1, 9));

// Cost of a policy at a load, averaged over several seeds of the simulation.
struct PolicyCost {
  double busy_per_start = 0;
  double wait_ms = 0;
};

auto MeasurePolicy(DispatchPolicy policy, SimulatedFleet options)
    -> PolicyCost {
  options.policy = policy;
  SimulatedOutcome sum;
  for (uint64_t seed = 1; seed <= 6; ++seed) {
    options.seed = seed;
    const auto outcome = Simulate(options);
    sum.starts += outcome.starts;
    sum.busy += outcome.busy;
    sum.total_wait += outcome.total_wait;
  }
  const auto starts = static_cast<double>(sum.starts);
  return {static_cast<double>(sum.busy) / starts,
          static_cast<double>(sum.total_wait.count()) / starts / 1000};
}

struct PolicyTest : testing::TestWithParam<SimulatedFleet> {};

TEST_P(PolicyTest, FairPolicyWastesFarFewerMessagesForLittleMoreWaiting) {
  const auto fair = MeasurePolicy(DispatchPolicy::kFair, GetParam());
  for (const auto other :
       {DispatchPolicy::kRoundRobin, DispatchPolicy::kTwoChoices}) {
    const auto cost = MeasurePolicy(other, GetParam());
    std::cout << "load " << GetParam().load << ", busy answers per start "
              << fair.busy_per_start << " against " << cost.busy_per_start
              << ", wait " << fair.wait_ms << " ms against " << cost.wait_ms
              << " ms\n";
    EXPECT_LT(fair.busy_per_start, cost.busy_per_start * 0.75);
    EXPECT_LT(fair.wait_ms, cost.wait_ms * 1.25 + 4);
  }
}

INSTANTIATE_TEST_SUITE_P(Loads,
                         PolicyTest,
                         testing::Values(SimulatedFleet{.load = 0.5},
                                         SimulatedFleet{.load = 0.8},
                                         SimulatedFleet{.load = 0.95},
                                         SimulatedFleet{.workers = 98,
                                                        .instances = 16,
                                                        .load = 0.8,
                                                        .length = seconds(5)}));

}  // namespace
}  // namespace boragecroft
