#include "main/settings/daemon_settings.h"

#include <algorithm>
#include <utility>

#include "main/settings/settings_table.h"

namespace boragecroft {
namespace {

constexpr int kMinHeartbeatsBeforeDead = 3;

auto ReadText(ObjectReader& reader, const detail::TextKey& it) -> std::string {
  auto text = reader.Text(it.key);
  if (reader.Has(it.key) && reader.Raw(it.key)->is_string() && text.empty()) {
    reader.Fail(it.key, "\"\"", "a name");
  }
  return text;
}

auto ParseAddressIn(ObjectReader& reader,
                    std::string_view key,
                    std::string_view text,
                    bool port_zero_allowed) -> Address {
  auto address = ParseAddress(text);
  if (!address || (address->port == 0 && !port_zero_allowed)) {
    reader.Fail(key, ToJsonText(json::value(json::string(text))),
                port_zero_allowed
                    ? "an IP number and port, for example \"10.0.0.1:80\""
                    : "an IP number and port other than 0, for example "
                      "\"10.0.0.1:80\"");
    return {};
  }
  return std::move(*address);
}

auto ReadAddress(ObjectReader& reader, const detail::AddressKey& it)
    -> Address {
  const auto* value = reader.Raw(it.key);
  const auto text = reader.Text(it.key);
  if (value == nullptr || !value->is_string()) {
    return {};
  }
  return ParseAddressIn(reader, it.key, text, it.port_zero_allowed);
}

auto ReadSeeds(ObjectReader& reader) -> std::vector<Address> {
  const auto* value = reader.Raw(detail::kSeedInstancesKey);
  if (value == nullptr) {
    return {};
  }
  if (!value->is_array()) {
    reader.Fail(detail::kSeedInstancesKey, ToJsonText(*value),
                "an array of addresses");
    return {};
  }
  std::vector<Address> out;
  size_t i = 0;
  for (const auto& it : value->get_array()) {
    const auto key = std::string(detail::kSeedInstancesKey) + "[" +
                     std::to_string(i++) + "]";
    const auto text =
        it.is_string() ? std::string(it.get_string()) : ToJsonText(it);
    out.push_back(ParseAddressIn(reader, key, text, false));
  }
  return out;
}

auto CheckTimes(const DaemonSettings& settings, ObjectReader& reader) -> void {
  const auto to_text = [](milliseconds it) {
    return std::to_string(it.count());
  };
  const auto min_dead_after =
      kMinHeartbeatsBeforeDead * settings.heartbeat_interval;
  if (settings.dead_after < min_dead_after) {
    reader.Fail(
        "dead_after_ms", to_text(settings.dead_after),
        "at least 3 times heartbeat_interval_ms: " + to_text(min_dead_after));
  }
  if (settings.pause_threshold >= settings.dead_after) {
    reader.Fail("pause_threshold_ms", to_text(settings.pause_threshold),
                "less than dead_after_ms " + to_text(settings.dead_after));
  }
  if (settings.balancer_grace >= settings.drain_timeout) {
    reader.Fail(
        "balancer_grace_ms", to_text(settings.balancer_grace),
        "less than drain_timeout_ms " + to_text(settings.drain_timeout));
  }
}

auto CheckAddresses(const DaemonSettings& settings, ObjectReader& reader)
    -> void {
  std::vector<Address> used;
  const auto& own = settings.listen_instances;
  if (own.ip == "0.0.0.0" || own.ip == "::") {
    reader.Fail("listen_instances", ToString(own),
                "an address that other instances can connect to");
  }
  for (const auto& it : detail::AddressKeys()) {
    const auto& address = settings.*it.member;
    if (address.port == 0) {
      continue;
    }
    if (std::find(used.begin(), used.end(), address) != used.end()) {
      reader.Fail(it.key, ToString(address),
                  "an address that no other key names");
    }
    used.push_back(address);
  }
}

auto ReadSettings(ObjectReader& reader) -> DaemonSettings {
  DaemonSettings out;
  for (const auto& it : detail::TextKeys()) {
    out.*it.member = ReadText(reader, it);
  }
  for (const auto& it : detail::AddressKeys()) {
    out.*it.member = ReadAddress(reader, it);
  }
  out.seed_instances = ReadSeeds(reader);
  out.log_level = static_cast<LogLevel>(
      reader.ChoiceOr(detail::kLogLevelKey, detail::LogLevelNames(),
                      static_cast<size_t>(out.log_level)));
  for (const auto& it : detail::DurationKeys()) {
    out.*it.member = reader.MillisecondsOr(it.key, it.range, out.*it.member);
  }
  for (const auto& it : detail::CountKeys()) {
    out.*it.member = reader.IntegerOr(it.key, it.range, out.*it.member);
  }
  reader.RejectUnknown();
  return out;
}

auto FromFieldErrors(const std::string& file,
                     const std::vector<FieldError>& errors)
    -> std::vector<SettingsError> {
  std::vector<SettingsError> out;
  out.reserve(errors.size());
  for (const auto& it : errors) {
    out.push_back(SettingsError{.file = file,
                                .key = it.field,
                                .found = it.found,
                                .allowed = it.allowed});
  }
  return out;
}

}  // namespace

auto ToString(const SettingsError& error) -> std::string {
  const auto key = error.key.empty() ? std::string("(file)") : error.key;
  return error.file + ": " + key + ": found " + error.found +
         ", allowed: " + error.allowed;
}

auto ParseSettings(std::string_view text, const std::string& file_name)
    -> Result<DaemonSettings, std::vector<SettingsError>> {
  const auto document = ParseJsonWithComments(text);
  if (document.has_error()) {
    const auto& error = document.error();
    return std::vector{SettingsError{
        .file = file_name,
        .key = {},
        .found = error.reason + " at byte " + std::to_string(error.offset),
        .allowed = "JSON, comments allowed"}};
  }
  std::vector<FieldError> errors;
  ObjectReader reader(document.value(), "", errors);
  auto settings = ReadSettings(reader);
  if (errors.empty()) {
    CheckTimes(settings, reader);
    CheckAddresses(settings, reader);
  }
  if (!errors.empty()) {
    return FromFieldErrors(file_name, errors);
  }
  return settings;
}

}  // namespace boragecroft
