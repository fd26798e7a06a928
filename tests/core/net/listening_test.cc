#include "core/net/listening.h"

#include <gtest/gtest.h>

#include <boost/asio/io_context.hpp>

namespace boragecroft {
namespace {

using Acceptor = boost::asio::ip::tcp::acceptor;

struct ListeningTest : testing::Test {
  boost::asio::io_context context;
  Acceptor acceptor{context};

  auto ListenError(const Address& address) -> std::string {
    Acceptor second(context);
    const auto result = StartListening(second, address);
    return result.has_error() ? result.error() : std::string();
  }
};

TEST_F(ListeningTest, UsesPortChosenBySystem) {
  ASSERT_TRUE(StartListening(acceptor, Address{.ip = "127.0.0.1", .port = 0}));
  EXPECT_NE(acceptor.local_endpoint().port(), 0);
}

TEST_F(ListeningTest, NamesAddressWhenItIsInUse) {
  ASSERT_TRUE(StartListening(acceptor, Address{.ip = "127.0.0.1", .port = 0}));
  const Address taken{.ip = "127.0.0.1",
                      .port = acceptor.local_endpoint().port()};
  EXPECT_TRUE(
      ListenError(taken).starts_with("cannot listen on " + ToString(taken)))
      << ListenError(taken);
}

TEST_F(ListeningTest, NamesAddressWhenItIsNotAnIpAddress) {
  EXPECT_TRUE(ListenError(Address{.ip = "nowhere", .port = 1})
                  .starts_with("cannot listen on nowhere:1"));
}

}  // namespace
}  // namespace boragecroft
