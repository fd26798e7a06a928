// An operator's conditional write of the configuration row. A write whose
// answer was lost is settled by reading the row back: the row keeps the
// operations that wrote its latest versions. Repeating the write is safe, since
// it is conditional on the version that it replaces.
#ifndef SERVERS_CONFIGURATION_APPLY_ATTEMPT_H_
#define SERVERS_CONFIGURATION_APPLY_ATTEMPT_H_

#include <string>

#include "servers/configuration/configuration_row.h"
#include "servers/configuration/configuration_update.h"

namespace boragecroft {

// What the caller does next.
enum class ApplyStep : uint8_t {
  kRead,   // read the row, then call OnRowRead
  kWrite,  // write RowToWrite on condition of the expected version, then call
           // OnWriteAnswer
  kDone,
};

enum class ApplyOutcome : uint8_t {
  kUndecided,   // the write may have taken effect, or may yet
  kApplied,     // `version` is the version that it made
  kLostRace,    // another operation replaced the expected version; `version` is
                // the row's
  kNotApplied,  // nothing was written and nothing will be
  kInvalid,     // the same, since the document breaks the rules: `errors`
};

// The table's answer to a conditional write.
struct WriteAnswer {
  enum class Kind : uint8_t {
    kWritten,   // `version` is the row's new version
    kConflict,  // the row is not at the expected version
    kNotSent,   // the table cannot have seen the write
    kLost,      // no answer: the write may have taken effect, or may yet
  };

  Kind kind = Kind::kLost;
  int64_t version = 0;
};

struct ApplyAttempt {
  int64_t expected_version = 0;
  std::string operation_id;  // unique; the same when the operator repeats
  json::value document;      // as the operator sent it
  ApplyStep step = ApplyStep::kRead;
  ApplyOutcome outcome = ApplyOutcome::kNotApplied;
  int64_t version = 0;
  std::vector<FieldError> errors;
  bool write_unsettled = false;  // a write was sent and its answer was lost
  ConfigurationRow replacement;  // written over the row at the expected version
};

// Checks the document; the attempt is done at once when it is invalid.
auto BeginApply(int64_t expected_version,
                std::string operation_id,
                json::value document) -> ApplyAttempt;
// The row to write; its version is the table's to choose.
auto RowToWrite(const ApplyAttempt& attempt) -> const ConfigurationRow&;
// Settles the attempt, or prepares its write on top of `row`. A row of version
// 0 stands for an absent row. A row that is older than the expected version
// comes from a replica that is behind: read again.
auto OnRowRead(ApplyAttempt& attempt, const ConfigurationRow& row) -> void;
auto OnWriteAnswer(ApplyAttempt& attempt, const WriteAnswer& answer) -> void;
// Ends the attempt as undecided when a write is unsettled, otherwise as not
// applied.
auto GiveUp(ApplyAttempt& attempt) -> void;

}  // namespace boragecroft

#endif  // SERVERS_CONFIGURATION_APPLY_ATTEMPT_H_
