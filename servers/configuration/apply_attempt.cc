#include "servers/configuration/apply_attempt.h"

#include <algorithm>
#include <utility>

namespace boragecroft {
namespace {

auto Finish(ApplyAttempt& attempt, ApplyOutcome outcome, int64_t version)
    -> void {
  attempt.step = ApplyStep::kDone;
  attempt.outcome = outcome;
  attempt.version = version;
}

// Settles the attempt by the operation that replaced the expected version.
auto SettleByHistory(ApplyAttempt& attempt, const ConfigurationRow& row)
    -> void {
  const auto& operations = row.operations;
  const auto it =
      std::find_if(operations.begin(), operations.end(), [&](const auto& item) {
        return item.base_version == attempt.expected_version;
      });
  if (it == operations.end()) {
    // The row no longer lists the operation that replaced the expected version.
    // It may have been this operation, sent earlier through another instance.
    Finish(attempt, ApplyOutcome::kUndecided, row.version);
    return;
  }
  if (it->operation_id != attempt.operation_id) {
    Finish(attempt, ApplyOutcome::kLostRace, row.version);
    return;
  }
  const auto next = it + 1;
  Finish(attempt, ApplyOutcome::kApplied,
         next == operations.end() ? row.version : next->base_version);
}

auto Refuse(ApplyAttempt& attempt, std::vector<FieldError> errors) -> void {
  attempt.errors = std::move(errors);
  Finish(attempt, ApplyOutcome::kInvalid, 0);
}

auto PrepareWrite(ApplyAttempt& attempt, const ConfigurationRow& row) -> void {
  const Configuration* replaced = nullptr;
  Configuration configuration;
  if (row.version > 0) {
    auto read = ReadConfiguration(row.document, Strictness::kLenient);
    if (read.has_error()) {
      Refuse(attempt, std::move(read.error()));
      return;
    }
    configuration = std::move(read.value());
    replaced = &configuration;
  }
  auto update = PrepareUpdate(replaced, attempt.document);
  if (update.has_error()) {
    Refuse(attempt, std::move(update.error()));
    return;
  }
  attempt.replacement =
      ReplaceDocument(row, attempt.operation_id,
                      ToJson(update.value(), update.value().schema_version));
  attempt.step = ApplyStep::kWrite;
}

}  // namespace

auto BeginApply(int64_t expected_version,
                std::string operation_id,
                json::value document) -> ApplyAttempt {
  ApplyAttempt out;
  out.expected_version = expected_version;
  out.operation_id = std::move(operation_id);
  out.document = std::move(document);
  auto checked = ReadConfiguration(out.document, Strictness::kStrict);
  if (checked.has_error()) {
    Refuse(out, std::move(checked.error()));
  }
  return out;
}

auto RowToWrite(const ApplyAttempt& attempt) -> const ConfigurationRow& {
  return attempt.replacement;
}

auto OnRowRead(ApplyAttempt& attempt, const ConfigurationRow& row) -> void {
  if (attempt.step != ApplyStep::kRead ||
      row.version < attempt.expected_version) {
    return;
  }
  if (row.version == attempt.expected_version) {
    PrepareWrite(attempt, row);
    return;
  }
  SettleByHistory(attempt, row);
}

auto OnWriteAnswer(ApplyAttempt& attempt, const WriteAnswer& answer) -> void {
  if (attempt.step != ApplyStep::kWrite) {
    return;
  }
  switch (answer.kind) {
    case WriteAnswer::Kind::kWritten:
      Finish(attempt, ApplyOutcome::kApplied, answer.version);
      return;
    case WriteAnswer::Kind::kLost:
      attempt.write_unsettled = true;
      break;
    case WriteAnswer::Kind::kConflict:
    case WriteAnswer::Kind::kNotSent:
      break;
  }
  attempt.step = ApplyStep::kRead;
}

auto GiveUp(ApplyAttempt& attempt) -> void {
  if (attempt.step == ApplyStep::kDone) {
    return;
  }
  Finish(attempt,
         attempt.write_unsettled ? ApplyOutcome::kUndecided
                                 : ApplyOutcome::kNotApplied,
         0);
}

}  // namespace boragecroft
