#include "main/settings/settings_reference.h"

#include "main/settings/settings_table.h"

namespace boragecroft {
namespace {

constexpr std::string_view kRequired = "required";

auto Row(std::string_view key,
         std::string_view allowed,
         std::string_view fallback,
         std::string_view meaning) -> std::string {
  std::string out = "| `";
  out.append(key).append("` | ").append(allowed).append(" | ");
  out.append(fallback).append(" | ").append(meaning).append(" |\n");
  return out;
}

auto Allowed(Range range, std::string_view unit) -> std::string {
  return std::to_string(range.low) + " to " + std::to_string(range.high) +
         std::string(unit);
}

auto LogLevels() -> std::string {
  std::string out;
  for (const auto& it : detail::LogLevelNames()) {
    out.append(out.empty() ? "`" : ", `").append(it).append("`");
  }
  return out;
}

}  // namespace

auto SettingsReference() -> std::string {
  const DaemonSettings defaults;
  std::string out =
      "| key | allowed | default | meaning |\n|---|---|---|---|\n";
  for (const auto& it : detail::TextKeys()) {
    out += Row(it.key, "a name", kRequired, it.meaning);
  }
  for (const auto& it : detail::AddressKeys()) {
    out += Row(it.key,
               it.port_zero_allowed ? "IP:port, port 0 allowed" : "IP:port",
               kRequired, it.meaning);
  }
  out += Row(detail::kSeedInstancesKey, "array of IP:port", "none",
             "Addresses of other instances to ask before the platform's list "
             "is known.");
  out +=
      Row(detail::kLogLevelKey, LogLevels(),
          detail::LogLevelNames().at(static_cast<size_t>(defaults.log_level)),
          "Lowest level that is logged.");
  for (const auto& it : detail::DurationKeys()) {
    out += Row(it.key, Allowed(it.range, " ms"),
               std::to_string((defaults.*it.member).count()), it.meaning);
  }
  for (const auto& it : detail::CountKeys()) {
    out += Row(it.key, Allowed(it.range, it.unit),
               std::to_string(defaults.*it.member), it.meaning);
  }
  return out;
}

}  // namespace boragecroft
