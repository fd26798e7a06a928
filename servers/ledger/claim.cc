#include "servers/ledger/claim.h"

#include <boost/json/object.hpp>
#include <utility>
#include <vector>

#include "core/json/object_reader.h"
#include "servers/ledger/keys.h"

namespace boragecroft {
namespace {

constexpr int kClaimSchema = 1;

struct ClaimRow {
  JobId job;
  std::string operation_id;
};

auto ClaimText(const ClaimRow& row) -> std::string {
  json::object object;
  object["schema_version"] = kClaimSchema;
  object["job"] = ToString(row.job);
  object["operation_id"] = row.operation_id;
  return ToJsonText(json::value(std::move(object)));
}

auto ParseClaimRow(const std::string& text) -> std::optional<ClaimRow> {
  const auto parsed = ParseJson(text);
  if (!parsed) {
    return std::nullopt;
  }
  std::vector<FieldError> errors;
  ObjectReader reader(parsed.value(), "", errors);
  reader.Integer("schema_version", Range{kClaimSchema, kClaimSchema});
  const auto job = ParseJobId(reader.Text("job"));
  const auto operation_id = reader.Text("operation_id");
  if (!job || !errors.empty()) {
    return std::nullopt;
  }
  return ClaimRow{.job = *job, .operation_id = operation_id};
}

auto IsSettled(const ClaimAttempt& claim) -> bool {
  return claim.phase == ClaimPhase::kWon || claim.phase == ClaimPhase::kLost;
}

}  // namespace

auto MakeClaim(std::string_view partner,
               std::string_view caller_key,
               const JobId& job,
               std::string operation_id) -> ClaimAttempt {
  const auto key = ClaimKey(partner, caller_key);
  const auto value =
      ClaimText(ClaimRow{.job = job, .operation_id = operation_id});
  return ClaimAttempt{
      .transaction = {.operation_id = std::move(operation_id),
                      .checks = {TableCheck{.key = key, .version = 0}},
                      .puts = {TablePut{.key = key, .value = value}}},
      .job = job};
}

auto NextTransaction(ClaimAttempt& claim) -> std::optional<TableTransaction> {
  if (claim.phase != ClaimPhase::kSend) {
    return std::nullopt;
  }
  claim.phase = ClaimPhase::kWaiting;
  return claim.transaction;
}

auto OnOutcome(ClaimAttempt& claim, const TableOutcome& outcome) -> void {
  if (IsSettled(claim) ||
      outcome.operation_id != claim.transaction.operation_id) {
    return;
  }
  if (outcome.kind == TableOutcomeKind::kApplied) {
    claim.phase = ClaimPhase::kWon;
    return;
  }
  if (claim.phase != ClaimPhase::kWaiting) {
    return;
  }
  claim.phase = outcome.kind == TableOutcomeKind::kUnavailable
                    ? ClaimPhase::kSend
                    : ClaimPhase::kReadBack;
}

auto OnReadBack(ClaimAttempt& claim, const TableRow& row) -> void {
  if (claim.phase != ClaimPhase::kReadBack) {
    return;
  }
  if (row.version == 0) {
    claim.phase = ClaimPhase::kSend;
    return;
  }
  const auto found = ParseClaimRow(row.value);
  if (!found) {
    claim.phase = ClaimPhase::kUnreadable;
    return;
  }
  claim.phase = found->operation_id == claim.transaction.operation_id
                    ? ClaimPhase::kWon
                    : ClaimPhase::kLost;
  claim.job = found->job;
}

}  // namespace boragecroft
