#include <array>
#include <cstdio>
#include <fstream>
#include <iterator>
#include <limits>
#include <utility>

#include "core/base/random.h"
#include "core/json/object_reader.h"
#include "main/ctl/commands.h"
#include "main/ctl/table.h"
#include "servers/configuration/configuration_diff.h"
#include "servers/configuration/configuration_update.h"

namespace boragecroft::detail {
namespace {

constexpr Range kVersionRange{.low = 0,
                              .high = std::numeric_limits<int64_t>::max()};

// Number of times that an undecided change is sent again with the same
// operation id.
constexpr int kUndecidedRetries = 2;

// Exit code of a command that ends early, after its reason was printed.
using EarlyExit = ExitCode;

// The declarations that are in force at an instance. Without any, the version
// is 0 and the document is null.
struct ActiveConfiguration {
  int64_t version = 0;
  json::value document;
};

auto ReadFile(const std::string& name, std::ostream& err)
    -> Result<std::string, EarlyExit> {
  std::ifstream file(name, std::ios::binary);
  if (!file) {
    err << name << ": cannot be read\n";
    return EarlyExit::kUsage;
  }
  return std::string(std::istreambuf_iterator<char>(file), {});
}

auto PrintErrors(const std::string& name,
                 const std::vector<FieldError>& errors,
                 std::ostream& err) -> void {
  for (const auto& it : errors) {
    err << name << ": " << ToString(it) << "\n";
  }
}

// Reads the file and checks it strictly. Returns the document as it was
// written.
auto ReadDocument(const std::string& name, std::ostream& err)
    -> Result<json::value, EarlyExit> {
  BOOST_OUTCOME_TRY(const auto text, ReadFile(name, err));
  const auto configuration = ParseConfiguration(text);
  if (configuration.has_error()) {
    PrintErrors(name, configuration.error(), err);
    return EarlyExit::kRefused;
  }
  return ParseJsonWithComments(text).value();
}

auto Call(const CommandLine& line,
          const HttpRequest& request,
          bool changes,
          std::ostream& err) -> Result<OperatorReply, EarlyExit> {
  auto reply = CallInstances(line.instances, request, line.timeout);
  if (reply.has_error()) {
    err << reply.error().reason << "\n";
    return ExitCodeOf(reply.error(), changes);
  }
  if (const auto code = ExitCodeOf(reply.value()); code != ExitCode::kOk) {
    PrintRefusal(reply.value(), err);
    return code;
  }
  return std::move(reply.value());
}

auto GetActiveConfiguration(const CommandLine& line,
                            int schema_version,
                            std::ostream& err)
    -> Result<ActiveConfiguration, EarlyExit> {
  HttpRequest request;
  request.method = "GET";
  request.target =
      "/v1/configuration?schema_version=" + std::to_string(schema_version);
  BOOST_OUTCOME_TRY(const auto reply, Call(line, request, false, err));
  std::vector<FieldError> errors;
  ObjectReader reader(reply.body, "", errors);
  ActiveConfiguration out;
  out.version = reader.Integer("version", kVersionRange);
  if (const auto* document = reader.Raw("document")) {
    out.document = *document;
  }
  if (!errors.empty()) {
    PrintErrors("answer of the instance", errors, err);
    return EarlyExit::kRefused;
  }
  return out;
}

auto DrawOperationId() -> std::string {
  std::array<char, 33> buf{};
  std::snprintf(buf.data(), buf.size(), "%016llx%016llx",
                static_cast<unsigned long long>(DrawEntropy()),
                static_cast<unsigned long long>(DrawEntropy()));
  return buf.data();
}

auto PrintChanges(const CommandLine& line,
                  const std::vector<ConfigurationChange>& changes,
                  std::ostream& out) -> void {
  if (line.output == OutputFormat::kTable) {
    for (const auto& it : changes) {
      out << ToString(it) << "\n";
    }
    return;
  }
  json::array list;
  for (const auto& it : changes) {
    list.push_back(json::object{{"kind", ToString(it.kind)},
                                {"field", it.field},
                                {"before", it.before},
                                {"after", it.after}});
  }
  out << ToPrettyJson(json::object{{"changes", std::move(list)}});
}

auto Check(const CommandLine& line, std::ostream& out, std::ostream& err)
    -> Result<void, EarlyExit> {
  BOOST_OUTCOME_TRY(ReadDocument(line.operand, err));
  out << line.operand << ": valid\n";
  return success();
}

auto Diff(const CommandLine& line, std::ostream& out, std::ostream& err)
    -> Result<void, EarlyExit> {
  BOOST_OUTCOME_TRY(const auto document, ReadDocument(line.operand, err));
  BOOST_OUTCOME_TRY(const auto active,
                    GetActiveConfiguration(line, kCurrentSchemaVersion, err));
  Configuration before;
  if (active.version > 0) {
    auto read = ReadConfiguration(active.document, Strictness::kLenient);
    if (read.has_error()) {
      PrintErrors("declarations in force", read.error(), err);
      return EarlyExit::kRefused;
    }
    before = std::move(read.value());
  }
  const auto after =
      PrepareUpdate(active.version > 0 ? &before : nullptr, document);
  if (after.has_error()) {
    PrintErrors(line.operand, after.error(), err);
    return EarlyExit::kRefused;
  }
  PrintChanges(line, DiffConfigurations(before, after.value()), out);
  return success();
}

auto IsUndecided(const Result<OperatorReply, EarlyExit>& reply) -> bool {
  return reply.has_error() && reply.error() == EarlyExit::kUndecided;
}

auto Apply(const CommandLine& line, std::ostream& out, std::ostream& err)
    -> Result<void, EarlyExit> {
  BOOST_OUTCOME_TRY(auto document, ReadDocument(line.operand, err));
  auto expected = line.expected_version;
  if (!expected) {
    BOOST_OUTCOME_TRY(const auto active,
                      GetActiveConfiguration(line, kCurrentSchemaVersion, err));
    expected = active.version;
  }
  const auto operation =
      line.operation_id.empty() ? DrawOperationId() : line.operation_id;
  HttpRequest request;
  request.method = "PUT";
  request.target = "/v1/configuration";
  request.headers = {{"Content-Type", "application/json"}};
  request.body = ToJsonText(json::object{{"expected_version", *expected},
                                         {"operation_id", operation},
                                         {"document", std::move(document)}});
  auto reply = Call(line, request, true, err);
  for (auto i = 0; i < kUndecidedRetries && IsUndecided(reply); ++i) {
    reply = Call(line, request, true, err);
  }
  if (IsUndecided(reply)) {
    err << "undecided; to settle it, repeat with --expected-version "
        << *expected << " --operation-id " << operation << "\n";
  }
  BOOST_OUTCOME_TRY(const auto answer, std::move(reply));
  out << ToPrettyJson(answer.body);
  return success();
}

auto Show(const CommandLine& line, std::ostream& out, std::ostream& err)
    -> Result<void, EarlyExit> {
  BOOST_OUTCOME_TRY(auto active,
                    GetActiveConfiguration(line, line.schema_version, err));
  if (line.output == OutputFormat::kJson) {
    out << ToPrettyJson(json::object{{"version", active.version},
                                     {"document", std::move(active.document)}});
    return success();
  }
  // The version is printed as a comment, so that the output can be edited and
  // applied without further changes.
  out << "// version " << active.version << "\n"
      << ToPrettyJson(active.document);
  return success();
}

auto ToExitCode(const Result<void, EarlyExit>& result) -> ExitCode {
  return result.has_error() ? result.error() : ExitCode::kOk;
}

}  // namespace

auto RunCheck(const CommandLine& line, std::ostream& out, std::ostream& err)
    -> ExitCode {
  return ToExitCode(Check(line, out, err));
}

auto RunDiff(const CommandLine& line, std::ostream& out, std::ostream& err)
    -> ExitCode {
  return ToExitCode(Diff(line, out, err));
}

auto RunApply(const CommandLine& line, std::ostream& out, std::ostream& err)
    -> ExitCode {
  return ToExitCode(Apply(line, out, err));
}

auto RunShow(const CommandLine& line, std::ostream& out, std::ostream& err)
    -> ExitCode {
  return ToExitCode(Show(line, out, err));
}

}  // namespace boragecroft::detail
