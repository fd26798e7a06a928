#include "servers/routing/routes_refresh.h"

#include <gtest/gtest.h>

namespace boragecroft {
namespace {

class KnownNewerRoutes : public testing::Test {
 protected:
  // Reports version 8 from each of five peers every 200 ms for `time`, as their
  // heartbeats do. Returns the number of requests.
  auto RequestsWithin(milliseconds time) -> int {
    auto requests = 0;
    for (milliseconds at{0}; at < time; at += milliseconds{200}) {
      for (auto peer = 0; peer < 5; ++peer) {
        requests += ShouldRequestRoutes(refresh, known, 8, now) ? 1 : 0;
      }
      now += milliseconds{200};
    }
    return requests;
  }

  RoutesRefresh refresh;
  uint64_t known = 7;
  Instant now = Instant() + seconds(100);
};

TEST_F(KnownNewerRoutes, AreLeftToFeedAtFirst) {
  EXPECT_EQ(RequestsWithin(milliseconds{300}), 0);
}

TEST_F(KnownNewerRoutes, AreRequestedOnceWithinOneSecond) {
  EXPECT_EQ(RequestsWithin(milliseconds{1200}), 1);
}

// Guards against a congestion collapse: a document of 300 KB takes more than a
// second on a link of 2 Mbit/s.
TEST_F(KnownNewerRoutes, AreRequestedRarelyWhileTheyDoNotArrive) {
  EXPECT_LE(RequestsWithin(seconds{16}), 5);
}

TEST_F(KnownNewerRoutes, AreNotRequestedOnceAdopted) {
  RequestsWithin(milliseconds{600});
  known = 8;
  OnRoutesAdopted(refresh);
  EXPECT_EQ(RequestsWithin(seconds{5}), 0);
}

}  // namespace
}  // namespace boragecroft
