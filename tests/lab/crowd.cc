#include "tests/lab/crowd.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <filesystem>
#include <fstream>

namespace boragecroft::lab {
namespace {

constexpr milliseconds kPollInterval{50};

auto Connect(const Address& server) -> int {
  const auto socket = ::socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in to{};
  to.sin_family = AF_INET;
  to.sin_port = htons(server.port);
  ::inet_pton(AF_INET, server.ip.c_str(), &to.sin_addr);
  if (::connect(socket, reinterpret_cast<const sockaddr*>(&to), sizeof(to)) !=
      0) {
    ::close(socket);
    return -1;
  }
  return socket;
}

struct Sender {
  size_t sent = 0;
  bool done = false;
};

// Sends as much as the socket takes without waiting.
auto SendSome(int socket, const CrowdScript& script, Sender& sender) -> void {
  const auto in_opening = sender.sent < script.opening.size();
  const auto& text = in_opening ? script.opening : script.repeated;
  if (sender.sent >= script.max_bytes || text.empty()) {
    sender.done = true;
    return;
  }
  const auto at = in_opening
                      ? sender.sent
                      : (sender.sent - script.opening.size()) % text.size();
  const auto n = std::min(text.size() - at, script.max_bytes - sender.sent);
  const auto result =
      ::send(socket, text.data() + at, n, MSG_NOSIGNAL | MSG_DONTWAIT);
  if (result > 0) {
    sender.sent += static_cast<size_t>(result);
  } else if (errno != EAGAIN && errno != EWOULDBLOCK) {
    sender.done = true;
  }
}

}  // namespace

Crowd::Crowd(const Address& server,
             const CrowdScript& script,
             milliseconds time_limit) {
  const auto end = BootClock::now() + time_limit;
  for (size_t i = 0; i < script.connections; ++i) {
    if (const auto socket = Connect(server); socket >= 0) {
      sockets_.push_back(socket);
    }
  }
  std::vector<Sender> senders(sockets_.size());
  std::vector<pollfd> waiting;
  std::vector<size_t> indices;
  while (BootClock::now() < end) {
    waiting.clear();
    indices.clear();
    for (size_t i = 0; i < senders.size(); ++i) {
      if (!senders[i].done) {
        waiting.push_back({.fd = sockets_[i], .events = POLLOUT, .revents = 0});
        indices.push_back(i);
      }
    }
    if (waiting.empty()) {
      return;
    }
    ::poll(waiting.data(), waiting.size(),
           static_cast<int>(kPollInterval.count()));
    for (size_t i = 0; i < waiting.size(); ++i) {
      if (waiting[i].revents != 0) {
        SendSome(waiting[i].fd, script, senders[indices[i]]);
      }
    }
  }
}

Crowd::~Crowd() {
  for (const auto it : sockets_) {
    ::close(it);
  }
}

auto PeakMemoryBytes(pid_t pid) -> size_t {
  std::ifstream in("/proc/" + std::to_string(pid) + "/status");
  std::string line;
  while (std::getline(in, line)) {
    if (line.starts_with("VmHWM:")) {
      return std::stoul(line.substr(line.find(':') + 1)) * 1024;
    }
  }
  return 0;
}

auto ResetPeakMemory(pid_t pid) -> void {
  // 5: resets the peak of the resident memory.
  std::ofstream("/proc/" + std::to_string(pid) + "/clear_refs") << "5";
}

auto OpenDescriptors(pid_t pid) -> size_t {
  std::error_code ec;
  const std::filesystem::directory_iterator files(
      "/proc/" + std::to_string(pid) + "/fd", ec);
  return ec ? 0 : static_cast<size_t>(std::distance(begin(files), end(files)));
}

}  // namespace boragecroft::lab
