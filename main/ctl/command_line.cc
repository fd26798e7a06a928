#include "main/ctl/command_line.h"

#include <tclap/CmdLine.h>

#include <algorithm>
#include <array>
#include <cctype>
#include <string_view>
#include <utility>

#include "core/base/ids.h"

namespace boragecroft {
namespace {

enum class Operand : uint8_t { kNone, kFile, kJobId };

// The syntax of a command: its words, its operand and the options that it
// accepts in addition to --output and --timeout-ms.
struct CommandSyntax {
  Command command;
  std::string_view words;
  Operand operand;
  bool calls_instance;
  std::string_view options;  // long names, each between two spaces
  std::string_view meaning;
};

constexpr std::array kCommands = {
    CommandSyntax{Command::kCheck, "check", Operand::kFile, false, "",
                  "check a declarations file, offline"},
    CommandSyntax{Command::kDiff, "diff", Operand::kFile, true, "",
                  "list what applying the file would change"},
    CommandSyntax{Command::kApply, "apply", Operand::kFile, true,
                  " expected-version operation-id ", "put the file in force"},
    CommandSyntax{Command::kShow, "show", Operand::kNone, true,
                  " schema-version ", "print the declarations in force"},
    CommandSyntax{Command::kJobsList, "jobs list", Operand::kNone, true,
                  " partner state limit ", "list the jobs of an instance"},
    CommandSyntax{Command::kJobsShow, "jobs show", Operand::kJobId, true, "",
                  "print one job"},
    CommandSyntax{Command::kJobsCancel, "jobs cancel", Operand::kJobId, true,
                  "", "cancel one job"},
    CommandSyntax{Command::kAccount, "account", Operand::kNone, true,
                  " partner from to ",
                  "account for submissions and tasks by partner"},
    CommandSyntax{Command::kDump, "dump", Operand::kNone, true, "",
                  "print the state of one instance"},
    CommandSyntax{Command::kInstances, "instances", Operand::kNone, true, "",
                  "list instances and workers as one instance sees them"},
    CommandSyntax{Command::kDrain, "drain", Operand::kNone, true, "",
                  "stop one instance gracefully"},
    CommandSyntax{Command::kSettings, "settings", Operand::kNone, false, "",
                  "print the reference of the daemon's settings, offline"},
};

auto OperandName(Operand operand) -> std::string_view {
  switch (operand) {
    case Operand::kNone:
      return "";
    case Operand::kFile:
      return " FILE";
    case Operand::kJobId:
      return " ID";
  }
  return "";
}

auto UsageError(const std::string& text) -> CommandLineExit {
  return {
      .is_error = true,
      .text = "boragecroftctl: " + text + "\nTry \"boragecroftctl --help\".\n"};
}

// Declares the options and reads their values.
class Options {
 public:
  Options() : parser_("", ' ', "", false) {
    parser_.setExceptionHandling(false);
  }

  auto Parse(std::vector<std::string>& args) -> void { parser_.parse(args); }

  auto HasKnownOutput() const -> bool {
    return output_.getValue() == "json" || output_.getValue() == "table";
  }
  auto WantsHelp() const -> bool { return help_.getValue(); }
  auto Words() const -> const std::vector<std::string>& {
    return words_.getValue();
  }
  // Returns the first word that looks like an option, or an empty text.
  auto FindUnknown() const -> std::string {
    for (const auto& it : Words()) {
      if (it.starts_with("-")) {
        return it;
      }
    }
    return {};
  }
  auto Instances() const -> const std::vector<std::string>& {
    return instances_.getValue();
  }

  // Copies all values except words and instances.
  auto CopyTo(CommandLine& out) const -> void {
    out.output = output_.getValue() == "json" ? OutputFormat::kJson
                                              : OutputFormat::kTable;
    out.timeout = milliseconds(timeout_.getValue());
    out.schema_version = schema_version_.getValue();
    out.operation_id = operation_id_.getValue();
    out.partner = partner_.getValue();
    out.state = state_.getValue();
    out.expected_version = Value(expected_version_);
    out.limit = Value(limit_);
    out.from_ms = Value(from_);
    out.to_ms = Value(to_);
  }

  // Returns the name of an option that was given and is not among `allowed`, or
  // an empty text.
  auto FindMisplaced(std::string_view allowed) const -> std::string {
    const std::array<const TCLAP::Arg*, 8> command_options = {
        &operation_id_,   &expected_version_,
        &schema_version_, &partner_,
        &state_,          &limit_,
        &from_,           &to_};
    for (const auto* it : command_options) {
      if (it->isSet() &&
          allowed.find(" " + it->getName() + " ") == std::string_view::npos) {
        return it->getName();
      }
    }
    return {};
  }

 private:
  using Number = TCLAP::ValueArg<int64_t>;
  using Text = TCLAP::ValueArg<std::string>;

  static auto Value(const Number& option) -> std::optional<int64_t> {
    return option.isSet() ? std::optional(option.getValue()) : std::nullopt;
  }

  TCLAP::CmdLine parser_;
  TCLAP::SwitchArg help_{"h", "help", "", parser_};
  TCLAP::MultiArg<std::string> instances_{"i",   "instance", "",
                                          false, "IP:PORT",  parser_};
  Text output_{"o", "output", "", false, "table", "table|json", parser_};
  Number timeout_{"", "timeout-ms", "", false, 5000, "MS", parser_};
  Number expected_version_{"", "expected-version", "", false, 0, "N", parser_};
  Number schema_version_{"", "schema-version", "", false, 2, "N", parser_};
  Text operation_id_{"", "operation-id", "", false, "", "ID", parser_};
  Text partner_{"", "partner", "", false, "", "NAME", parser_};
  Text state_{"", "state", "", false, "", "STATE", parser_};
  Number limit_{"", "limit", "", false, 0, "N", parser_};
  Number from_{"", "from", "", false, 0, "MS", parser_};
  Number to_{"", "to", "", false, 0, "MS", parser_};
  TCLAP::UnlabeledMultiArg<std::string> words_{"command", "words and operand",
                                               false, "COMMAND", parser_};
};

auto FindSyntax(const std::vector<std::string>& words) -> const CommandSyntax* {
  for (const auto& it : kCommands) {
    const auto operand_count = it.operand == Operand::kNone ? 0U : 1U;
    const auto word_count =
        it.words.find(' ') == std::string_view::npos ? 1U : 2U;
    if (words.size() != word_count + operand_count) {
      continue;
    }
    const auto joined = word_count == 1 ? words[0] : words[0] + " " + words[1];
    if (joined == it.words) {
      return &it;
    }
  }
  return nullptr;
}

// Reports whether a value can be part of a request's target without escaping.
auto IsUrlSafe(std::string_view text) -> bool {
  return std::all_of(text.begin(), text.end(), [](unsigned char c) {
    return std::isalnum(c) != 0 || c == '-' || c == '_' || c == '.';
  });
}

auto IsOperationId(std::string_view text) -> bool {
  constexpr size_t kDigits = 32;
  return text.size() == kDigits &&
         std::all_of(text.begin(), text.end(),
                     [](unsigned char c) { return std::isxdigit(c) != 0; });
}

auto CheckValues(const CommandLine& line, const Options& options)
    -> std::optional<std::string> {
  if (line.timeout <= milliseconds(0)) {
    return "--timeout-ms must be positive";
  }
  if (line.schema_version < 1 || line.schema_version > 2) {
    return "--schema-version must be 1 or 2";
  }
  if (line.expected_version && *line.expected_version < 0) {
    return "--expected-version must not be negative";
  }
  if (!line.operation_id.empty() &&
      (!IsOperationId(line.operation_id) || !line.expected_version)) {
    return "--operation-id is 32 hexadecimal digits, with --expected-version";
  }
  if (!IsUrlSafe(line.partner) || !IsUrlSafe(line.state)) {
    return "names are letters, digits, dots, dashes or underscores";
  }
  if (line.limit && *line.limit <= 0) {
    return "--limit must be positive";
  }
  if (line.from_ms && line.to_ms && *line.from_ms > *line.to_ms) {
    return "--from must not be after --to";
  }
  const auto& words = options.Words();
  const auto is_job = line.command == Command::kJobsShow ||
                      line.command == Command::kJobsCancel;
  if (is_job && !ParseJobId(words.back())) {
    return "\"" + words.back() + "\" is not a job id";
  }
  return std::nullopt;
}

// Parses the addresses of the instances. Returns the text of an error when one
// is invalid.
auto ReadInstances(const Options& options,
                   const CommandSyntax& syntax,
                   CommandLine& out) -> std::optional<std::string> {
  for (const auto& it : options.Instances()) {
    const auto address = ParseAddress(it);
    if (!address || address->port == 0) {
      return "--instance \"" + it + "\" is not an IP number and port";
    }
    out.instances.push_back(*address);
  }
  if (syntax.calls_instance && out.instances.empty()) {
    return "\"" + std::string(syntax.words) + "\" needs --instance IP:PORT";
  }
  const auto needs_one =
      syntax.command == Command::kDrain || syntax.command == Command::kDump;
  if (needs_one && out.instances.size() > 1) {
    return "\"" + std::string(syntax.words) + "\" takes one --instance";
  }
  return std::nullopt;
}

auto Build(const Options& options) -> Result<CommandLine, CommandLineExit> {
  if (const auto name = options.FindUnknown(); !name.empty()) {
    return UsageError("no such option: " + name);
  }
  if (!options.HasKnownOutput()) {
    return UsageError("--output is table or json");
  }
  const auto* syntax = FindSyntax(options.Words());
  if (syntax == nullptr) {
    return UsageError("no such command, or a wrong number of operands");
  }
  CommandLine out;
  out.command = syntax->command;
  if (syntax->operand != Operand::kNone) {
    out.operand = options.Words().back();
  }
  options.CopyTo(out);
  if (const auto name = options.FindMisplaced(syntax->options); !name.empty()) {
    return UsageError("\"" + std::string(syntax->words) +
                      "\" does not take --" + name);
  }
  if (auto error = ReadInstances(options, *syntax, out)) {
    return UsageError(*error);
  }
  if (auto error = CheckValues(out, options)) {
    return UsageError(*error);
  }
  return out;
}

}  // namespace

auto ParseCommandLine(std::vector<std::string> args)
    -> Result<CommandLine, CommandLineExit> {
  Options options;
  try {
    options.Parse(args);
  } catch (const TCLAP::ArgException& e) {
    return UsageError(e.error() + " " + e.argId());
  }
  if (options.WantsHelp()) {
    return CommandLineExit{.is_error = false, .text = HelpText()};
  }
  return Build(options);
}

auto HelpText() -> std::string {
  constexpr size_t kMeaningColumn = 20;
  std::string out =
      "Usage: boragecroftctl COMMAND [OPTIONS]\n\n"
      "Commands:\n";
  for (const auto& it : kCommands) {
    auto left = std::string(it.words) + std::string(OperandName(it.operand));
    left.resize(std::max(left.size(), kMeaningColumn), ' ');
    out.append("  ").append(left).append(it.meaning).append("\n");
  }
  return out + R"(
Options:
  -i, --instance IP:PORT  operators' address of an instance; repeat it to name
                          others to ask when the first does not answer
  -o, --output FORMAT     table or json (default table)
  --timeout-ms MS         longest wait for each instance (default 5000)
  --expected-version N    apply: the version to replace (default: the one that
                          is in force when the command starts)
  --operation-id ID       apply: repeat an undecided operation, with its
                          expected version
  --schema-version N      show: 1 or 2 (default 2)
  --partner NAME          jobs list, account: only this partner
  --state STATE           jobs list: active, done, failed or refused
  --limit N               jobs list: at most so many
  --from MS, --to MS      account: milliseconds since 1970
  -h, --help              print this text

Exit codes:
  0  done
  1  refused: invalid, not found, or another operator was first
  2  wrong usage
  3  no instance answered; nothing changed
  4  undecided: the change may have taken effect, or may yet
)";
}

}  // namespace boragecroft
