// The simulated network between availability zones. Each link is a port that
// leads from one zone to one instance of another zone and forwards frames while
// the link is open.
#ifndef TESTS_STANDINS_LINK_RELAY_H_
#define TESTS_STANDINS_LINK_RELAY_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <memory>
#include <string>
#include <vector>

#include "core/base/address.h"

namespace boragecroft::standins {

class Relay;

struct Link {
  explicit Link(boost::asio::io_context& context) : acceptor(context) {}

  std::string from_zone;
  std::string to_zone;
  Address target;
  Address address;  // used by instances of `from_zone`
  bool partitioned = false;
  boost::asio::ip::tcp::acceptor acceptor;
  std::vector<std::weak_ptr<Relay>> relays;
};

struct Network {
  boost::asio::io_context context;
  std::vector<std::unique_ptr<Link>> links;
};

enum class LinkMode {
  kOpen,
  kPartitioned,  // drops all frames, on old and new connections
  kStalled       // drops all frames on existing connections; new ones work
};

// Opens a port for a link and returns its address.
auto AddLink(Network& network,
             const std::string& from_zone,
             const std::string& to_zone,
             const Address& target) -> Address;
auto SetMode(Link& link, LinkMode mode) -> void;

}  // namespace boragecroft::standins

#endif  // TESTS_STANDINS_LINK_RELAY_H_
