#include "main/daemon/daemon.h"

#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <utility>

#include "core/base/random.h"
#include "core/log/log.h"
#include "main/daemon/dispatcher_thread.h"
#include "main/daemon/event_loop_thread.h"
#include "main/daemon/settings_map.h"
#include "peers/caller/caller_server.h"
#include "peers/endpoint/endpoint_client.h"
#include "peers/instance/instance_link.h"
#include "peers/operator/operator_server.h"
#include "peers/platform/platform_client.h"

namespace boragecroft {

namespace asio = boost::asio;

namespace detail {

constexpr milliseconds kOutboxRetryInterval{1};
constexpr milliseconds kAnswerFlushTimeout{2000};
constexpr milliseconds kMessageFlushTimeout{500};
constexpr milliseconds kFlushPollInterval{5};

// A ring from the dispatcher's thread to an event loop thread, which handles
// each item on its event loop.
template <class T>
struct CommandRing {
  CommandRing(size_t capacity, EventLoopThread& event_loop)
      : thread(event_loop), ring(capacity, [this] {
          asio::post(thread.Context(), [this] { Drain(); });
        }) {}

  auto Drain() -> void {
    std::vector<T> items;
    ring.Drain(items);
    for (auto& it : items) {
      handle(std::move(it));
    }
  }

  EventLoopThread& thread;
  std::function<void(T)> handle;
  BoundedRing<T> ring;
};

// Sends items that must not be lost from an event loop thread to the
// dispatcher's thread. While the ring is full, the items are kept and sent
// again until the ring accepts them.
template <class T>
struct RetryingSender {
  RetryingSender(BoundedRing<T>& ring, EventLoopThread& event_loop)
      : outbox(ring), timer(event_loop.Context()) {}

  auto Send(T item) -> void {
    outbox.Send(std::move(item));
    Retry();
  }

  auto Retry() -> void {
    if (outbox.waiting.empty() || retrying) {
      return;
    }
    retrying = true;
    timer.expires_after(kOutboxRetryInterval);
    timer.async_wait([this](boost::system::error_code ec) {
      retrying = false;
      if (!ec) {
        outbox.Flush();
        Retry();
      }
    });
  }

  Outbox<T> outbox;
  asio::steady_timer timer;
  bool retrying = false;
};

struct DaemonState {
  explicit DaemonState(const DaemonSettings& settings)
      : inputs(ToRingSizes(settings), wakeup_signal),
        caller_replies(settings.caller_ring_size, callers),
        endpoint_commands(settings.endpoint_ring_size, endpoints),
        peer_commands(settings.instance_ring_size, instances),
        platform_commands(settings.platform_ring_size, platform),
        operator_replies(settings.operator_ring_size, operators),
        attempt_outcomes(inputs.endpoints, endpoints),
        platform_outcomes(inputs.platform, platform) {
    view.store(std::make_shared<CallerView>());
  }

  EventLoopThread callers{"callers"};
  EventLoopThread endpoints{"endpoints"};
  EventLoopThread instances{"instances"};
  EventLoopThread platform{"platform"};
  EventLoopThread operators{"operators"};
  WakeupSignal wakeup_signal;
  DispatcherInputs inputs;
  CommandRing<CallerReply> caller_replies;
  CommandRing<EndpointCommand> endpoint_commands;
  CommandRing<PeerCommand> peer_commands;
  CommandRing<PlatformCommand> platform_commands;
  CommandRing<OperatorReply> operator_replies;
  RetryingSender<AttemptOutcome> attempt_outcomes;
  RetryingSender<PlatformOutcome> platform_outcomes;
  SharedCallerView view;
  std::unique_ptr<CallerServer> caller_server;
  std::unique_ptr<EndpointClient> endpoint_client;
  std::unique_ptr<InstanceLink> instance_link;
  std::unique_ptr<PlatformClient> platform_client;
  std::unique_ptr<OperatorServer> operator_server;
  std::unique_ptr<DispatcherThread> dispatcher;
};

static auto ListenForCallers(DaemonState& state, const Address& address)
    -> Result<void, std::string> {
  auto server = CallerServer::Listen(
      state.callers.Context(), address, state.view,
      [&state](CallerRequest request) {
        return state.inputs.callers.TryPush(std::move(request));
      });
  if (server.has_error()) {
    return server.error();
  }
  state.caller_server = std::move(server).value();
  state.caller_replies.handle = [&state](const CallerReply& it) {
    state.caller_server->Deliver(it);
  };
  return success();
}

static auto ListenForInstances(DaemonState& state, const Address& address)
    -> Result<void, std::string> {
  auto link = InstanceLink::Listen(
      state.instances.Context(), address, [&state](PeerMessage message) {
        // A message that does not fit into the ring is dropped. Whatever
        // depends on it is resolved by time-outs.
        if (!state.inputs.instances.TryPush(std::move(message))) {
          Log(LogLevel::kWarning, "peer_message_dropped", {});
        }
      });
  if (link.has_error()) {
    return link.error();
  }
  state.instance_link = std::move(link).value();
  state.peer_commands.handle = [&state](PeerCommand it) {
    state.instance_link->Execute(std::move(it));
  };
  return success();
}

static auto ListenForOperators(DaemonState& state, const Address& address)
    -> Result<void, std::string> {
  auto server = OperatorServer::Listen(
      state.operators.Context(), address, [&state](OperatorRequest request) {
        return state.inputs.operators.TryPush(std::move(request));
      });
  if (server.has_error()) {
    return server.error();
  }
  state.operator_server = std::move(server).value();
  state.operator_replies.handle = [&state](const OperatorReply& it) {
    state.operator_server->Deliver(it);
  };
  return success();
}

static auto ConnectClients(DaemonState& state, const DaemonSettings& settings)
    -> void {
  state.endpoint_client = std::make_unique<EndpointClient>(
      state.endpoints.Context(), [&state](AttemptOutcome it) {
        state.attempt_outcomes.Send(std::move(it));
      });
  state.endpoint_commands.handle = [&state](EndpointCommand it) {
    state.endpoint_client->Execute(std::move(it));
  };
  state.platform_client = std::make_unique<PlatformClient>(
      state.platform.Context(), settings.platform, settings.platform_timeout,
      [&state](PlatformOutcome it) {
        state.platform_outcomes.Send(std::move(it));
      });
  state.platform_commands.handle = [&state](const PlatformCommand& it) {
    state.platform_client->Execute(it);
  };
}

static auto MakeDispatcherThread(DaemonState& state,
                                 const DaemonSettings& settings) -> void {
  const Address peer_address{.ip = settings.listen_instances.ip,
                             .port = state.instance_link->Port()};
  const Incarnation self{DrawEntropy()};
  auto dispatcher = MakeDispatcher(ToDispatcherSettings(settings, peer_address),
                                   self, DrawEntropy(), ReadClocks());
  const DispatcherOutputs outputs{.callers = state.caller_replies.ring,
                                  .endpoints = state.endpoint_commands.ring,
                                  .instances = state.peer_commands.ring,
                                  .platform = state.platform_commands.ring,
                                  .operators = state.operator_replies.ring};
  state.dispatcher = std::make_unique<DispatcherThread>(
      std::move(dispatcher), state.inputs, state.wakeup_signal, outputs,
      state.view);
  Log(LogLevel::kInfo, "listening",
      {{"incarnation", ToString(self)},
       {"callers", state.caller_server->Port()},
       {"instances", peer_address.port},
       {"operators", state.operator_server->Port()}});
}

static auto StartThreads(DaemonState& state) -> void {
  state.callers.Start();
  state.endpoints.Start();
  state.instances.Start();
  state.platform.Start();
  state.operators.Start();
  state.dispatcher->Start();
}

// Waits until `count`, called on the thread of `event_loop`, returns 0, at most
// for `limit`.
template <class Count>
static auto WaitUntilZero(EventLoopThread& event_loop,
                          milliseconds limit,
                          Count count) -> void {
  std::atomic<size_t> waiting = 1;
  const auto end = BootClock::now() + limit;
  while (waiting > 0 && BootClock::now() < end) {
    std::atomic<bool> seen = false;
    asio::post(event_loop.Context(), [&] {
      waiting = count();
      seen = true;
    });
    while (!seen) {
      std::this_thread::sleep_for(kFlushPollInterval);
    }
  }
}

// Waits until the last answers and messages have been sent, before the process
// ends.
static auto FlushPeers(DaemonState& state) -> void {
  asio::post(state.callers.Context(), [&] { state.caller_server->Drain(); });
  WaitUntilZero(state.callers, kAnswerFlushTimeout,
                [&] { return state.caller_server->PendingRequests(); });
  WaitUntilZero(state.instances, kMessageFlushTimeout,
                [&] { return state.instance_link->UnsentMessages(); });
}

}  // namespace detail

auto Daemon::Start(const DaemonSettings& settings)
    -> Result<std::unique_ptr<Daemon>, std::string> {
  auto state = std::make_unique<detail::DaemonState>(settings);
  BOOST_OUTCOME_TRY(detail::ListenForCallers(*state, settings.listen_callers));
  BOOST_OUTCOME_TRY(
      detail::ListenForInstances(*state, settings.listen_instances));
  BOOST_OUTCOME_TRY(
      detail::ListenForOperators(*state, settings.listen_operators));
  detail::ConnectClients(*state, settings);
  detail::MakeDispatcherThread(*state, settings);
  detail::StartThreads(*state);
  return std::unique_ptr<Daemon>(new Daemon(std::move(state)));
}

Daemon::Daemon(std::unique_ptr<detail::DaemonState> state)
    : state_(std::move(state)) {}

Daemon::~Daemon() {
  state_->callers.Stop();
  state_->endpoints.Stop();
  state_->instances.Stop();
  state_->platform.Stop();
  state_->operators.Stop();
}

auto Daemon::RequestDrain() -> void {
  state_->dispatcher->RequestDrain();
}

auto Daemon::Wait() -> bool {
  const auto clean = state_->dispatcher->Join();
  detail::FlushPeers(*state_);
  return clean;
}

}  // namespace boragecroft
