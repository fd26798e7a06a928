// Checks how a table of the store is followed, with a store in the same process
// that answers each request as the test says.
#include "platform/table_follower.h"

#include <gtest/gtest.h>

#include <sstream>
#include <string>
#include <utility>
#include <vector>

#include "core/http/http_server.h"

namespace boragecroft::platform {
namespace {

class FollowedTable : public testing::Test {
 protected:
  void SetUp() override {
    HttpServerCallbacks calls;
    calls.on_request = [this](const HttpRequest& request,
                              HttpResponder respond) {
      const auto feed = TargetPath(request.target) == "/rows-feed";
      if (feed && feed_answers.empty()) {
        waiting.push_back(std::move(respond));
        return;
      }
      HttpResponse answer;
      answer.body = feed ? feed_answers.front() : table;
      if (feed) {
        feed_answers.erase(feed_answers.begin());
      } else {
        ++reads;
      }
      respond(std::move(answer));
    };
    HttpServerOptions options;
    options.listen = {.ip = "127.0.0.1", .port = 0};
    auto server = HttpServer::Listen(context, options, std::move(calls));
    ASSERT_TRUE(server.has_value());
    store_server = std::move(server).value();
    store = std::make_unique<StoreClient>(
        context, Address{.ip = "127.0.0.1", .port = store_server->Port()});
    TableCallbacks callbacks;
    callbacks.on_row = [this](const StoreRow& row) {
      seen.push_back((row.deleted ? "-" : "+") + row.key);
    };
    callbacks.on_complete = [this](uint64_t /*version*/) { ++completed; };
    callbacks.on_current = [this](Instant until) { known_until = until; };
    callbacks.on_availability_changed = [](bool /*available*/) {};
    follower = std::make_shared<TableFollower>(
        context, *store, "servers", milliseconds{0}, std::move(callbacks));
  }

  auto RunFor(milliseconds time) -> void {
    context.restart();
    context.run_for(time);
  }

  static auto PeerRow(const std::string& key, uint64_t version) -> StoreRow {
    return StoreRow{
        .table = "servers", .key = key, .value = "x", .version = version};
  }

  boost::asio::io_context context;
  std::unique_ptr<HttpServer> store_server;
  std::unique_ptr<StoreClient> store;
  std::shared_ptr<TableFollower> follower;
  std::string table =
      R"({"rows":[{"key":"a","value":"eA==","ver":3}],"ver":5})";
  std::vector<std::string> feed_answers;
  std::vector<HttpResponder> waiting;
  std::vector<std::string> seen;
  Instant known_until;
  int reads = 0;
  int completed = 0;
};

// Guards against the return of a worker that left: a peer that is partitioned
// from the store still has its row and sends it in a snapshot.
TEST_F(FollowedTable, KeepsDeletedRowDeletedWhenPeerStillHasIt) {
  feed_answers = {R"({"rows":[{"key":"a","ver":7,"deleted":true}],"ver":7})"};
  follower->Start();
  RunFor(milliseconds{300});
  ASSERT_EQ(seen, (std::vector<std::string>{"+a", "-a"}));
  follower->ApplyFromPeer(PeerRow("a", 3));
  EXPECT_EQ(seen.size(), 2);
  follower->ApplyFromPeer(PeerRow("a", 8));
  EXPECT_EQ(seen.back(), "+a");
}

// Guards against a foreign row that is taken for the configuration: it had the
// same key in another part of the table.
TEST_F(FollowedTable, IgnoresRowsOfOtherParts) {
  feed_answers = {R"({"rows":[{"part":"p7","key":"a","value":"eQ==","ver":6},)"
                  R"({"part":"p7","key":"a","ver":7,"deleted":true},)"
                  R"({"part":"p7","key":"b","value":"eQ==","ver":8},)"
                  R"({"part":"","key":"c","value":"eQ==","ver":9}],"ver":9})"};
  follower->Start();
  RunFor(milliseconds{300});
  EXPECT_EQ(seen, (std::vector<std::string>{"+a", "+c"}));
  auto foreign = PeerRow("a", 12);
  foreign.part = "p7";
  follower->ApplyFromPeer(foreign);
  EXPECT_EQ(seen.size(), 2U);
}

TEST_F(FollowedTable, TakesRowsOfPeerWhileStoreHasNotAnswered) {
  follower->ApplyFromPeer(PeerRow("a", 3));
  EXPECT_EQ(seen, (std::vector<std::string>{"+a"}));
}

// Guards against an old view of the table: the connection to the store went
// silent, and the request for changes was waited for far longer than the 3 s
// after which the platform expects an instance to be up to date again.
TEST_F(FollowedTable, ReadsChangesSoonAfterItsConnectionWentSilent) {
  follower->Start();
  RunFor(milliseconds{300});
  ASSERT_EQ(waiting.size(), 1);
  feed_answers = {R"({"rows":[{"key":"b","value":"eA==","ver":7}],"ver":7})"};
  RunFor(milliseconds{3000});
  EXPECT_EQ(seen, (std::vector<std::string>{"+a", "+b"}));
}

TEST_F(FollowedTable, RequestsChangesAtOnceWhenRefreshed) {
  follower->Start();
  RunFor(milliseconds{300});
  ASSERT_EQ(waiting.size(), 1);
  const auto before = BootClock::now();
  EXPECT_LT(known_until, before);
  feed_answers = {R"({"rows":[{"key":"b","value":"eA==","ver":7}],"ver":7})"};
  follower->Refresh();
  RunFor(milliseconds{300});
  EXPECT_EQ(seen, (std::vector<std::string>{"+a", "+b"}));
  EXPECT_GE(known_until, before);
}

// The store has more changes than one answer holds.
class FollowedTableFarBehind : public FollowedTable {
 protected:
  static constexpr int kRowsOfAnswer = 500;

  void SetUp() override {
    FollowedTable::SetUp();
    TableCallbacks callbacks;
    callbacks.on_row = [this](const StoreRow& row) { seen.push_back(row.key); };
    callbacks.on_complete = [this](uint64_t /*version*/) { ++completed; };
    callbacks.on_current = [this](Instant /*until*/) { ++times_current; };
    callbacks.on_availability_changed = [](bool /*available*/) {};
    follower = std::make_shared<TableFollower>(
        context, *store, "servers", milliseconds{60'000}, std::move(callbacks));
  }

  // Returns an answer with changes of the rows k`from` and up.
  static auto Changes(int from, int count) -> std::string {
    std::ostringstream out;
    for (auto i = from; i < from + count; ++i) {
      out << (i == from ? R"({"rows":[)" : ",") << R"({"key":"k)" << i
          << R"(","value":"eA==","ver":)" << 10 + i << "}";
    }
    out << R"(],"ver":)" << 9 + from + count << "}";
    return out.str();
  }

  int times_current = 0;
};

// Guards against an old view of the table: after a network partition of 12 s
// the changes arrived in answers of 500 rows with a pause after each, and
// workers were used for 25 s after they had left.
TEST_F(FollowedTableFarBehind, RequestsRemainingChangesWithoutPause) {
  feed_answers = {Changes(0, kRowsOfAnswer), Changes(kRowsOfAnswer, 1)};
  follower->Start();
  RunFor(milliseconds{500});
  ASSERT_FALSE(seen.empty());
  EXPECT_EQ(seen.back(), "k500");
}

TEST_F(FollowedTableFarBehind, IsNotCurrentAfterFullAnswer) {
  feed_answers = {Changes(0, kRowsOfAnswer)};
  follower->Start();
  RunFor(milliseconds{300});
  ASSERT_EQ(waiting.size(), 1);
  // Once, after the table was read from its start.
  EXPECT_EQ(times_current, 1);
}

TEST_F(FollowedTableFarBehind, ReadsTableAgainAfterSeveralFullAnswers) {
  feed_answers = {Changes(0, kRowsOfAnswer),
                  Changes(kRowsOfAnswer, kRowsOfAnswer),
                  Changes(2 * kRowsOfAnswer, 1)};
  follower->Start();
  RunFor(milliseconds{500});
  EXPECT_EQ(reads, 2);
  EXPECT_EQ(completed, 2);
}

TEST_F(FollowedTable, DropsAnswersAfterItStopped) {
  follower->Start();
  follower->Stop();
  RunFor(milliseconds{300});
  EXPECT_TRUE(seen.empty());
  EXPECT_TRUE(follower->Rows().empty());
  EXPECT_EQ(completed, 0);
}

TEST_F(FollowedTable, ReadsAllRowsAgainAfterItWasStopped) {
  follower->Start();
  RunFor(milliseconds{300});
  follower->Stop();
  follower->Start();
  RunFor(milliseconds{300});
  EXPECT_EQ(seen, (std::vector<std::string>{"+a", "+a"}));
  EXPECT_EQ(reads, 2);
  EXPECT_EQ(completed, 2);
}

}  // namespace
}  // namespace boragecroft::platform
