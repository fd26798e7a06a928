// Opens the sockets on which servers listen.
#ifndef CORE_NET_LISTENING_H_
#define CORE_NET_LISTENING_H_

#include <boost/asio/ip/tcp.hpp>
#include <string>

#include "core/base/address.h"
#include "core/base/result.h"

namespace boragecroft {

// Binds `acceptor`, which must not be open, and starts to listen. With port 0
// the system chooses a port. The error text contains the address and the
// system's reason.
auto StartListening(boost::asio::ip::tcp::acceptor& acceptor,
                    const Address& address) -> Result<void, std::string>;

}  // namespace boragecroft

#endif  // CORE_NET_LISTENING_H_
