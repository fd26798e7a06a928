#include "main/ctl/commands.h"

#include <utility>

#include "main/ctl/table.h"
#include "main/settings/settings_reference.h"

namespace boragecroft {
namespace {

// A list in a reply, and the columns of it that are printed.
struct ListView {
  std::string member;
  std::vector<std::string> columns;
};

// A call of an instance whose reply is printed.
struct Query {
  std::string method;
  std::string target;
  bool changes = false;         // whether the call requests a change
  std::vector<ListView> lists;  // empty: always printed as JSON
};

// Appends a query parameter unless its value is empty.
auto AddParameter(std::string& target,
                  const std::string& name,
                  const std::string& value) -> void {
  if (value.empty()) {
    return;
  }
  target += target.find('?') == std::string::npos ? "?" : "&";
  target += name + "=" + value;
}

auto NumberText(const std::optional<int64_t>& number) -> std::string {
  return number ? std::to_string(*number) : std::string();
}

auto JobsListQuery(const CommandLine& line) -> Query {
  std::string target = "/v1/jobs";
  AddParameter(target, "state", line.state);
  AddParameter(target, "partner", line.partner);
  AddParameter(target, "limit", NumberText(line.limit));
  return {.method = "GET",
          .target = std::move(target),
          .lists = {{"jobs",
                     {"id", "partner", "service", "class", "state", "tasks",
                      "done", "failed", "started", "queued", "age_ms"}}}};
}

auto AccountQuery(const CommandLine& line) -> Query {
  std::string target = "/v1/account";
  AddParameter(target, "partner", line.partner);
  AddParameter(target, "from_ms", NumberText(line.from_ms));
  AddParameter(target, "to_ms", NumberText(line.to_ms));
  return {.method = "GET",
          .target = std::move(target),
          .lists = {{"rows",
                     {"partner", "submissions", "done", "failed", "refused",
                      "tasks_done", "tasks_failed", "tasks_not_run",
                      "tasks_may_have_run"}}}};
}

auto InstancesQuery() -> Query {
  return {.method = "GET",
          .target = "/v1/instances",
          .lists = {{"instances",
                     {"instance", "zone", "address", "incarnation", "state",
                      "configuration_version", "last_heard_ms"}},
                    {"workers",
                     {"worker", "zone", "address", "service", "state", "slots",
                      "in_use"}}}};
}

auto QueryOf(const CommandLine& line) -> Query {
  switch (line.command) {
    case Command::kJobsList:
      return JobsListQuery(line);
    case Command::kJobsShow:
      return {.method = "GET", .target = "/v1/jobs/" + line.operand};
    case Command::kJobsCancel:
      return {.method = "POST",
              .target = "/v1/jobs/" + line.operand + "/cancel",
              .changes = true};
    case Command::kAccount:
      return AccountQuery(line);
    case Command::kInstances:
      return InstancesQuery();
    case Command::kDrain:
      return {.method = "POST", .target = "/v1/drain", .changes = true};
    default:
      return {.method = "GET", .target = "/v1/dump"};
  }
}

auto PrintReply(const CommandLine& line,
                const Query& query,
                const OperatorReply& reply,
                std::ostream& out) -> void {
  const auto* body = reply.body.if_object();
  if (line.output == OutputFormat::kJson || query.lists.empty() ||
      body == nullptr) {
    out << ToPrettyJson(reply.body);
    return;
  }
  auto separator = "";
  for (const auto& it : query.lists) {
    const auto* list = body->if_contains(it.member);
    if (list != nullptr && list->is_array()) {
      out << separator << ToTable(list->get_array(), it.columns);
      separator = "\n";
    }
  }
}

auto RunQuery(const CommandLine& line, std::ostream& out, std::ostream& err)
    -> ExitCode {
  const auto query = QueryOf(line);
  const HttpRequest request{.method = query.method,
                            .target = query.target,
                            .headers = {},
                            .body = {}};
  const auto reply = CallInstances(line.instances, request, line.timeout);
  if (reply.has_error()) {
    err << reply.error().reason << "\n";
    return ExitCodeOf(reply.error(), query.changes);
  }
  const auto code = ExitCodeOf(reply.value());
  if (code == ExitCode::kOk) {
    PrintReply(line, query, reply.value(), out);
  } else {
    detail::PrintRefusal(reply.value(), err);
  }
  return code;
}

}  // namespace

auto detail::PrintRefusal(const OperatorReply& reply, std::ostream& err)
    -> void {
  err << "refused (" << reply.status << "): " << ToPrettyJson(reply.body);
}

auto RunCommand(const CommandLine& line, std::ostream& out, std::ostream& err)
    -> ExitCode {
  switch (line.command) {
    case Command::kCheck:
      return detail::RunCheck(line, out, err);
    case Command::kDiff:
      return detail::RunDiff(line, out, err);
    case Command::kApply:
      return detail::RunApply(line, out, err);
    case Command::kShow:
      return detail::RunShow(line, out, err);
    case Command::kSettings:
      out << SettingsReference();
      return ExitCode::kOk;
    default:
      return RunQuery(line, out, err);
  }
}

}  // namespace boragecroft
