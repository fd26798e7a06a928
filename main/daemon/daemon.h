// One daemon process: a thread for each peer and one for the decisions, joined
// by rings.
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
  // Opens all listening sockets and starts the threads; a failure names the
  // address.
  static auto Start(const DaemonSettings& settings)
      -> Result<std::unique_ptr<Daemon>, std::string>;
  ~Daemon();
  Daemon(const Daemon&) = delete;
  auto operator=(const Daemon&) -> Daemon& = delete;

  // Asks for a planned stop; safe from any thread.
  auto RequestDrain() -> void;
  // Waits for the end of a planned stop. False when another instance closed
  // this one's ledger meanwhile.
  auto Wait() -> bool;

 private:
  explicit Daemon(std::unique_ptr<detail::DaemonState> state);

  std::unique_ptr<detail::DaemonState> state_;
};

}  // namespace boragecroft

#endif  // MAIN_DAEMON_DAEMON_H_
