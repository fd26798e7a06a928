// Checks which overdue or late runs are moved, and what is recorded for their
// workers.
#include "servers/scheduling/run_watch.h"

#include "tests/servers/scheduling/scheduler_fixture.h"

namespace boragecroft {
namespace {

// Two workers that fit one task each run one job of two tasks of 900 ms, the
// second of which began 520 ms later. A third worker is twice as fast.
class TwoTaskJob : public SchedulerFixture {
 protected:
  void SetUp() override {
    Begin({MakeEntry("w1", 15'000), MakeEntry("w2", 15'000)});
    auto other = MakeOffer(9, 1);
    other.kind = "other";
    Offer(other);
    Take<StartCommand>();
    auto offer = MakeOffer(1, 2);
    offer.run_estimate = milliseconds{900};
    Offer(offer);
    first = Take<StartCommand>().at(0);
    AnswerStart(first, OrderAnswer::kAccepted);
    now += milliseconds{520};
    const auto busy = first.target.worker == "w1" ? "w2" : "w1";
    AnswerRenewal(RenewalOf(busy), {},
                  {{1, {JobName{9}, 0}, 1, RunEnd::kDone}});
    second = Take<StartCommand>().at(0);
    AnswerStart(second, OrderAnswer::kAccepted);
  }

  auto RenewalOf(const std::string& worker) -> RenewCommand {
    for (const auto& it : Take<RenewCommand>()) {
      renewals[it.target.worker] = it;
    }
    return renewals.at(worker);
  }

  auto AddFastWorker() -> void {
    state.run_times.workers["w3"] = {.value = -0.7, .observations = 100};
    OnWorkerEntry(state, MakeEntry("w3", 15'000), now, out);
    AnswerRenewal(RenewalOf("w3"), {}, {});
  }

  // Ends the first task, then lets the worker of the second one report.
  auto EndFirst() -> void {
    now += milliseconds{380};
    AnswerRenewal(RenewalOf(first.target.worker), {},
                  {{1, first.task, 1, RunEnd::kDone}});
    ReportSecond();
  }

  auto ReportSecond() -> void {
    AnswerRenewal(RenewalOf(second.target.worker),
                  {{.task = second.task, .attempt = second.attempt}}, {});
  }

  StartCommand first;
  StartCommand second;
  std::map<std::string, RenewCommand> renewals;
};

// The job's caller leaves after 1,500 ms. According to the run time of the
// first task, the second one ends after 1,420 ms, which is too late one time in
// three.
TEST_F(TwoTaskJob, MovesRunThatProbablyEndsAfterCallerLeaves) {
  AddFastWorker();
  EndFirst();
  const auto stops = Take<StopCommand>();
  ASSERT_EQ(stops.size(), 1U);
  EXPECT_EQ(stops[0].task, second.task);
}

TEST_F(TwoTaskJob, KeepsRunWhenNoFasterWorkerHasCapacity) {
  EndFirst();
  EXPECT_TRUE(Take<StopCommand>().empty());
}

TEST_F(TwoTaskJob, KeepsRunWhileNoTaskHasFinished) {
  AddFastWorker();
  now += milliseconds{380};
  ReportSecond();
  EXPECT_TRUE(Take<StopCommand>().empty());
}

TEST_F(TwoTaskJob, CountsOverdueRunAgainstItsWorkerOnce) {
  now += milliseconds{900 * 2 + 61};
  ReportSecond();
  EXPECT_EQ(state.counters.runs_overdue, 1U);
  EXPECT_LT(
      SpeedOf(state.run_times, state.workers.at(second.target.worker).entry),
      0.7);
  ReportSecond();
  EXPECT_EQ(state.counters.runs_overdue, 1U);
}

}  // namespace
}  // namespace boragecroft
