// Checks that damaged answers of the platform are handled as missing answers. A
// damaged answer to a write must never be taken as proof that the write was not
// applied.
#include <gtest/gtest.h>

#include "peers/platform/platform_codec.h"
#include "tests/peers/mutation.h"

namespace boragecroft {
namespace {

auto MakeCommand(int kind) -> PlatformCommand {
  PlatformCommand command;
  command.token = 9;
  switch (kind) {
    case 0:
      command.call = TableTransaction{
          .operation_id = "op",
          .checks = {{.key = "a", .version = 1}},
          .puts = {{.key = "a", .value = "x"}, {.key = "b", .value = "y"}}};
      break;
    case 1:
      command.call = ReadRow{.key = "a"};
      break;
    case 2:
      command.call = TableScan{.prefix = "a", .after = "", .limit = 10};
      break;
    default:
      command.call = ListInstances{};
  }
  return command;
}

auto GenerateBody() -> std::string {
  return *rc::gen::elementOf(std::vector<std::string>{
      R"({"versions":[2,1]})", R"({"conflicts":[{"key":"a","version":4}]})",
      R"({"key":"a","version":1,"value":"x"})",
      R"({"rows":[{"key":"a","version":1,"value":"x"}]})",
      R"({"as_of_ms":5,"instances":[{"kind":"worker","name":"w","zone":"z",
         "state":"live","service":"s","address":"10.0.0.1:80","slots":8,
         "cpu_millis":1,"memory_mb":1,"accelerators":0},{"kind":"entry",
         "name":"e","zone":"z","state":"leaving","address":"10.0.0.2:81"}]})"});
}

auto Decode(int kind, int status, std::string body) -> PlatformOutcome {
  HttpResponse response;
  response.status = status;
  response.body = std::move(body);
  auto outcome = DecodePlatformAnswer(MakeCommand(kind), response);
  RC_ASSERT(outcome.token == 9U);
  return outcome;
}

RC_GTEST_PROP(PlatformCodecFuzzTest, HandlesDamagedAnswers, ()) {
  const auto kind = *rc::gen::inRange(0, 4);
  const auto status =
      *rc::gen::elementOf(std::vector<int>{200, 204, 404, 409, 500, 503});
  const auto outcome = Decode(kind, status, Mutate(GenerateBody()));
  RC_ASSERT(std::holds_alternative<TableOutcome>(outcome.result) ==
            (kind == 0));
}

RC_GTEST_PROP(PlatformCodecFuzzTest, RandomBytesLeaveWriteOutcomeUnknown, ()) {
  const auto status = *rc::gen::elementOf(std::vector<int>{200, 404, 409, 500});
  const auto outcome = Decode(0, status, *rc::gen::arbitrary<std::string>());
  RC_ASSERT(std::get<TableOutcome>(outcome.result).kind ==
            TableOutcomeKind::kUnknown);
}

}  // namespace
}  // namespace boragecroft
