// The whole state of one entry instance on the platform. One event loop on one
// thread serves it: the machines have a quarter of a core, and waking a second
// thread costs as much as one scheduling decision
// (docs/design/on-the-platform.md).
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
#include "servers/cancellation/cancellation.h"
#include "servers/intake/intake.h"
#include "servers/routing/evacuations.h"
#include "servers/routing/routes.h"
#include "servers/routing/routes_refresh.h"
#include "servers/scheduling/scheduler.h"
#include "servers/succession/succession.h"

namespace boragecroft {

// A connection to another instance.
struct PeerLink {
  InstanceRef peer;
  bool opened = false;  // whether this instance opened the connection
  std::vector<GroupStatus> groups;  // groups held by the peer, as last reported
};

// The caller that waits for a job's answer.
struct WaitingCaller {
  uint64_t request = 0;  // number of its HTTP request
  HttpResponder respond;
  Instant arrived;
};

// The instance that asked this one to cancel a job.
struct CancellingPeer {
  LinkId link = 0;
  uint64_t number = 0;  // of its request
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
  const uint16_t metrics_port;  // 0: the operating system chooses
  InstanceRef self;

  RouteTable routes;
  RoutesRefresh routes_refresh;
  std::string routes_document;  // as received from the store or a peer
  Evacuations evacuations;
  // When this instance learned that the evacuation of a zone had ended.
  std::map<std::string, Instant> evacuation_ended_at;
  std::map<std::string, WorkerEntry> directory;
  // When the row of each departed worker was removed from the store.
  std::map<std::string, Instant> departed_at;
  // When a worker last joined or left each group.
  std::map<std::string, Instant> group_changed_at;
  Succession succession;
  Intake intake;
  // The schedulers of the groups that this instance holds, by group.
  std::map<std::string, Scheduler> schedulers;
  // Since when each held group is being released in favour of its successor.
  std::map<std::string, Instant> yielding_since;
  // The last known holder of each group, to which the group's jobs were handed
  // over.
  std::map<std::string, InstanceRef> last_holder;
  std::map<LinkId, PeerLink> peers;
  std::unordered_map<JobName, WaitingCaller> callers;
  std::unordered_map<uint64_t, JobName> jobs_by_request;
  Cancellations cancellations;
  // The callers and the other instances whose cancel requests are not yet
  // confirmed.
  std::map<CancelNumber, HttpResponder> cancel_callers;
  std::map<CancelNumber, CancellingPeer> cancel_peers;

  std::unique_ptr<platform::StoreClient> store;
  std::shared_ptr<platform::TableFollower> operator_rows;
  std::shared_ptr<platform::TableFollower> worker_rows;
  Instant snapshot_requested_at;
  uint64_t snapshot_requests = 0;
  bool follows_workers = false;
  Instant workers_needed_at;  // last time at which they were needed
  std::shared_ptr<platform::TableFollower> group_rows;
  std::unique_ptr<platform::WorkerClient> workers;
  std::unique_ptr<HandoverLink> link;
  std::unique_ptr<HttpServer> caller_server;
  std::unique_ptr<HttpServer> readiness_server;
  std::unique_ptr<HttpServer> metrics_server;

  boost::asio::steady_timer due_timer;
  boost::asio::steady_timer heartbeat_timer;
  std::optional<Instant> due_at;
  // When the process last ran for certain: at its start, then at each
  // heartbeat.
  Instant last_heartbeat;
  std::optional<Instant> draining_since;
  EntryMetrics metrics;
  LogBudget log_budget;
  // Separate budget for redirected jobs: they are many and seldom the cause of
  // a failure, and must not use up the log lines of jobs that failed.
  LogBudget redirect_log_budget{.lines_per_second = kLinesPerSecond / 4};
};

}  // namespace boragecroft

#endif  // MAIN_ENTRY_ENTRY_STATE_H_
