// Synchronous calls to the operators' address of an instance.
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

// No instance gave an answer that can be read.
struct OperatorCallError {
  bool request_sent = false;  // some instance may have acted on the request
  std::string reason;         // of every instance that was tried
};

// Sends the request to the instances in their order until one answers. Each
// request must be safe to repeat. `timeout` holds for each instance, first for
// the connection and then for the answer.
auto CallInstances(const std::vector<Address>& instances,
                   const HttpRequest& request,
                   milliseconds timeout)
    -> Result<OperatorReply, OperatorCallError>;

}  // namespace boragecroft

#endif  // MAIN_CTL_OPERATOR_CLIENT_H_
