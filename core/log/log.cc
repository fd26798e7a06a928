#include "core/log/log.h"

#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/log/sources/severity_logger.hpp>
#include <boost/log/trivial.hpp>
#include <boost/log/utility/setup/console.hpp>
#include <chrono>
#include <iostream>

namespace boragecroft {
namespace {

namespace logging = boost::log;
using Severity = logging::trivial::severity_level;

struct LogSetup {
  LogLevel level = LogLevel::kInfo;
  std::string instance;
};

auto Setup() -> LogSetup& {
  static LogSetup setup;
  return setup;
}

auto LevelName(LogLevel level) -> std::string_view {
  switch (level) {
    case LogLevel::kDebug:
      return "debug";
    case LogLevel::kInfo:
      return "info";
    case LogLevel::kWarning:
      return "warning";
    case LogLevel::kError:
      return "error";
  }
  return "error";
}

auto ToSeverity(LogLevel level) -> Severity {
  switch (level) {
    case LogLevel::kDebug:
      return logging::trivial::debug;
    case LogLevel::kInfo:
      return logging::trivial::info;
    case LogLevel::kWarning:
      return logging::trivial::warning;
    case LogLevel::kError:
      return logging::trivial::error;
  }
  return logging::trivial::error;
}

auto UnixSeconds() -> double {
  const auto since_epoch = std::chrono::system_clock::now().time_since_epoch();
  return std::chrono::duration<double>(
             std::chrono::duration_cast<std::chrono::milliseconds>(since_epoch))
      .count();
}

}  // namespace

auto InitLog(LogLevel level, std::string instance) -> void {
  Setup() = LogSetup{.level = level, .instance = std::move(instance)};
  logging::add_console_log(
      std::cout,
      logging::keywords::format = logging::expressions::stream
                                  << logging::expressions::smessage,
      logging::keywords::auto_flush = true);
  logging::core::get()->set_filter(logging::trivial::severity >=
                                   ToSeverity(level));
}

auto Log(LogLevel level,
         std::string_view event,
         std::initializer_list<LogField> fields) -> void {
  if (level < Setup().level) {
    return;
  }
  boost::json::object line;
  line["time"] = UnixSeconds();
  line["level"] = LevelName(level);
  line["instance"] = Setup().instance;
  line["event"] = event;
  for (const auto& it : fields) {
    std::visit([&](const auto& value) { line[it.name] = value; }, it.value);
  }
  thread_local boost::log::sources::severity_logger<Severity> logger;
  BOOST_LOG_SEV(logger, ToSeverity(level)) << boost::json::serialize(line);
}

}  // namespace boragecroft
