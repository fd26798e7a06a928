#include <algorithm>
#include <utility>

#include "servers/dispatcher/operator_flow.h"
#include "servers/dispatcher/record_flow.h"
#include "servers/ledger/account.h"
#include "servers/ledger/incarnation_row.h"
#include "servers/ledger/keys.h"
#include "servers/ledger/segment.h"

namespace boragecroft {
namespace {

namespace json = boost::json;

constexpr uint32_t kPageRows = 100;
constexpr std::string_view kIncarnationPrefix = "incarnation/";

// An account that is being computed: one incarnation after the other, and in
// each the segments before the addenda.
struct OpenAccount {
  uint64_t number = 0;
  ShowAccount show;
  std::vector<IncarnationRow> rows;
  size_t next = 0;
  IncarnationAccount current;
  bool in_addenda = false;
  std::map<std::string, AccountTotals> totals;  // by partner
};

using AccountPtr = std::shared_ptr<OpenAccount>;

auto ReplyUnavailable(EventContext& context, const OpenAccount& account)
    -> void {
  OperatorReply reply;
  reply.number = account.number;
  reply.status = 503;
  reply.body = {{"error", {{"code", "platform_unavailable"}}}};
  context.out.operators.push_back(std::move(reply));
}

auto Add(AccountTotals& sum, const AccountTotals& it) -> void {
  sum.submissions += it.submissions;
  sum.done += it.done;
  sum.failed += it.failed;
  sum.refused += it.refused;
  sum.undecided += it.undecided;
  sum.tasks_done += it.tasks_done;
  sum.tasks_failed += it.tasks_failed;
  sum.tasks_not_run += it.tasks_not_run;
  sum.tasks_may_have_run += it.tasks_may_have_run;
  sum.done_after_all += it.done_after_all;
}

auto RowOf(const std::string& partner, const AccountTotals& totals)
    -> json::object {
  json::object row;
  row["partner"] = partner;
  row["submissions"] = totals.submissions;
  row["done"] = totals.done;
  row["failed"] = totals.failed;
  row["refused"] = totals.refused;
  row["undecided"] = totals.undecided;
  row["tasks_done"] = totals.tasks_done;
  row["tasks_failed"] = totals.tasks_failed;
  row["tasks_not_run"] = totals.tasks_not_run;
  row["tasks_may_have_run"] = totals.tasks_may_have_run;
  row["done_after_all"] = totals.done_after_all;
  return row;
}

auto ReplyTotals(EventContext& context, const OpenAccount& account) -> void {
  json::array rows;
  for (const auto& it : account.totals) {
    rows.push_back(RowOf(it.first, it.second));
  }
  OperatorReply reply;
  reply.number = account.number;
  reply.body = {{"rows", std::move(rows)}};
  context.out.operators.push_back(std::move(reply));
}

// Totals are computed in steps of this length, so that each line is either
// inside or outside the period of the account.
constexpr milliseconds kPeriod = std::chrono::minutes(1);

auto FinishIncarnation(OpenAccount& account) -> void {
  for (const auto& it :
       TotalsOf(account.current, account.rows[account.next], kPeriod)) {
    const auto wanted =
        account.show.partner.empty() || account.show.partner == it.partner;
    if (wanted && it.period_start + kPeriod > account.show.from &&
        it.period_start <= account.show.to) {
      Add(account.totals[it.partner], it.totals);
    }
  }
  account.current = IncarnationAccount();
  account.in_addenda = false;
  ++account.next;
}

auto ScanLedger(EventContext& context,
                const AccountPtr& account,
                std::string after) -> void;

auto AddRows(OpenAccount& account, const std::vector<TableRow>& rows) -> void {
  for (const auto& it : rows) {
    const auto segment = ParseSegment(it.value);
    if (segment.has_error()) {
      continue;
    }
    if (account.in_addenda) {
      AddAddendum(account.current, segment.value(), account.show.to);
    } else {
      AddSegment(account.current, segment.value(),
                 ParseSegmentTime(it.key).value_or(WallTime()));
    }
  }
}

auto OnPage(EventContext& context,
            const AccountPtr& account,
            const std::vector<TableRow>& rows) -> void {
  AddRows(*account, rows);
  if (rows.size() >= kPageRows) {
    ScanLedger(context, account, rows.back().key);
    return;
  }
  if (!account->in_addenda) {
    account->in_addenda = true;
    ScanLedger(context, account, "");
    return;
  }
  FinishIncarnation(*account);
  ScanLedger(context, account, "");
}

auto ScanLedger(EventContext& context,
                const AccountPtr& account,
                std::string after) -> void {
  if (account->next >= account->rows.size()) {
    ReplyTotals(context, *account);
    return;
  }
  const auto incarnation = account->rows[account->next].incarnation;
  TableScan scan;
  scan.prefix = account->in_addenda ? AddendumPrefix(incarnation)
                                    : LedgerPrefix(incarnation);
  scan.after = std::move(after);
  scan.limit = kPageRows;
  CallPlatform(
      context, std::move(scan),
      [account](EventContext& callback_context, PlatformOutcome& outcome) {
        if (const auto* page = std::get_if<ScannedRows>(&outcome.result)) {
          OnPage(callback_context, account, page->rows);
        } else {
          ReplyUnavailable(callback_context, *account);
        }
      });
}

auto ScanIncarnations(EventContext& context,
                      const AccountPtr& account,
                      std::string after) -> void {
  TableScan scan;
  scan.prefix = kIncarnationPrefix;
  scan.after = std::move(after);
  scan.limit = kPageRows;
  CallPlatform(
      context, std::move(scan),
      [account](EventContext& callback_context, PlatformOutcome& outcome) {
        const auto* page = std::get_if<ScannedRows>(&outcome.result);
        if (page == nullptr) {
          ReplyUnavailable(callback_context, *account);
          return;
        }
        for (const auto& it : page->rows) {
          auto row = ParseIncarnationRow(it);
          if (row.has_value()) {
            account->rows.push_back(std::move(row).value());
          }
        }
        if (page->rows.size() >= kPageRows) {
          ScanIncarnations(callback_context, account, page->rows.back().key);
          return;
        }
        ScanLedger(callback_context, account, "");
      });
}

}  // namespace

auto OnShowAccount(EventContext& context,
                   uint64_t number,
                   const ShowAccount& show) -> void {
  auto account = std::make_shared<OpenAccount>();
  account->number = number;
  account->show = show;
  ScanIncarnations(context, account, "");
}

}  // namespace boragecroft
