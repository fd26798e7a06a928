// A plain TCP connection for requests that an HTTP client does not send.
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

  // Sends all bytes. Returns false when the server has closed the connection
  // before it took them.
  auto Send(const std::string& bytes) const -> bool;
  // Closes the sending direction; reading remains possible.
  auto CloseSending() const -> void;
  // Returns everything received until the server closes the connection or sends
  // nothing for `timeout`.
  auto ReadAll(milliseconds timeout) const -> std::string;

 private:
  int socket_ = -1;
};

}  // namespace boragecroft::lab

#endif  // TESTS_LAB_RAW_CONNECTION_H_
