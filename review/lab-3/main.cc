// review_lab CASE PROGRAM RECORD FOLDER SEED TROUBLE: runs one case of the
// review. The exit code is that of the case.
#include <signal.h>

#include <cstdlib>
#include <exception>
#include <iostream>
#include <map>

#include "review/lab-3/cases.h"

namespace boragecroft::review {
namespace {

auto Run(int argc, char** argv) -> int {
  const std::map<std::string, int (*)(Lab&)> cases = {
      {"restart", RunRestartCase},
      {"cancel", RunCancelCase},
      {"log", RunLogCase},
      {"part", RunPartCase}};
  if (argc != 7 || !cases.contains(argv[1])) {
    std::cerr << "usage: review_lab CASE PROGRAM RECORD FOLDER SEED TROUBLE\n";
    return kCouldNotRun;
  }
  ::signal(SIGPIPE, SIG_IGN);
  Lab lab({.program = argv[2],
           .record = argv[3],
           .folder = argv[4],
           .trouble = std::string(argv[6]) != "0",
           .seed = std::strtoull(argv[5], nullptr, 10)});
  const auto code = cases.at(argv[1])(lab);
  std::string answers = "answers";
  for (const auto& [status, n] : lab.answers) {
    answers.append(" ").append(std::to_string(status));
    answers.append(":").append(std::to_string(n));
  }
  lab.recorder.Write(answers);
  lab.recorder.Write(code == kBroken ? "result: broken"
                     : code == kHeld ? "result: held"
                                     : "result: did not run");
  return code;
}

}  // namespace
}  // namespace boragecroft::review

auto main(int argc, char** argv) -> int {
  try {
    return boragecroft::review::Run(argc, argv);
  } catch (const std::exception& e) {
    std::cerr << e.what() << "\n";
    return boragecroft::review::kCouldNotRun;
  }
}
