#include "tests/lab/child_process.h"

#include <fcntl.h>
#include <signal.h>
#include <spawn.h>
#include <sys/wait.h>

#include <fstream>
#include <iostream>
#include <thread>
#include <utility>

extern char**
    environ;  // NOLINT(readability-identifier-naming): named by POSIX.

namespace boragecroft::lab {
namespace {

constexpr milliseconds kPollInterval{5};

}  // namespace

ChildProcess::ChildProcess(const std::vector<std::string>& command,
                           std::string output_file)
    : output_file_(std::move(output_file)) {
  std::vector<char*> arguments;
  arguments.reserve(command.size() + 1);
  for (const auto& it : command) {
    arguments.push_back(const_cast<char*>(it.c_str()));
  }
  arguments.push_back(nullptr);
  posix_spawn_file_actions_t actions;
  posix_spawn_file_actions_init(&actions);
  posix_spawn_file_actions_addopen(&actions, 1, output_file_.c_str(),
                                   O_WRONLY | O_CREAT | O_TRUNC | O_APPEND,
                                   0644);
  posix_spawn_file_actions_adddup2(&actions, 1, 2);
  const auto failed = posix_spawn(&pid_, command.front().c_str(), &actions,
                                  nullptr, arguments.data(), environ);
  posix_spawn_file_actions_destroy(&actions);
  if (failed != 0) {
    std::cerr << "cannot start " << command.front() << "\n";
    pid_ = -1;
  }
}

ChildProcess::~ChildProcess() {
  Kill();
}

ChildProcess::ChildProcess(ChildProcess&& other) noexcept
    : pid_(std::exchange(other.pid_, -1)),
      exit_code_(other.exit_code_),
      output_file_(std::move(other.output_file_)) {}

auto ChildProcess::operator=(ChildProcess&& other) noexcept -> ChildProcess& {
  Kill();
  pid_ = std::exchange(other.pid_, -1);
  exit_code_ = other.exit_code_;
  output_file_ = std::move(other.output_file_);
  return *this;
}

auto ChildProcess::Pid() const -> pid_t {
  return pid_;
}

auto ChildProcess::Signal(int signal) const -> void {
  if (pid_ > 0) {
    ::kill(pid_, signal);
  }
}

auto ChildProcess::Kill() -> void {
  if (!IsRunning()) {
    return;
  }
  Signal(SIGKILL);
  Wait(seconds(10));
}

auto ChildProcess::Wait(milliseconds timeout) -> std::optional<int> {
  const auto end = BootClock::now() + timeout;
  while (IsRunning()) {
    if (BootClock::now() >= end) {
      return std::nullopt;
    }
    std::this_thread::sleep_for(kPollInterval);
  }
  return exit_code_;
}

auto ChildProcess::IsRunning() -> bool {
  if (pid_ <= 0) {
    return false;
  }
  int status = 0;
  if (::waitpid(pid_, &status, WNOHANG) != pid_) {
    return true;
  }
  exit_code_ = WIFEXITED(status) ? WEXITSTATUS(status) : -1;
  pid_ = -1;
  return false;
}

auto ChildProcess::WaitForLine(const std::string& text,
                               milliseconds timeout) const -> std::string {
  const auto end = BootClock::now() + timeout;
  while (BootClock::now() < end) {
    std::ifstream in(output_file_);
    std::string line;
    while (std::getline(in, line)) {
      // A last line without a newline may be incomplete.
      if (line.find(text) != std::string::npos && !in.eof()) {
        return line;
      }
    }
    std::this_thread::sleep_for(kPollInterval);
  }
  return {};
}

auto WithDescriptorLimit(std::vector<std::string> command, int max_descriptors)
    -> std::vector<std::string> {
  if (max_descriptors == 0) {
    return command;
  }
  const std::vector<std::string> shell = {
      "/bin/sh", "-c",
      "ulimit -n " + std::to_string(max_descriptors) + "; exec \"$0\" \"$@\""};
  command.insert(command.begin(), shell.begin(), shell.end());
  return command;
}

}  // namespace boragecroft::lab
