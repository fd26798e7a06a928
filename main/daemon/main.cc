// boragecroftd: the daemon on an entry instance. Exit codes: 0 stopped as
// planned, or settings are valid; 1 cannot start; 2 wrong command line or
// settings; 3 another instance closed the ledger of this one, so the process
// has to be started again.
#include <signal.h>
#include <tclap/CmdLine.h>

#include <fstream>
#include <iostream>
#include <sstream>
#include <thread>

#include "core/log/log.h"
#include "main/daemon/daemon.h"

namespace boragecroft {
namespace {

enum ExitCode {
  kStopped = 0,
  kCannotStart = 1,
  kInvalidSettings = 2,
  kFenced = 3
};

struct Arguments {
  std::string settings_file;
  bool check_only = false;
};

auto ParseArguments(int argc, char** argv) -> Arguments {
  TCLAP::CmdLine command_line("Dispatches tasks of callers to endpoints.", ' ',
                              "0.1.0");
  const TCLAP::ValueArg<std::string> settings(
      "s", "settings", "the settings file, JSON with comments", true, "",
      "FILE", command_line);
  const TCLAP::SwitchArg check(
      "", "check-settings", "check the settings file and exit", command_line);
  command_line.parse(argc, argv);
  return Arguments{.settings_file = settings.getValue(),
                   .check_only = check.getValue()};
}

auto ReadSettings(const std::string& file) -> std::optional<DaemonSettings> {
  std::ifstream in(file);
  std::stringstream text;
  text << in.rdbuf();
  if (!in) {
    std::cerr << file << ": cannot be read\n";
    return std::nullopt;
  }
  auto settings = ParseSettings(text.str(), file);
  if (settings.has_value()) {
    return std::move(settings).value();
  }
  for (const auto& it : settings.error()) {
    std::cerr << ToString(it) << "\n";
  }
  return std::nullopt;
}

// Blocks the signals that end the process in all threads, so that one thread
// can wait for them with sigwait.
auto BlockSignals() -> sigset_t {
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  signal(SIGPIPE, SIG_IGN);
  return signals;
}

auto Serve(const DaemonSettings& settings) -> int {
  InitLog(settings.log_level, settings.instance);
  const auto signals = BlockSignals();
  auto started = Daemon::Start(settings);
  if (started.has_error()) {
    Log(LogLevel::kError, "cannot_start", {{"reason", started.error()}});
    return kCannotStart;
  }
  auto& daemon = *started.value();
  // Operators and other instances can end the process as well, so a separate
  // thread waits for the signals.
  std::thread([&daemon, signals] {
    int number = 0;
    sigwait(&signals, &number);
    daemon.RequestDrain();
  }).detach();
  const auto clean = daemon.Wait();
  Log(LogLevel::kInfo, "stopped", {{"deposed", !clean}});
  return clean ? kStopped : kFenced;
}

}  // namespace
}  // namespace boragecroft

auto main(int argc, char** argv) -> int {
  const auto arguments = boragecroft::ParseArguments(argc, argv);
  const auto settings = boragecroft::ReadSettings(arguments.settings_file);
  if (!settings) {
    return boragecroft::kInvalidSettings;
  }
  if (arguments.check_only) {
    std::cout << arguments.settings_file << ": valid\n";
    return boragecroft::kStopped;
  }
  return boragecroft::Serve(*settings);
}
