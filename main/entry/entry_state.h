// Everything that one entry instance on the platform knows and owns. One event
// loop serves it: the machines have a quarter of a core, and a wake-up of a
// second thread costs as much as a decision (docs/design/on-the-platform.md).
#ifndef MAIN_ENTRY_ENTRY_STATE_H_
#define MAIN_ENTRY_ENTRY_STATE_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>

#include "core/http/http_server.h"
#include "main/entry/entry_metrics.h"
#include "main/entry/log_budget.h"
#include "peers/handover/handover_link.h"
#include "platform/settings.h"
#include "platform/store_client.h"
#include "platform/table_follower.h"
#include "platform/worker_client.h"
#include "servers/intake/intake.h"
#include "servers/routing/routes.h"
#include "servers/scheduling/scheduler.h"
#include "servers/succession/succession.h"

namespace boragecroft {

// A connection to another instance.
struct PeerLink {
  InstanceRef peer;
  bool opened = false;              // by this side
  std::vector<GroupStatus> groups;  // what the peer holds, as it said last
  Instant snapshot_requested_at;
};

// The caller that waits for a job's answer.
struct WaitingCaller {
  uint64_t request = 0;  // number of its request
  HttpResponder respond;
  Instant arrived;
};

struct EntryState {
  EntryState(boost::asio::io_context& io,
             platform::Settings from,
             uint16_t port_of_metrics)
      : context(io),
        settings(std::move(from)),
        metrics_port(port_of_metrics),
        due_timer(io),
        heartbeat_timer(io) {}

  boost::asio::io_context& context;
  platform::Settings settings;
  const uint16_t metrics_port;  // 0: the system's choice
  InstanceRef self;

  RouteTable routes;
  std::string routes_document;  // as the store or a peer told it
  std::map<std::string, WorkerEntry> directory;
  std::map<std::string, Instant> departed_at;  // workers whose entry is gone
  std::map<std::string, Instant> group_changed_at;  // a worker came or went
  Succession succession;
  Intake intake;
  std::map<std::string, Scheduler> schedulers;  // by group
  // The holder that each group's jobs were handed to last.
  std::map<std::string, InstanceRef> last_holder;
  std::map<LinkId, PeerLink> peers;
  std::unordered_map<JobName, WaitingCaller> callers;
  std::unordered_map<uint64_t, JobName> jobs_by_request;

  std::unique_ptr<platform::StoreClient> store;
  std::shared_ptr<platform::TableFollower> operator_rows;
  std::shared_ptr<platform::TableFollower> worker_rows;
  std::shared_ptr<platform::TableFollower> group_rows;
  std::unique_ptr<platform::WorkerClient> workers;
  std::unique_ptr<HandoverLink> link;
  std::unique_ptr<HttpServer> caller_server;
  std::unique_ptr<HttpServer> readiness_server;
  std::unique_ptr<HttpServer> metrics_server;

  boost::asio::steady_timer due_timer;
  boost::asio::steady_timer heartbeat_timer;
  std::optional<Instant> due_at;
  Instant last_heartbeat;
  std::optional<Instant> draining_since;
  EntryMetrics metrics;
  LogBudget log_budget;
  // Jobs that are passed on are many and seldom the cause of a failure: they
  // don't take the lines of those that failed.
  LogBudget redirect_log_budget{.lines_per_second = kLinesPerSecond / 4};
};

}  // namespace boragecroft

#endif  // MAIN_ENTRY_ENTRY_STATE_H_
