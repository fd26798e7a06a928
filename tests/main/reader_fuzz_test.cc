// Passes mutated documents and random bytes to the readers of configuration,
// settings and JSON. The readers must never crash, and each error must name a
// field or a byte.
#include <gtest/gtest.h>
// RapidCheck's header must be included after GoogleTest's.
#include <rapidcheck/gtest.h>

#include "main/settings/daemon_settings.h"
#include "servers/configuration/configuration.h"
#include "servers/configuration/configuration_diff.h"
#include "servers/configuration/configuration_row.h"
#include "servers/configuration/configuration_update.h"
#include "tests/main/source_files.h"

namespace boragecroft {
namespace {

// Replaces, inserts, removes or repeats up to four pieces of the text.
auto MutateText(std::string text) -> std::string {
  const auto n = *rc::gen::inRange(1, 5);
  for (auto i = 0; i < n; ++i) {
    const auto at = *rc::gen::inRange<size_t>(0, text.size() + 1);
    const auto length = *rc::gen::inRange<size_t>(0, 20);
    const auto piece = *rc::gen::oneOf(
        rc::gen::arbitrary<std::string>(),
        rc::gen::elementOf(std::vector<std::string>{
            "{", "}", "[", "]", ",", ":", "\"", "null", "-1", "1e999", "0.5",
            "99999999999999999999", "//", "/*", "\xff", "\\ud800", "\"\""}),
        rc::gen::just(text.substr(at, length)));
    text.replace(at, *rc::gen::elementOf(std::vector<size_t>{0, length}),
                 piece);
  }
  return text;
}

// Replaces, removes or repeats one member at a depth of at most `depth`. A
// replacement can have any type.
auto MutateValue(json::value& value, int depth) -> void {
  static const std::vector<std::string> texts = {
      "null", "true",  "-1",
      "0",    "1.5",   "9223372036854775808",
      "\"\"", "\"x\"", "\"a\\u0000b\"",
      "[]",   "{}",    "[[{}]]"};
  if (depth > 0 && value.is_array() && !value.get_array().empty()) {
    auto& array = value.get_array();
    const auto i = *rc::gen::inRange<size_t>(0, array.size());
    if (*rc::gen::inRange(0, 4) == 0) {
      array.push_back(json::value(array[i]));
      return;
    }
    MutateValue(array[i], depth - 1);
    return;
  }
  if (depth > 0 && value.is_object() && !value.get_object().empty()) {
    auto& object = value.get_object();
    const auto i = *rc::gen::inRange<size_t>(0, object.size());
    const auto key = std::string((object.begin() + i)->key());
    if (*rc::gen::inRange(0, 4) == 0) {
      object.erase(key);
      return;
    }
    MutateValue(object[key], depth - 1);
    return;
  }
  const auto text = *rc::gen::elementOf(texts);
  value = ParseJson("[" + text + "]").value().at(0);
}

auto Declarations() -> std::string {
  return ReadSource(*rc::gen::elementOf(
      std::vector<std::string>{"deploy/cartas/declarations.jsonc",
                               "deploy/logbook/declarations.jsonc"}));
}

auto CheckErrors(const std::vector<FieldError>& errors) -> void {
  RC_ASSERT(!errors.empty());
  for (const auto& it : errors) {
    RC_ASSERT(!it.field.empty() || !it.found.empty());
    RC_ASSERT(!it.found.empty());
    RC_ASSERT(!it.allowed.empty());
  }
}

// A document that was accepted must not change when it is written in the
// current schema version and read again.
auto CheckRoundTrip(const Configuration& configuration) -> void {
  const auto again = ReadConfiguration(
      ToJson(configuration, kCurrentSchemaVersion), Strictness::kLenient);
  RC_ASSERT(again.has_value());
  RC_ASSERT(DiffConfigurations(configuration, again.value()).empty());
}

auto CheckConfiguration(const json::value& document) -> void {
  for (const auto strictness : {Strictness::kStrict, Strictness::kLenient}) {
    const auto result = ReadConfiguration(document, strictness);
    if (result.has_error()) {
      CheckErrors(result.error());
    } else {
      CheckRoundTrip(result.value());
    }
  }
}

auto CheckSettings(const std::string& text) -> void {
  const auto result = ParseSettings(text, "file");
  if (result.has_value()) {
    return;
  }
  RC_ASSERT(!result.error().empty());
  for (const auto& it : result.error()) {
    RC_ASSERT(it.file == "file");
    RC_ASSERT(!it.found.empty());
    RC_ASSERT(!it.allowed.empty());
  }
}

auto CheckText(const std::string& text) -> void {
  const auto configuration = ParseConfiguration(text);
  if (configuration.has_error()) {
    CheckErrors(configuration.error());
  }
  CheckSettings(text);
  const auto parsed = ParseJson(text);
  if (parsed.has_value()) {
    RC_ASSERT(ParseJson(ToJsonText(parsed.value())).has_value());
    CheckConfiguration(parsed.value());
    (void)ReadConfigurationRow(1, parsed.value());
  } else {
    RC_ASSERT(!parsed.error().reason.empty());
    RC_ASSERT(parsed.error().offset <= text.size());
  }
}

RC_GTEST_PROP(ReaderFuzzTest, RandomBytesAreRejectedOrParsed, ()) {
  CheckText(*rc::gen::arbitrary<std::string>());
}

RC_GTEST_PROP(ReaderFuzzTest, HandlesMutatedTextOfDeclarations, ()) {
  CheckText(MutateText(Declarations()));
}

RC_GTEST_PROP(ReaderFuzzTest, HandlesMutatedTextOfSettings, ()) {
  CheckText(MutateText(ReadSource("deploy/cartas/daemon.jsonc")));
}

RC_GTEST_PROP(ReaderFuzzTest, HandlesMutatedMembersOfDeclarations, ()) {
  const auto original = ParseConfiguration(Declarations()).value();
  const auto version = *rc::gen::inRange(1, 3);
  auto document = ToJson(original, version);
  const auto n = *rc::gen::inRange(0, 4);
  for (auto i = 0; i < n; ++i) {
    MutateValue(document, *rc::gen::inRange(1, 5));
  }
  CheckConfiguration(document);
  const auto update = PrepareUpdate(&original, document);
  if (update.has_error()) {
    CheckErrors(update.error());
  } else {
    CheckRoundTrip(update.value());
  }
}

RC_GTEST_PROP(ReaderFuzzTest, HandlesMutatedMembersOfSettings, ()) {
  auto document =
      ParseJsonWithComments(ReadSource("deploy/logbook/daemon.jsonc")).value();
  MutateValue(document, *rc::gen::inRange(1, 3));
  CheckSettings(ToJsonText(document));
}

}  // namespace
}  // namespace boragecroft
