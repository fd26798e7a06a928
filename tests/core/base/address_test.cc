#include "core/base/address.h"

#include <gtest/gtest.h>

namespace boragecroft {
namespace {

TEST(AddressTest, ParsesIpAddressesOfBothFamilies) {
  EXPECT_EQ(ParseAddress("127.0.0.1:80"),
            (Address{.ip = "127.0.0.1", .port = 80}));
  EXPECT_EQ(ParseAddress("[::1]:80"), (Address{.ip = "::1", .port = 80}));
  EXPECT_EQ(ToString(Address{.ip = "::1", .port = 80}), "[::1]:80");
}

TEST(AddressTest, RejectsHostNamesAndInvalidPorts) {
  EXPECT_FALSE(ParseAddress("localhost:80"));
  EXPECT_FALSE(ParseAddress("127.0.0.1"));
  EXPECT_FALSE(ParseAddress("127.0.0.1:"));
  EXPECT_FALSE(ParseAddress("127.0.0.1:65536"));
  EXPECT_FALSE(ParseAddress("127.0.0.1:80x"));
}

}  // namespace
}  // namespace boragecroft
