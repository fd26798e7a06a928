// Claims a caller's own key for one job id. The claim is a row in the table
// that is written before the job may start, so that all callers with the same
// key get the same job id.
#ifndef SERVERS_LEDGER_CLAIM_H_
#define SERVERS_LEDGER_CLAIM_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "core/base/ids.h"
#include "servers/ledger/table.h"

namespace boragecroft {

enum class ClaimPhase : uint8_t {
  kSend,        // no transaction is in flight: call NextTransaction
  kWaiting,     // the outcome of a transaction is outstanding
  kReadBack,    // the caller must read the row and call OnReadBack
  kWon,         // the key maps to the job id of this attempt
  kLost,        // the key maps to another job id: continue with that id
  kUnreadable,  // the row can't be parsed: answer "undecided", start nothing
};

// One attempt to claim a key. An attempt that is abandoned before it is won or
// lost may still take effect in the table. Nothing has started by then, so "not
// run" is a true answer, and a later attempt finds the job id.
struct ClaimAttempt {
  ClaimPhase phase = ClaimPhase::kSend;
  TableTransaction transaction;
  JobId job;  // the job id to continue with once the claim is won or lost
};

// Returns an attempt that is ready to send. `job` must be an unused id of the
// same partner, `operation_id` must be unique.
auto MakeClaim(std::string_view partner,
               std::string_view caller_key,
               const JobId& job,
               std::string operation_id) -> ClaimAttempt;
// Returns the transaction to send, or empty unless the phase is kSend.
auto NextTransaction(ClaimAttempt& claim) -> std::optional<TableTransaction>;
auto OnOutcome(ClaimAttempt& claim, const TableOutcome& outcome) -> void;
// Settles the claim by its row, which must have been read after the outcome
// that asked for it. Version 0 means that the row is absent.
auto OnReadBack(ClaimAttempt& claim, const TableRow& row) -> void;

}  // namespace boragecroft

#endif  // SERVERS_LEDGER_CLAIM_H_
