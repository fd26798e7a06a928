// A simulated network between instances and the store: connections pass through
// relays in this process, and those of an instance that is cut off hold their
// bytes up until the partition ends.
#ifndef TESTS_LAB_PARTITION_H_
#define TESTS_LAB_PARTITION_H_

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <set>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "core/base/address.h"

namespace boragecroft::lab {

namespace detail {
struct Relay;

// The links that pass nothing at present.
struct Cuts {
  std::set<std::string> instances;  // all links of these
  std::set<std::pair<std::string, std::string>> links;
};
}  // namespace detail

class PartitionedNetwork {
 public:
  PartitionedNetwork();
  ~PartitionedNetwork();
  PartitionedNetwork(const PartitionedNetwork&) = delete;
  auto operator=(const PartitionedNetwork&) -> PartitionedNetwork& = delete;

  // Opens a port on the loopback address through which `from` reaches a server,
  // and returns its address. Connections wait until SetTarget() is called. When
  // `from` is empty, the first message of a connection contains the name of the
  // instance that opened it.
  auto AddRelay(const std::string& from, const std::string& to) -> Address;
  // Sets the address of the server behind a relay.
  auto SetTarget(const Address& relay, const Address& target) -> void;
  // Cuts an instance off from the store and from all other instances.
  auto CutOff(const std::string& instance) -> void;
  auto Reconnect(const std::string& instance) -> void;
  // Cuts only the connections that `from` opens to `to`.
  auto CutLink(const std::string& from, const std::string& to) -> void;
  auto RestoreLink(const std::string& from, const std::string& to) -> void;

 private:
  auto Run(const std::function<void()>& action) -> void;

  boost::asio::io_context context_;
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type>
      work_;
  std::vector<std::unique_ptr<detail::Relay>> relays_;
  std::set<std::string> instances_;
  detail::Cuts cuts_;
  std::thread thread_;
};

}  // namespace boragecroft::lab

#endif  // TESTS_LAB_PARTITION_H_
