#include "bench/failures/account_check.h"

#include <algorithm>
#include <array>
#include <boost/json/array.hpp>
#include <iostream>
#include <set>

#include "servers/ledger/segment.h"

namespace boragecroft::bench {
namespace {

using lab::JsonReply;

constexpr milliseconds kAccountTimeout{10000};  // for all instances together
constexpr int kRowsPerPage = 500;
constexpr std::string_view kUnrecordedReason = "owner_lost_unrecorded";

struct Totals {
  int64_t done = 0;
  int64_t failed = 0;
  int64_t refused = 0;
  int64_t undecided = 0;

  auto operator==(const Totals&) const -> bool = default;
};

auto Describe(const Totals& totals) -> std::string {
  return "done " + std::to_string(totals.done) + " failed " +
         std::to_string(totals.failed) + " refused " +
         std::to_string(totals.refused) + " undecided " +
         std::to_string(totals.undecided);
}

// The addenda: what fenced owners recorded after their ledger had been closed.
// The account includes it, while the answer to the caller remains the one that
// the closed ledger gave.
struct Addenda {
  std::set<JobId> ended_jobs;
  std::vector<RefusedEntry> refused;
};

auto AddEntry(Addenda& addenda, const LedgerEntry& entry) -> void {
  if (const auto* final_entry = std::get_if<FinalEntry>(&entry)) {
    addenda.ended_jobs.insert(final_entry->job);
  } else if (const auto* refused = std::get_if<RefusedEntry>(&entry)) {
    addenda.refused.push_back(*refused);
  }
}

auto ReadAddenda(const Address& platform) -> Addenda {
  Addenda addenda;
  std::string after;
  while (true) {
    const auto reply =
        lab::Get(platform, "/v1/table/scan?prefix=addendum/&after=" + after +
                               "&limit=" + std::to_string(kRowsPerPage));
    const auto& rows = reply.body.at("rows").as_array();
    for (const auto& it : rows) {
      const auto segment = ParseSegment(it.at("value").as_string()).value();
      for (const auto& entry : segment.entries) {
        AddEntry(addenda, entry);
      }
      after = it.at("key").as_string();
    }
    if (rows.size() < kRowsPerPage) {
      return addenda;
    }
  }
}

auto IsRefusedInAddenda(const Addenda& addenda, const JobId& id) -> bool {
  return std::any_of(addenda.refused.begin(), addenda.refused.end(),
                     [&](const RefusedEntry& it) {
                       return it.incarnation == id.incarnation &&
                              Contains(it.ranges, id.sequence);
                     });
}

// Reports whether a refusal has a record. A refusal that used up the id has
// one, unless no request with this id ever reached an owner that accepted it.
auto IsRecordedRefusal(const JsonReply& answer) -> bool {
  constexpr std::array<std::string_view, 3> kUnrecordedCodes = {
      "draining", "id_expired", "id_not_minted"};
  const auto& code = answer.body.at("error").at("code").as_string();
  return std::find(kUnrecordedCodes.begin(), kUnrecordedCodes.end(), code) ==
         kUnrecordedCodes.end();
}

// Adds a job to the total under which the account has to count it.
auto CountJob(Totals& totals, const JsonReply& answer, const Addenda& addenda)
    -> void {
  const auto state = answer.Text("state");
  if (state == "refused") {
    totals.refused += IsRecordedRefusal(answer) ? 1 : 0;
    return;
  }
  if (answer.Text("reason") != kUnrecordedReason) {
    ++(state == "done" ? totals.done : totals.failed);
    return;
  }
  // Either the owner terminated before it recorded the end, and nothing is in
  // the account, or the owner was fenced and recorded the end in an addendum.
  const auto id = ParseJobId(answer.Text("id")).value();
  totals.failed += addenda.ended_jobs.contains(id) ? 1 : 0;
  totals.refused += IsRefusedInAddenda(addenda, id) ? 1 : 0;
}

auto SumAccountRows(const JsonReply& account) -> Totals {
  Totals sum;
  if (account.status != 200) {
    return sum;
  }
  for (const auto& it : account.body.at("rows").as_array()) {
    sum.done += it.at("done").to_number<int64_t>();
    sum.failed += it.at("failed").to_number<int64_t>();
    sum.refused += it.at("refused").to_number<int64_t>();
    sum.undecided += it.at("undecided").to_number<int64_t>();
  }
  return sum;
}

}  // namespace

auto CheckAccounts(lab::Cluster& cluster,
                   const std::vector<CommonAnswer>& answers) -> int {
  const auto end = BootClock::now() + kAccountTimeout;
  auto wrong = 0;
  for (const auto& it : cluster.Instances()) {
    Totals expected;
    Totals account;
    const auto agrees = [&] {
      const auto addenda = ReadAddenda(cluster.Platform(it.zone));
      account = SumAccountRows(lab::Get(it.operators, "/v1/account"));
      expected = Totals();
      for (const auto& answer : answers) {
        if (answer) {
          CountJob(expected, *answer, addenda);
        }
      }
      return account == expected;
    };
    const auto left = std::chrono::duration_cast<milliseconds>(
        end - std::min(end, BootClock::now()));
    if (!lab::Eventually(left, agrees)) {
      std::cout << "  account of " << it.name << ": " << Describe(account)
                << ", expected " << Describe(expected) << "\n";
      ++wrong;
    }
  }
  return wrong;
}

}  // namespace boragecroft::bench
