// Structured logs: one JSON object per line on standard output, written with
// Boost.Log.
#ifndef CORE_LOG_LOG_H_
#define CORE_LOG_LOG_H_

#include <concepts>
#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>
#include <utility>
#include <variant>

namespace boragecroft {

enum class LogLevel { kDebug, kInfo, kWarning, kError };

// Named value in a log line.
struct LogField {
  std::string_view name;
  std::variant<std::string, int64_t, double, bool> value;

  LogField(std::string_view field, std::string text)
      : name(field), value(std::move(text)) {}
  LogField(std::string_view field, std::string_view text)
      : name(field), value(std::string(text)) {}
  LogField(std::string_view field, const char* text)
      : name(field), value(std::string(text)) {}
  LogField(std::string_view field, bool flag) : name(field), value(flag) {}
  LogField(std::string_view field, double number)
      : name(field), value(number) {}
  template <std::integral Number>
  LogField(std::string_view field, Number number)
      : name(field), value(static_cast<int64_t>(number)) {}
};

// Sets the lowest level that is written and the instance name that each line
// contains. It must be called once, before threads start.
auto InitLog(LogLevel level, std::string instance) -> void;

// Writes the line {"time", "level", "instance", "event", fields...}. `event` is
// a fixed snake_case name, so that operators can search for it.
auto Log(LogLevel level,
         std::string_view event,
         std::initializer_list<LogField> fields = {}) -> void;

}  // namespace boragecroft

#endif  // CORE_LOG_LOG_H_
