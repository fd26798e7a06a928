// A plain TCP connection, for requests that no HTTP client would send.
#ifndef TESTS_LAB_RAW_CONNECTION_H_
#define TESTS_LAB_RAW_CONNECTION_H_

#include <string>

#include "core/base/address.h"
#include "core/base/clock.h"

namespace boragecroft::lab {

class RawConnection {
 public:
  explicit RawConnection(const Address& server);
  ~RawConnection();
  RawConnection(const RawConnection&) = delete;
  auto operator=(const RawConnection&) -> RawConnection& = delete;

  // Sends what the server takes; false once it has closed the connection.
  auto Send(const std::string& bytes) const -> bool;
  // Sends nothing more, but goes on reading.
  auto CloseSending() const -> void;
  // All that comes until the server closes or sends nothing for `timeout`.
  auto ReadAll(milliseconds timeout) const -> std::string;

 private:
  int socket_ = -1;
};

}  // namespace boragecroft::lab

#endif  // TESTS_LAB_RAW_CONNECTION_H_
