#include "peers/endpoint/endpoint_client.h"

#include <map>
#include <unordered_map>
#include <utility>
#include <vector>

#include "peers/endpoint/endpoint_codec.h"

namespace boragecroft {

namespace detail {

constexpr milliseconds kConnectTimeout{500};
constexpr milliseconds kRenewalTimeout{2000};

// A connection of the pool, with the time at which it was opened.
struct PooledConnection {
  std::shared_ptr<HttpConnection> connection;
  Instant opened;
};

struct EndpointPool : std::enable_shared_from_this<EndpointPool> {
  EndpointPool(boost::asio::io_context& io,
               std::function<void(AttemptOutcome)> callback)
      : context(io), on_outcome(std::move(callback)) {}

  boost::asio::io_context& context;
  const std::function<void(AttemptOutcome)> on_outcome;
  std::unordered_map<Address, std::vector<PooledConnection>> idle;
  // By the attempt whose answer is awaited.
  std::map<AttemptId, PooledConnection> in_use;
};

static auto NewConnection(EndpointPool& pool, const Address& endpoint)
    -> PooledConnection {
  return PooledConnection{
      .connection = std::make_shared<HttpConnection>(pool.context, endpoint),
      .opened = BootClock::now()};
}

// Returns the most recently used connection that can be reused, or a new one.
static auto TakeConnection(EndpointPool& pool, const Address& endpoint)
    -> PooledConnection {
  auto& idle = pool.idle[endpoint];
  while (!idle.empty()) {
    auto candidate = std::move(idle.back());
    idle.pop_back();
    if (candidate.connection->IsReusable()) {
      return candidate;
    }
  }
  return NewConnection(pool, endpoint);
}

// Closes the idle connections opened at or before `opened`, the time at which a
// connection was opened that has become unresponsive. A device on the network
// path may have lost the state of older connections too. Newer connections
// remain open.
static auto DropOlderIdleConnections(EndpointPool& pool,
                                     const Address& endpoint,
                                     Instant opened) -> void {
  auto& idle = pool.idle[endpoint];
  std::erase_if(
      idle, [&](const PooledConnection& it) { return it.opened <= opened; });
}

// Sends the request on `pooled`, and returns that connection to the pool only
// after a complete answer.
static auto Exchange(const std::shared_ptr<EndpointPool>& pool,
                     const Address& endpoint,
                     PooledConnection pooled,
                     HttpRequest request,
                     milliseconds timeout,
                     HttpCompletion done) -> void {
  auto connection = pooled.connection;
  auto finish = [pool, endpoint, pooled = std::move(pooled),
                 done =
                     std::move(done)](Result<HttpResponse, HttpError> answer) {
    if (answer.has_value() && pooled.connection->IsReusable()) {
      pool->idle[endpoint].push_back(pooled);
    }
    if (answer.has_error() &&
        answer.error().kind == HttpError::Kind::kTimeout) {
      DropOlderIdleConnections(*pool, endpoint, pooled.opened);
    }
    done(std::move(answer));
  };
  connection->Send(std::move(request), kConnectTimeout, timeout,
                   std::move(finish));
}

static auto Run(const std::shared_ptr<EndpointPool>& pool,
                const StartAttempt& start) -> void {
  auto pooled = TakeConnection(*pool, start.endpoint);
  pool->in_use[start.id] = pooled;
  auto done = [pool,
               id = start.id](const Result<HttpResponse, HttpError>& answer) {
    // The attempt was abandoned if its entry has been removed.
    if (pool->in_use.erase(id) > 0) {
      pool->on_outcome(DecodeStartAnswer(id, answer));
    }
  };
  Exchange(pool, start.endpoint, std::move(pooled), EncodeStart(start),
           start.timeout, std::move(done));
}

static auto Run(const std::shared_ptr<EndpointPool>& pool,
                const RenewLeases& renewal) -> void {
  Exchange(pool, renewal.endpoint, TakeConnection(*pool, renewal.endpoint),
           EncodeRenewal(renewal), kRenewalTimeout,
           [](const Result<HttpResponse, HttpError>&) {});
}

// Sends the query on a new connection. A query determines the state of an
// attempt whose connection became unresponsive, and another connection of the
// pool may be unresponsive, too.
static auto Run(const std::shared_ptr<EndpointPool>& pool,
                const QueryAttempt& query) -> void {
  auto done = [pool,
               id = query.id](const Result<HttpResponse, HttpError>& answer) {
    pool->on_outcome(DecodeQueryAnswer(id, answer));
  };
  Exchange(pool, query.endpoint, NewConnection(*pool, query.endpoint),
           EncodeQuery(query), query.timeout, std::move(done));
}

static auto Run(const std::shared_ptr<EndpointPool>& pool,
                const AbandonAttempt& abandon) -> void {
  const auto it = pool->in_use.find(abandon.id);
  if (it == pool->in_use.end()) {
    return;
  }
  const auto pooled = std::move(it->second);
  pool->in_use.erase(it);
  pooled.connection->Close();
  DropOlderIdleConnections(*pool, abandon.endpoint, pooled.opened);
}

}  // namespace detail

EndpointClient::EndpointClient(boost::asio::io_context& context,
                               std::function<void(AttemptOutcome)> on_outcome)
    : pool_(std::make_shared<detail::EndpointPool>(context,
                                                   std::move(on_outcome))) {}

EndpointClient::~EndpointClient() = default;

auto EndpointClient::Execute(EndpointCommand command) -> void {
  std::visit([&](const auto& it) { detail::Run(pool_, it); }, command);
}

}  // namespace boragecroft
