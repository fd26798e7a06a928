// Runs one daemon process: a thread for each kind of peer and one for the
// dispatcher's decisions, connected by bounded rings.
#ifndef MAIN_DAEMON_DAEMON_H_
#define MAIN_DAEMON_DAEMON_H_

#include <memory>
#include <string>

#include "core/base/result.h"
#include "main/settings/daemon_settings.h"

namespace boragecroft {

namespace detail {
struct DaemonState;
}

class Daemon {
 public:
  // Opens all listening sockets and starts the threads. An error names the
  // address that could not be opened.
  static auto Start(const DaemonSettings& settings)
      -> Result<std::unique_ptr<Daemon>, std::string>;
  ~Daemon();
  Daemon(const Daemon&) = delete;
  auto operator=(const Daemon&) -> Daemon& = delete;

  // Requests a planned stop; safe to call from any thread.
  auto RequestDrain() -> void;
  // Waits for the end of a planned stop. Returns false when another instance
  // closed the ledger of this one in the meantime.
  auto Wait() -> bool;

 private:
  explicit Daemon(std::unique_ptr<detail::DaemonState> state);

  std::unique_ptr<detail::DaemonState> state_;
};

}  // namespace boragecroft

#endif  // MAIN_DAEMON_DAEMON_H_
