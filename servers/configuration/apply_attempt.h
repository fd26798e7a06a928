// Performs an operator's conditional write of the configuration row. When the
// answer to a write was lost, the attempt is settled by reading the row back,
// since the row keeps the operations that wrote its latest versions. Repeating
// the write is safe, because it is conditional on the version that it replaces.
#ifndef SERVERS_CONFIGURATION_APPLY_ATTEMPT_H_
#define SERVERS_CONFIGURATION_APPLY_ATTEMPT_H_

#include <string>

#include "servers/configuration/configuration_row.h"
#include "servers/configuration/configuration_update.h"

namespace boragecroft {

// What the caller must do next.
enum class ApplyStep : uint8_t {
  kRead,  // read the row, then call OnRowRead
  // Write RowToWrite on condition that the row has the expected version, then
  // call OnWriteAnswer.
  kWrite,
  kDone,
};

enum class ApplyOutcome : uint8_t {
  kUndecided,  // the write may have taken effect or may still take effect
  kApplied,  // the write took effect; `version` is the version that it created
  // Another operation replaced the expected version; `version` is the row's
  // version.
  kLostRace,
  kNotApplied,  // nothing was written and nothing will be
  kInvalid,  // like kNotApplied, because the document is invalid: see `errors`
};

// The table's answer to a conditional write.
struct WriteAnswer {
  enum class Kind : uint8_t {
    kWritten,   // `version` is the row's new version
    kConflict,  // the row is not at the expected version
    kNotSent,   // the write certainly did not reach the table
    // No answer: the write may have taken effect or may still take effect.
    kLost,
  };

  Kind kind = Kind::kLost;
  int64_t version = 0;
};

struct ApplyAttempt {
  int64_t expected_version = 0;
  // Unique; the same when the operator repeats the operation.
  std::string operation_id;
  json::value document;  // as the operator sent it
  ApplyStep step = ApplyStep::kRead;
  ApplyOutcome outcome = ApplyOutcome::kNotApplied;
  int64_t version = 0;
  std::vector<FieldError> errors;
  bool write_unsettled = false;  // a write was sent and its answer was lost
  ConfigurationRow replacement;  // replaces the row of the expected version
};

// Checks the document and returns an attempt, which is done immediately when
// the document is invalid.
auto BeginApply(int64_t expected_version,
                std::string operation_id,
                json::value document) -> ApplyAttempt;
// Returns the row to write. The table assigns its version.
auto RowToWrite(const ApplyAttempt& attempt) -> const ConfigurationRow&;
// Settles the attempt, or prepares its write on top of `row`. Version 0 means
// that the row is absent. A row older than the expected version comes from a
// replica that is behind and must be read again.
auto OnRowRead(ApplyAttempt& attempt, const ConfigurationRow& row) -> void;
auto OnWriteAnswer(ApplyAttempt& attempt, const WriteAnswer& answer) -> void;
// Ends the attempt as undecided when the answer to a write was lost, otherwise
// as not applied.
auto GiveUp(ApplyAttempt& attempt) -> void;

}  // namespace boragecroft

#endif  // SERVERS_CONFIGURATION_APPLY_ATTEMPT_H_
