// boragecroft_entryd: the daemon on an entry instance of the users' platform.
// Exit codes: 0 stopped as planned, or settings are valid; 1 cannot start; 2
// wrong command line or settings.
#include <signal.h>
#include <tclap/CmdLine.h>

#include <boost/asio/signal_set.hpp>
#include <fstream>
#include <functional>
#include <iostream>
#include <sstream>

#include "core/log/log.h"
#include "main/entry/entry_instance.h"
#include "main/entry/event_loop.h"

namespace boragecroft {
namespace {

enum ExitCode { kStopped = 0, kCannotStart = 1, kInvalidSettings = 2 };

// Port that metrics exporters use by convention.
constexpr uint16_t kMetricsPort = 9464;

struct Arguments {
  std::string settings_file;
  uint16_t metrics_port = 0;
  std::string advertised;  // empty: not given
  bool check_only = false;
};

auto ParseArguments(int argc, char** argv) -> Arguments {
  TCLAP::CmdLine command_line(
      "Dispatches jobs of callers to the workers of the users' platform.", ' ',
      "0.1.0");
  const TCLAP::ValueArg<std::string> settings(
      "s", "settings", "the platform's settings file, lines of a.b=value",
      false, platform::SettingsPath(), "FILE", command_line);
  const TCLAP::ValueArg<uint16_t> metrics(
      "m", "metrics-port", "port of the metrics page; 0: the system's choice",
      false, kMetricsPort, "PORT", command_line);
  const TCLAP::ValueArg<std::string> advertise(
      "a", "advertise",
      "where other instances reach this one, if not where it listens", false,
      "", "IP:PORT", command_line);
  const TCLAP::SwitchArg check(
      "", "check-settings", "check the settings file and exit", command_line);
  command_line.parse(argc, argv);
  return Arguments{.settings_file = settings.getValue(),
                   .metrics_port = metrics.getValue(),
                   .advertised = advertise.getValue(),
                   .check_only = check.getValue()};
}

auto ReadSettings(const std::string& file)
    -> std::optional<platform::Settings> {
  std::ifstream in(file);
  std::stringstream text;
  text << in.rdbuf();
  if (!in) {
    std::cerr << file << ": cannot be read\n";
    return std::nullopt;
  }
  auto settings = platform::ParseSettings(text.str());
  if (settings.has_value()) {
    return std::move(settings).value();
  }
  for (const auto& it : settings.error()) {
    std::cerr << file << ": " << ToString(it) << "\n";
  }
  return std::nullopt;
}

auto WaitForReload(boost::asio::signal_set& signals, EntryState& state)
    -> void {
  signals.async_wait([&](boost::system::error_code ec, int /*number*/) {
    if (!ec) {
      ReloadEntry(state);
      WaitForReload(signals, state);
    }
  });
}

auto Serve(platform::Settings settings, uint16_t metrics_port) -> int {
  InitLog(LogLevel::kInfo, settings.instance);
  signal(SIGPIPE, SIG_IGN);
  boost::asio::io_context context(1);
  EntryState state(context, std::move(settings), metrics_port);
  boost::asio::signal_set end_signals(context, SIGTERM, SIGINT);
  end_signals.async_wait(
      [&state](boost::system::error_code ec, int /*number*/) {
        if (!ec) {
          DrainEntry(state);
        }
      });
  boost::asio::signal_set reload_signals(context, SIGHUP);
  WaitForReload(reload_signals, state);
  const auto started = StartEntry(state);
  if (started.has_error()) {
    Log(LogLevel::kError, "cannot_start", {{"reason", started.error()}});
    return kCannotStart;
  }
  RunEventLoop(context, [&state](const char* reason) {
    state.metrics.CountEvent("event_failed");
    if (MayLog(state.log_budget, BootClock::now())) {
      Log(LogLevel::kError, "event_failed", {{"reason", reason}});
    }
  });
  return kStopped;
}

}  // namespace
}  // namespace boragecroft

auto main(int argc, char** argv) -> int {
  const auto arguments = boragecroft::ParseArguments(argc, argv);
  auto settings = boragecroft::ReadSettings(arguments.settings_file);
  if (!settings) {
    return boragecroft::kInvalidSettings;
  }
  if (!arguments.advertised.empty()) {
    settings->advertised = boragecroft::ParseAddress(arguments.advertised);
    if (!settings->advertised) {
      std::cerr << "--advertise " << arguments.advertised
                << ": not an IP number and a port\n";
      return boragecroft::kInvalidSettings;
    }
  }
  if (arguments.check_only) {
    std::cout << arguments.settings_file << ": valid\n";
    return boragecroft::kStopped;
  }
  return boragecroft::Serve(std::move(*settings), arguments.metrics_port);
}
