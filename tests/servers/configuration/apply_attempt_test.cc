#include "servers/configuration/apply_attempt.h"

#include <gtest/gtest.h>
// RapidCheck's header must follow GoogleTest's.
#include <rapidcheck/gtest.h>

#include <map>

#include "tests/servers/configuration/documents.h"

namespace boragecroft {
namespace {

// The platform's table with one row and conditional writes. Answers can be lost
// and writes can arrive late.
class Table {
 public:
  enum class Fault { kNone, kLostBefore, kLostAfter, kLate };

  auto Read() const -> ConfigurationRow {
    if (version_ == 0) {
      return {};
    }
    return ReadConfigurationRow(version_, value_).value();
  }

  auto Write(const ApplyAttempt& attempt, Fault fault) -> WriteAnswer {
    if (fault == Fault::kLostBefore) {
      return {.kind = WriteAnswer::Kind::kLost};
    }
    if (fault == Fault::kLate) {
      late_.push_back(attempt);
      return {.kind = WriteAnswer::Kind::kLost};
    }
    const auto is_applied = Apply(attempt);
    if (fault == Fault::kLostAfter) {
      return {.kind = WriteAnswer::Kind::kLost};
    }
    return is_applied ? WriteAnswer{.kind = WriteAnswer::Kind::kWritten,
                                    .version = version_}
                      : WriteAnswer{.kind = WriteAnswer::Kind::kConflict};
  }

  auto DeliverLate() -> void {
    for (const auto& it : std::exchange(late_, {})) {
      Apply(it);
    }
  }

  // Returns what a replica that is behind answers.
  auto ReadOld(uint32_t choice) const -> ConfigurationRow {
    return history_.empty() ? Read() : history_[choice % history_.size()];
  }

  // The version that each operation created.
  std::map<std::string, int64_t> effects;

 private:
  auto Apply(const ApplyAttempt& attempt) -> bool {
    if (attempt.expected_version != version_) {
      return false;
    }
    history_.push_back(Read());
    value_ = ToJson(RowToWrite(attempt));
    version_ += 1 + version_ % 3;  // rising, but not always by one
    RC_ASSERT(effects.emplace(attempt.operation_id, version_).second);
    return true;
  }

  int64_t version_ = 0;
  json::value value_;
  std::vector<ApplyAttempt> late_;
  std::vector<ConfigurationRow> history_;
};

auto Step(ApplyAttempt& attempt, Table& table, Table::Fault fault) -> void {
  if (attempt.step == ApplyStep::kRead) {
    OnRowRead(attempt, table.Read());
  } else if (attempt.step == ApplyStep::kWrite) {
    OnWriteAnswer(attempt, table.Write(attempt, fault));
  }
}

// Checks that the outcome reported to an operator agrees with the table, also
// after late writes.
auto CheckOutcome(const ApplyAttempt& attempt, const Table& table) -> void {
  const auto effect = table.effects.find(attempt.operation_id);
  const auto applied = effect != table.effects.end();
  if (attempt.outcome == ApplyOutcome::kApplied) {
    RC_ASSERT(applied);
    RC_ASSERT(effect->second == attempt.version);
  } else if (attempt.outcome != ApplyOutcome::kUndecided) {
    RC_ASSERT(!applied);
  }
}

RC_GTEST_PROP(ConcurrentOperatorsTest,
              OneWinsPerVersionAndOutcomesMatchTable,
              ()) {
  Table table;
  std::vector<ApplyAttempt> attempts;
  const auto n = *rc::gen::inRange(1, 80);
  for (auto i = 0; i < n; ++i) {
    const auto choice = *rc::gen::arbitrary<uint32_t>();
    const auto fault = static_cast<Table::Fault>(*rc::gen::inRange(0, 4));
    if (attempts.empty() || choice % 5 == 0) {
      attempts.push_back(BeginApply(table.Read().version,
                                    std::to_string(attempts.size()),
                                    DocumentOfVersion(i)));
    }
    auto& attempt = attempts[choice % attempts.size()];
    if (attempt.step == ApplyStep::kRead && choice % 3 == 0) {
      OnRowRead(attempt, table.ReadOld(choice));
    }
    Step(attempt, table, fault);
    if (choice % 7 == 0) {
      table.DeliverLate();
    }
  }
  const auto runs_to_end = *rc::gen::arbitrary<bool>();
  for (auto& it : attempts) {
    for (auto i = 0; runs_to_end && i < 4; ++i) {
      Step(it, table, Table::Fault::kNone);
    }
    RC_ASSERT(!runs_to_end || it.step == ApplyStep::kDone);
    GiveUp(it);
  }
  table.DeliverLate();

  std::map<int64_t, int> winners;
  for (const auto& it : attempts) {
    CheckOutcome(it, table);
    RC_ASSERT(!runs_to_end || it.outcome == ApplyOutcome::kApplied ||
              it.outcome == ApplyOutcome::kLostRace ||
              attempts.size() > kKeptOperations);
    winners[it.expected_version] += it.outcome == ApplyOutcome::kApplied;
  }
  for (const auto& it : winners) {
    RC_ASSERT(it.second <= 1);
    RC_ASSERT(!runs_to_end || it.second == 1);
  }
}

TEST(ApplyAttemptTest, ReportsAppliedWhenAnotherInstanceWroteOperation) {
  ConfigurationRow row{
      .version = 5, .document = {}, .operations = {{4, "mine"}}, .unknown = {}};
  row = ReplaceDocument(row, "other", json::object());
  row.version = 9;
  auto attempt = BeginApply(4, "mine", DocumentOfVersion(1));
  OnRowRead(attempt, row);
  EXPECT_EQ(attempt.outcome, ApplyOutcome::kApplied);
  EXPECT_EQ(attempt.version, 5);
}

TEST(ApplyAttemptTest, IsUndecidedWhenRowHistoryLacksExpectedVersion) {
  auto attempt = BeginApply(4, "mine", DocumentOfVersion(1));
  OnRowRead(attempt, {.version = 90,
                      .document = {},
                      .operations = {{80, "x"}},
                      .unknown = {}});
  EXPECT_EQ(attempt.outcome, ApplyOutcome::kUndecided);
}

TEST(ApplyAttemptTest, ReadsAgainWhenReplicaIsBehind) {
  auto attempt = BeginApply(4, "mine", DocumentOfVersion(1));
  OnRowRead(attempt,
            {.version = 3, .document = {}, .operations = {}, .unknown = {}});
  EXPECT_EQ(attempt.step, ApplyStep::kRead);
}

TEST(ApplyAttemptTest, RejectsInvalidDocumentWithoutReadingTable) {
  const auto attempt = BeginApply(4, "mine", json::object());
  EXPECT_EQ(attempt.step, ApplyStep::kDone);
  EXPECT_EQ(attempt.outcome, ApplyOutcome::kInvalid);
  EXPECT_FALSE(attempt.errors.empty());
}

TEST(ApplyAttemptTest, KeepsMembersOfNewerBuildInRow) {
  auto document = DocumentNamed("cartas");
  document.as_object()["added"] = 1;
  auto attempt = BeginApply(4, "mine", DocumentNamed("logbook"));
  OnRowRead(attempt, {.version = 4, .document = document});
  ASSERT_EQ(attempt.step, ApplyStep::kWrite);
  EXPECT_EQ(RowToWrite(attempt).document.at("added"), 1);
  EXPECT_EQ(RowToWrite(attempt).document.at("deployment"), "logbook");
}

TEST(ConfigurationRowTest, KeepsMembersOfNewerWriterOnRewrite) {
  const auto value =
      ParseJson(R"({"document":{"a":1},"operations":[],"new":7})").value();
  const auto row = ReadConfigurationRow(3, value).value();
  EXPECT_EQ(ToJson(ReplaceDocument(row, "op", json::object())).at("new"), 7);
}

TEST(ConfigurationRowTest, DigestDependsOnContentAndNotOnMemberOrder) {
  const auto a = ParseJson(R"({"x":{"p":1,"q":[2]},"y":3})").value();
  const auto b = ParseJson(R"({"y":3,"x":{"q":[2],"p":1}})").value();
  const auto c = ParseJson(R"({"y":3,"x":{"q":[2],"p":2}})").value();
  EXPECT_EQ(DigestOf(a), DigestOf(b));
  EXPECT_NE(DigestOf(a), DigestOf(c));
}

}  // namespace
}  // namespace boragecroft
