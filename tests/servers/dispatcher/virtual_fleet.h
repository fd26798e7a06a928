// Simulates several dispatchers, a platform and endpoints on one virtual clock.
// Faults are drawn from one seed, and each reply to a caller is checked when it
// is sent.
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
  std::unique_ptr<Dispatcher> dispatcher;  // null: not running
  bool paused = false;
  Instant awake_since;  // last start or end of the last pause
  Instant platform_up_since;
  std::vector<std::function<void(EventContext&)>> inbox;  // while paused
  int64_t highest_version = 0;
};

// Percentages of messages that fail.
struct FaultRates {
  uint32_t peer_lost = 0;
  uint32_t peer_repeated = 0;
  uint32_t peer_late = 0;
  uint32_t table_answer_lost = 0;
  uint32_t table_late = 0;
  uint32_t table_lost = 0;
  uint32_t stale_read = 0;      // of the configuration's row
  uint32_t start_lost = 0;      // no response, the start never arrives
  uint32_t start_late = 0;      // no response, the start arrives later
  uint32_t answer_lost = 0;     // the task starts, the answer never arrives
  uint32_t answer_garbled = 0;  // unreadable, or answer of another task
  uint32_t query_lost = 0;
};

// A request of a caller with its replies.
struct SentRequest {
  JobId id;
  std::string key;  // key of the caller in place of an id
  size_t node = 0;
  bool submits = false;
  std::shared_ptr<const Submission> submission;  // null: none with this id
  std::vector<CallerReplyBody> replies;
};

// A final answer or a refusal that a caller received.
struct ReportedOutcome {
  Instant reported_at;
  Incarnation by;
  JobState state = JobState::kActive;
  bool recorded = false;  // only set by answers, not by refusals
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
  bool restarts = false;  // restart instances that stopped as planned
  std::vector<VirtualNode> nodes;
  std::set<std::pair<size_t, size_t>> partitions;
  std::map<Address, VirtualEndpoint> endpoints;
  size_t permanent_endpoints =
      1;  // number of last endpoints, which never leave
  std::map<Address, Instant> leaving;  // time of the change in the list
  // Time at which an endpoint's answer informed an instance that it is leaving.
  std::map<std::pair<Incarnation, Address>, Instant> reported_leaving;
  Instant last_fault;  // that may delay a durable record
  std::multimap<Instant, std::function<void()>> event_queue;
  std::map<JobId, std::shared_ptr<const Submission>> submissions;
  std::map<uint64_t, SentRequest> requests;
  Incarnation responder;  // instance that decided the present reply
  // By id or key, see SubjectOf.
  std::map<std::string, std::vector<ReportedOutcome>> reported_outcomes;
  std::map<std::string, JobId> ids_of_keys;
  std::map<std::string, std::string> reported_not_run;  // by payload
  std::set<Incarnation>
      presumed_terminated;  // killed, or declared so by the test
  std::map<uint64_t, OperatorReply> operator_replies;  // by number
  std::vector<std::string> violations;
  uint64_t full_lists_sent = 0;  // sent by the platform
  uint64_t next_number = 1;
  uint64_t next_incarnation = 0x1000;
};

// Creates a running fleet. With two availability zones, nodes and endpoints
// belong to them alternately.
auto MakeFleet(size_t nodes, uint64_t seed, size_t zones = 1)
    -> std::unique_ptr<VirtualFleet>;
auto Boot(VirtualFleet& fleet, size_t node) -> void;
auto Kill(VirtualFleet& fleet, size_t node) -> void;
auto Drain(VirtualFleet& fleet, size_t node) -> void;
auto Elapse(VirtualFleet& fleet, milliseconds time) -> void;
// Ends all faults and advances the time until everything can be settled.
auto EndAllFaults(VirtualFleet& fleet) -> void;

auto IsPlatformUnavailable(const VirtualFleet& fleet, const VirtualNode& node)
    -> bool;

// The following declarations are for the components of the fleet.
using Event = std::function<void(EventContext&)>;

// Returns true in `percent` of all calls, at random.
auto Chance(VirtualFleet& fleet, uint32_t percent) -> bool;
auto Schedule(VirtualFleet& fleet,
              milliseconds delay,
              std::function<void()> action) -> void;
// Passes the event to the node if it still runs the incarnation `to` (zero:
// any), but not before a pause is over.
auto Deliver(VirtualFleet& fleet, size_t node, Incarnation to, Event event)
    -> void;

}  // namespace boragecroft

#endif  // TESTS_SERVERS_DISPATCHER_VIRTUAL_FLEET_H_
