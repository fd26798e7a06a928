#include "bench/load/load.h"

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <deque>
#include <memory>
#include <thread>
#include <unordered_map>

#include "core/http/http_connection.h"

namespace boragecroft::bench {
namespace {

constexpr milliseconds kConnectTimeout{5000};
constexpr std::string_view kStateKey = "\"state\":\"";
constexpr std::string_view kReasonKey = "\"reason\":\"";

struct ServerPool {
  std::vector<std::unique_ptr<HttpConnection>> idle;
  size_t connections = 0;
  std::deque<size_t> waiting;  // indices of requests without a connection
};

struct LoadRunner {
  const std::vector<PlannedRequest>& plan;
  const LoadOptions& options;
  boost::asio::io_context context;
  boost::asio::steady_timer timer{context};
  std::unordered_map<Address, ServerPool> pools;
  std::vector<RequestOutcome> outcomes;
  Instant start;
  size_t next = 0;
  size_t open = 0;
};

auto Elapsed(const LoadRunner& runner) -> microseconds {
  return BootClock::now() - runner.start;
}

// Returns the value of a JSON string member. `key` is its quoted name, the
// colon and the opening quote of the value. Returns "" when the member is
// missing.
auto ExtractTextMember(const std::string& body, std::string_view key)
    -> std::string {
  const auto at = body.find(key);
  if (at == std::string::npos) {
    return "";
  }
  const auto from = at + key.size();
  return body.substr(from, body.find('"', from) - from);
}

auto SendDueRequests(LoadRunner& runner) -> void;
auto SendOnConnection(LoadRunner& runner,
                      std::unique_ptr<HttpConnection> connection,
                      size_t index) -> void;

auto ReleaseConnection(LoadRunner& runner,
                       const Address& server,
                       std::unique_ptr<HttpConnection> connection) -> void {
  auto& pool = runner.pools[server];
  if (!connection->IsReusable()) {
    --pool.connections;
    connection = nullptr;
  }
  if (pool.waiting.empty()) {
    if (connection != nullptr) {
      pool.idle.push_back(std::move(connection));
    }
    return;
  }
  const auto index = pool.waiting.front();
  pool.waiting.pop_front();
  if (connection == nullptr) {
    ++pool.connections;
    connection = std::make_unique<HttpConnection>(runner.context, server);
  }
  SendOnConnection(runner, std::move(connection), index);
}

auto SendOnConnection(LoadRunner& runner,
                      std::unique_ptr<HttpConnection> connection,
                      size_t index) -> void {
  const auto& planned = runner.plan[index];
  HttpRequest request;
  request.method = "POST";
  request.target = planned.target;
  request.headers.push_back({"Content-Type", "application/json"});
  request.body = planned.body;
  runner.outcomes[index].sent = Elapsed(runner);
  auto* raw = connection.get();
  auto shared_connection =
      std::make_shared<std::unique_ptr<HttpConnection>>(std::move(connection));
  raw->Send(
      std::move(request), kConnectTimeout, runner.options.answer_timeout,
      [&runner, index,
       shared_connection](Result<HttpResponse, HttpError> result) {
        auto& outcome = runner.outcomes[index];
        outcome.ended = Elapsed(runner);
        if (result.has_value()) {
          outcome.status = result.value().status;
          outcome.state = ExtractTextMember(result.value().body, kStateKey);
          if (outcome.state != "done") {
            outcome.detail = ExtractTextMember(result.value().body, kReasonKey);
          }
        } else {
          outcome.detail = result.error().reason;
        }
        --runner.open;
        ReleaseConnection(runner, runner.plan[index].server,
                          std::move(*shared_connection));
        SendDueRequests(runner);
      });
}

auto Send(LoadRunner& runner, size_t index) -> void {
  const auto& server = runner.plan[index].server;
  auto& pool = runner.pools[server];
  ++runner.open;
  while (!pool.idle.empty()) {
    auto connection = std::move(pool.idle.back());
    pool.idle.pop_back();
    if (connection->IsReusable()) {
      SendOnConnection(runner, std::move(connection), index);
      return;
    }
    --pool.connections;
  }
  if (pool.connections >= runner.options.max_connections) {
    pool.waiting.push_back(index);
    return;
  }
  ++pool.connections;
  SendOnConnection(
      runner, std::make_unique<HttpConnection>(runner.context, server), index);
}

// Sends the requests that are due and sets the timer for the next one.
auto SendDueRequests(LoadRunner& runner) -> void {
  while (runner.next < runner.plan.size() &&
         runner.open < runner.options.max_open &&
         runner.plan[runner.next].at <= Elapsed(runner)) {
    Send(runner, runner.next++);
  }
  if (runner.next >= runner.plan.size() ||
      runner.open >= runner.options.max_open) {
    runner.timer.cancel();
    return;
  }
  runner.timer.expires_after(runner.plan[runner.next].at - Elapsed(runner));
  runner.timer.async_wait([&runner](boost::system::error_code ec) {
    if (!ec) {
      SendDueRequests(runner);
    }
  });
}

auto RunActions(const std::vector<TimedAction>& actions, Instant start)
    -> void {
  for (const auto& it : actions) {
    std::this_thread::sleep_for(start + it.at - BootClock::now());
    it.act();
  }
}

}  // namespace

auto RunLoad(const std::vector<PlannedRequest>& plan,
             const LoadOptions& options,
             const std::vector<TimedAction>& actions)
    -> std::vector<RequestOutcome> {
  LoadRunner runner{.plan = plan, .options = options};
  runner.outcomes.resize(plan.size());
  runner.start = BootClock::now();
  std::thread action_thread([&] { RunActions(actions, runner.start); });
  SendDueRequests(runner);
  runner.context.run();
  action_thread.join();
  runner.pools.clear();
  return std::move(runner.outcomes);
}

auto SortPlan(std::vector<PlannedRequest>& plan) -> void {
  std::stable_sort(plan.begin(), plan.end(),
                   [](const auto& a, const auto& b) { return a.at < b.at; });
}

}  // namespace boragecroft::bench
