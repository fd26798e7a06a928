#include "main/ctl/exit_code.h"

namespace boragecroft {
namespace {

constexpr int kFirstErrorStatus = 300;

}  // namespace

auto ErrorCodeOf(const OperatorReply& reply) -> std::string {
  const auto* body = reply.body.if_object();
  const auto* error = body == nullptr ? nullptr : body->if_contains("error");
  if (error == nullptr || !error->is_object()) {
    return {};
  }
  const auto* code = error->get_object().if_contains("code");
  return code != nullptr && code->is_string() ? std::string(code->get_string())
                                              : std::string();
}

auto ExitCodeOf(const OperatorReply& reply) -> ExitCode {
  if (reply.status < kFirstErrorStatus) {
    return ExitCode::kOk;
  }
  return ErrorCodeOf(reply) == "undecided" ? ExitCode::kUndecided
                                           : ExitCode::kRefused;
}

auto ExitCodeOf(const OperatorCallError& error, bool changes) -> ExitCode {
  return changes && error.request_sent ? ExitCode::kUndecided
                                       : ExitCode::kUnreachable;
}

}  // namespace boragecroft
