// Several dispatchers, a platform and endpoints on one virtual clock. Faults
// are drawn from one seed; what callers are told is checked as it is said.
#ifndef TESTS_SERVERS_DISPATCHER_VIRTUAL_FLEET_H_
#define TESTS_SERVERS_DISPATCHER_VIRTUAL_FLEET_H_

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "servers/dispatcher/dispatcher.h"
#include "servers/dispatcher/operator_messages.h"
#include "servers/dispatcher/submitting.h"
#include "tests/servers/dispatcher/virtual_endpoint.h"
#include "tests/servers/ledger/fake_table.h"

namespace boragecroft {

// The term of ids in the configuration that the fleet runs with.
inline constexpr milliseconds kIdTerm{40000};

struct VirtualNode {
  DispatcherSettings settings;
  std::unique_ptr<Dispatcher> dispatcher;  // null: dead
  bool paused = false;
  Instant awake_since;  // the last start or the end of the last pause
  Instant platform_up_since;
  std::vector<std::function<void(EventContext&)>> inbox;  // while paused
  int64_t highest_version = 0;
};

// Shares of messages that fail, in percent.
struct FaultRates {
  uint32_t peer_lost = 0;
  uint32_t peer_repeated = 0;
  uint32_t peer_late = 0;
  uint32_t table_answer_lost = 0;
  uint32_t table_late = 0;
  uint32_t table_lost = 0;
  uint32_t stale_read = 0;      // of the configuration's row
  uint32_t start_lost = 0;      // silent connection, the start never arrives
  uint32_t start_late = 0;      // silent connection, the start arrives later
  uint32_t answer_lost = 0;     // it starts, the answer never arrives
  uint32_t answer_garbled = 0;  // garbled, or that of another task
  uint32_t query_lost = 0;
};

// What one caller asked, and what it was told.
struct SentRequest {
  JobId id;
  std::string key;  // the caller's own, in place of an id
  size_t node = 0;
  bool submits = false;
  std::shared_ptr<const Submission> submission;  // null: none under this id
  std::vector<CallerReplyBody> replies;
};

// A final answer or refusal that a caller was told.
struct ReportedOutcome {
  Instant reported_at;
  Incarnation by;
  JobState state = JobState::kActive;
  bool recorded = false;  // an answer that says so; refusals do not say
};

struct VirtualFleet {
  Now now{.boot = Instant(seconds(1000)),
          .wall = WallTime(seconds(1800000000))};
  Random random{1};
  FaultRates rates;
  milliseconds run_time{100};
  FakeTable table;
  std::vector<TableRow> old_configurations;
  bool platform_down = false;
  std::set<std::string> zones_without_platform;
  bool restarts = false;  // an instance that stopped as planned starts anew
  std::vector<VirtualNode> nodes;
  std::set<std::pair<size_t, size_t>> partitions;
  std::map<Address, VirtualEndpoint> endpoints;
  size_t permanent_endpoints = 1;      // the last endpoints, which never leave
  std::map<Address, Instant> leaving;  // since when by the list
  // Since when an instance knows by the endpoint's own answer.
  std::map<std::pair<Incarnation, Address>, Instant> reported_leaving;
  Instant last_fault;  // that may keep a record from becoming durable
  std::multimap<Instant, std::function<void()>> event_queue;
  std::map<JobId, std::shared_ptr<const Submission>> submissions;
  std::map<uint64_t, SentRequest> requests;
  Incarnation responder;  // who decided what is being replied
  // By id or key, see SubjectOf.
  std::map<std::string, std::vector<ReportedOutcome>> reported_outcomes;
  std::map<std::string, JobId> ids_of_keys;
  std::map<std::string, std::string> reported_not_run;  // by payload
  std::set<Incarnation>
      presumed_terminated;  // died, or taken for gone by the story
  std::map<uint64_t, OperatorReply> operator_replies;  // by number
  std::vector<std::string> violations;
  uint64_t full_lists_sent = 0;  // that the platform sent
  uint64_t next_number = 1;
  uint64_t next_incarnation = 0x1000;
};

// With two availability zones, nodes and endpoints belong to each by turns.
auto MakeFleet(size_t nodes, uint64_t seed, size_t zones = 1)
    -> std::unique_ptr<VirtualFleet>;
auto Boot(VirtualFleet& fleet, size_t node) -> void;
auto Kill(VirtualFleet& fleet, size_t node) -> void;
auto Drain(VirtualFleet& fleet, size_t node) -> void;
auto Elapse(VirtualFleet& fleet, milliseconds time) -> void;
// Ends all faults and runs on until everything can be settled.
auto EndAllFaults(VirtualFleet& fleet) -> void;

auto IsPlatformUnavailable(const VirtualFleet& fleet, const VirtualNode& node)
    -> bool;

// For the parts of the fleet.
using Event = std::function<void(EventContext&)>;

// True in `percent` of all calls.
auto Chance(VirtualFleet& fleet, uint32_t percent) -> bool;
auto Schedule(VirtualFleet& fleet,
              milliseconds delay,
              std::function<void()> action) -> void;
// Passes the event to the node, when it still runs the incarnation `to` (zero:
// any), and not before a pause is over.
auto Deliver(VirtualFleet& fleet, size_t node, Incarnation to, Event event)
    -> void;

}  // namespace boragecroft

#endif  // TESTS_SERVERS_DISPATCHER_VIRTUAL_FLEET_H_
