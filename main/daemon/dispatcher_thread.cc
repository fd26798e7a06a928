#include "main/daemon/dispatcher_thread.h"

#include <pthread.h>

#include <utility>

namespace boragecroft {
namespace {

constexpr milliseconds kIdleWait{10};
constexpr milliseconds kOutputBlockedWait{1};

template <class T, class Handle>
auto HandleAll(BoundedRing<T>& ring, Handle handle) -> bool {
  std::vector<T> items;
  ring.Drain(items);
  for (auto& it : items) {
    handle(it);
  }
  return !items.empty();
}

}  // namespace

DispatcherInputs::DispatcherInputs(const RingSizes& sizes,
                                   WakeupSignal& wakeup_signal)
    : callers(sizes.callers, [&] { wakeup_signal.Notify(); }),
      endpoints(sizes.endpoints, [&] { wakeup_signal.Notify(); }),
      instances(sizes.instances, [&] { wakeup_signal.Notify(); }),
      platform(sizes.platform, [&] { wakeup_signal.Notify(); }),
      operators(sizes.operators, [&] { wakeup_signal.Notify(); }) {}

DispatcherThread::DispatcherThread(std::unique_ptr<Dispatcher> dispatcher,
                                   DispatcherInputs& inputs,
                                   WakeupSignal& wakeup_signal,
                                   const DispatcherOutputs& outputs,
                                   SharedCallerView& view)
    : dispatcher_(std::move(dispatcher)),
      inputs_(inputs),
      wakeup_signal_(wakeup_signal),
      callers_(outputs.callers),
      endpoints_(outputs.endpoints),
      instances_(outputs.instances),
      platform_(outputs.platform),
      operators_(outputs.operators),
      view_(view) {
  view_.store(MakeCallerView(*dispatcher_, ReadClocks()));
}

DispatcherThread::~DispatcherThread() {
  if (thread_.joinable()) {
    thread_.join();
  }
}

auto DispatcherThread::Start() -> void {
  thread_ = std::thread([this] {
    pthread_setname_np(pthread_self(), "dispatcher");
    Run();
  });
}

auto DispatcherThread::RequestDrain() -> void {
  drain_requested_ = true;
  wakeup_signal_.Notify();
}

auto DispatcherThread::Join() -> bool {
  thread_.join();
  return !dispatcher_->fenced;
}

auto DispatcherThread::Run() -> void {
  Outputs out;
  while (true) {
    EventContext context{
        .dispatcher = *dispatcher_, .now = ReadClocks(), .out = out};
    if (drain_requested_) {
      BeginDrain(context);
    }
    const auto worked = HandleEvents(out);
    context.now = ReadClocks();
    Advance(context);
    const auto all_out = SendOutputs(out);
    PublishView();
    if (IsStopped(*dispatcher_) && all_out) {
      return;
    }
    if (!worked) {
      wakeup_signal_.Wait(all_out ? kIdleWait : kOutputBlockedWait);
    }
  }
}

auto DispatcherThread::HandleEvents(Outputs& out) -> bool {
  EventContext context{
      .dispatcher = *dispatcher_, .now = ReadClocks(), .out = out};
  auto worked = HandleAll(inputs_.endpoints, [&](AttemptOutcome& it) {
    OnAttemptOutcome(context, it);
  });
  worked |= HandleAll(inputs_.platform, [&](PlatformOutcome& it) {
    OnPlatformOutcome(context, std::move(it));
  });
  worked |= HandleAll(inputs_.instances, [&](PeerMessage& it) {
    OnPeerMessage(context, std::move(it));
  });
  worked |= HandleAll(inputs_.operators, [&](OperatorRequest& it) {
    OnOperatorRequest(context, std::move(it));
  });
  worked |= HandleAll(inputs_.callers, [&](CallerRequest& it) {
    OnCallerRequest(context, std::move(it));
  });
  return worked;
}

auto DispatcherThread::SendOutputs(Outputs& out) -> bool {
  callers_.SendAll(out.callers);
  endpoints_.SendAll(out.endpoints);
  instances_.SendAll(out.peers);
  platform_.SendAll(out.platform);
  operators_.SendAll(out.operators);
  return callers_.waiting.empty() && endpoints_.waiting.empty() &&
         instances_.waiting.empty() && platform_.waiting.empty() &&
         operators_.waiting.empty();
}

auto DispatcherThread::PublishView() -> void {
  const auto next = MakeCallerView(*dispatcher_, ReadClocks());
  const auto current = view_.load();
  const auto same = current->configuration == next->configuration &&
                    current->ready == next->ready;
  if (!same) {
    view_.store(next);
  }
}

}  // namespace boragecroft
