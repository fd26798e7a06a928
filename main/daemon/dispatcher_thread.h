// The thread that owns the dispatcher's state. It handles the events from its
// input rings and sends the resulting commands to the rings of the other
// threads.
#ifndef MAIN_DAEMON_DISPATCHER_THREAD_H_
#define MAIN_DAEMON_DISPATCHER_THREAD_H_

#include <atomic>
#include <memory>
#include <thread>

#include "main/daemon/outbox.h"
#include "main/daemon/wakeup_signal.h"
#include "servers/dispatcher/dispatcher.h"

namespace boragecroft {

struct RingSizes {
  size_t callers = 4096;
  size_t endpoints = 16384;
  size_t instances = 4096;
  size_t platform = 1024;
  size_t operators = 256;
};

// Rings to the dispatcher's thread. Each thread that serves a kind of peer
// pushes to its own ring.
struct DispatcherInputs {
  DispatcherInputs(const RingSizes& sizes, WakeupSignal& wakeup_signal);

  BoundedRing<CallerRequest> callers;
  BoundedRing<AttemptOutcome> endpoints;
  BoundedRing<PeerMessage> instances;
  BoundedRing<PlatformOutcome> platform;
  BoundedRing<OperatorRequest> operators;
};

// Rings from the dispatcher's thread. The wake function of each ring posts its
// drain to the event loop of the thread that reads it.
struct DispatcherOutputs {
  BoundedRing<CallerReply>& callers;
  BoundedRing<EndpointCommand>& endpoints;
  BoundedRing<PeerCommand>& instances;
  BoundedRing<PlatformCommand>& platform;
  BoundedRing<OperatorReply>& operators;
};

class DispatcherThread {
 public:
  DispatcherThread(std::unique_ptr<Dispatcher> dispatcher,
                   DispatcherInputs& inputs,
                   WakeupSignal& wakeup_signal,
                   const DispatcherOutputs& outputs,
                   SharedCallerView& view);
  ~DispatcherThread();
  DispatcherThread(const DispatcherThread&) = delete;
  auto operator=(const DispatcherThread&) -> DispatcherThread& = delete;

  auto Start() -> void;
  // Requests a planned stop; safe to call from any thread.
  auto RequestDrain() -> void;
  // Waits until the dispatcher has stopped. Returns true when it was not
  // fenced.
  auto Join() -> bool;

 private:
  auto Run() -> void;
  auto HandleEvents(Outputs& out) -> bool;
  auto SendOutputs(Outputs& out) -> bool;
  auto PublishView() -> void;

  const std::unique_ptr<Dispatcher> dispatcher_;
  DispatcherInputs& inputs_;
  WakeupSignal& wakeup_signal_;
  Outbox<CallerReply> callers_;
  Outbox<EndpointCommand> endpoints_;
  Outbox<PeerCommand> instances_;
  Outbox<PlatformCommand> platform_;
  Outbox<OperatorReply> operators_;
  SharedCallerView& view_;
  std::atomic<bool> drain_requested_ = false;
  std::thread thread_;
};

}  // namespace boragecroft

#endif  // MAIN_DAEMON_DISPATCHER_THREAD_H_
