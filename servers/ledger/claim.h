// A caller's own key, claimed in the table for one job id before its job may
// start. All callers with the same key get the same job id.
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
  kSend,        // nothing is under way: NextTransaction
  kWaiting,     // for an outcome
  kReadBack,    // read the row and call OnReadBack
  kWon,         // the key stands for the id of this attempt
  kLost,        // the key stands for another id: go on with that one
  kUnreadable,  // the row cannot be read: answer "undecided", start nothing
};

// One attempt to claim a key. Given up before it is won or lost, it may still
// take effect; nothing started, so "not run" is a true answer then, and a later
// attempt finds the id.
struct ClaimAttempt {
  ClaimPhase phase = ClaimPhase::kSend;
  TableTransaction transaction;
  JobId job;  // the id to go on with once won or lost
};

// `job` is a fresh id of the same partner; `operation_id` is unique.
auto MakeClaim(std::string_view partner,
               std::string_view caller_key,
               const JobId& job,
               std::string operation_id) -> ClaimAttempt;
// The transaction to send, or empty unless the phase is kSend.
auto NextTransaction(ClaimAttempt& claim) -> std::optional<TableTransaction>;
auto OnOutcome(ClaimAttempt& claim, const TableOutcome& outcome) -> void;
// `row` is the claim's row, read after the outcome; version 0 when absent.
auto OnReadBack(ClaimAttempt& claim, const TableRow& row) -> void;

}  // namespace boragecroft

#endif  // SERVERS_LEDGER_CLAIM_H_
