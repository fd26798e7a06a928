#include "core/base/bounded_ring.h"

#include <gtest/gtest.h>

#include <thread>

namespace boragecroft {
namespace {

TEST(BoundedRingTest, RejectsPushAndKeepsItemWhenFull) {
  BoundedRing<std::string> ring(1, [] {});
  EXPECT_TRUE(ring.TryPush("first"));
  std::string second = "second";
  EXPECT_FALSE(ring.TryPush(std::move(second)));
  EXPECT_EQ(second, "second");  // NOLINT(bugprone-use-after-move): a
                                // rejected push must not change the item.
}

TEST(BoundedRingTest, KeepsAllItemsInOrderBetweenTwoThreads) {
  constexpr int kItems = 20000;
  BoundedRing<std::string> ring(64, [] {});
  std::thread producer([&] {
    for (auto i = 0; i < kItems;) {
      auto item = std::to_string(i);
      if (ring.TryPush(std::move(item))) {
        ++i;
      } else {
        std::this_thread::yield();
      }
    }
  });
  std::vector<std::string> received;
  while (received.size() < kItems) {
    ring.Drain(received);
  }
  producer.join();
  for (auto i = 0; i < kItems; ++i) {
    ASSERT_EQ(received[i], std::to_string(i));
  }
}

}  // namespace
}  // namespace boragecroft
