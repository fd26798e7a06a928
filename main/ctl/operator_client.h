// Makes synchronous calls to the operators' address of an instance.
#ifndef MAIN_CTL_OPERATOR_CLIENT_H_
#define MAIN_CTL_OPERATOR_CLIENT_H_

#include <boost/json/value.hpp>
#include <string>
#include <vector>

#include "core/base/address.h"
#include "core/base/clock.h"
#include "core/base/result.h"
#include "core/http/http_message.h"
#include "core/json/text.h"

namespace boragecroft {

struct OperatorReply {
  int status = 0;
  json::value body;
};

// The failure of a call that no instance answered in a readable form.
struct OperatorCallError {
  bool request_sent = false;  // some instance may have acted on the request
  std::string reason;         // of every instance that was called
};

// Sends the request to the instances in their order until one answers. The
// request must be idempotent. `timeout` applies to each instance, first to the
// connection and then to the answer.
auto CallInstances(const std::vector<Address>& instances,
                   const HttpRequest& request,
                   milliseconds timeout)
    -> Result<OperatorReply, OperatorCallError>;

}  // namespace boragecroft

#endif  // MAIN_CTL_OPERATOR_CLIENT_H_
