#include "tests/lab/raw_connection.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <stdexcept>

namespace boragecroft::lab {

RawConnection::RawConnection(const Address& server)
    : socket_(::socket(AF_INET, SOCK_STREAM, 0)) {
  sockaddr_in to{};
  to.sin_family = AF_INET;
  to.sin_port = htons(server.port);
  ::inet_pton(AF_INET, server.ip.c_str(), &to.sin_addr);
  if (::connect(socket_, reinterpret_cast<const sockaddr*>(&to), sizeof(to)) !=
      0) {
    ::close(socket_);
    throw std::runtime_error("cannot connect to " + ToString(server));
  }
}

RawConnection::~RawConnection() {
  ::close(socket_);
}

auto RawConnection::Send(const std::string& bytes) const -> bool {
  size_t sent = 0;
  while (sent < bytes.size()) {
    const auto n =
        ::send(socket_, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
    if (n <= 0) {
      return false;
    }
    sent += static_cast<size_t>(n);
  }
  return true;
}

auto RawConnection::CloseSending() const -> void {
  ::shutdown(socket_, SHUT_WR);
}

auto RawConnection::ReadAll(milliseconds timeout) const -> std::string {
  std::string text;
  std::array<char, 4096> buf{};
  pollfd waiting{.fd = socket_, .events = POLLIN, .revents = 0};
  while (::poll(&waiting, 1, static_cast<int>(timeout.count())) > 0) {
    const auto n = ::recv(socket_, buf.data(), buf.size(), 0);
    if (n <= 0) {
      break;
    }
    text.append(buf.data(), static_cast<size_t>(n));
  }
  return text;
}

}  // namespace boragecroft::lab
