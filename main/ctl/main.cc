#include <iostream>

#include "main/ctl/commands.h"

auto main(int argc, char** argv) -> int {
  using boragecroft::ExitCode;
  const auto line = boragecroft::ParseCommandLine({argv, argv + argc});
  if (line.has_error()) {
    const auto& end = line.error();
    (end.is_error ? std::cerr : std::cout) << end.text;
    return static_cast<int>(end.is_error ? ExitCode::kUsage : ExitCode::kOk);
  }
  return static_cast<int>(
      boragecroft::RunCommand(line.value(), std::cout, std::cerr));
}
