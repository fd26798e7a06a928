// Guards against clients that end a process by what they send: endless
// trailers after a chunked body made one run out of memory. A small crowd sends
// without reading to each listener of both programs. The processes must live,
// stay under fixed bounds of memory and descriptors, and answer afterwards. The
// bounds do not depend on the speed of the machine; no time is checked.
#include <gtest/gtest.h>

#include <algorithm>
#include <iostream>
#include <thread>

#include "tests/lab/caller.h"
#include "tests/lab/cluster.h"
#include "tests/lab/crowd.h"
#include "tests/lab/platform_fleet.h"
#include "tests/lab/raw_connection.h"
#include "tests/process/process_fixture.h"

namespace boragecroft::lab {
namespace {

// Descriptors that a process may open, by its settings and the system's limit
// (ulimit -n), and how many it may have open. The difference is what it needs
// for files, the store and workers.
constexpr int kDescriptorLimit = 512;
constexpr size_t kMaxOpenDescriptors = 480;
constexpr size_t kMegabyte = 1U << 20U;
// An idle boragecroft_entryd takes 8 MB.
constexpr size_t kMaxEntryMemory = 60 * kMegabyte;
// The memory of the smallest machine.
constexpr size_t kMaxDaemonMemory = 120 * kMegabyte;
constexpr milliseconds kSendTime{4000};
constexpr size_t kSenders = 12;
constexpr size_t kBytesEach = 24 * kMegabyte;
// What all connections together try to hold.
constexpr size_t kHeldBodyBytes = 320 * kMegabyte;
// The largest bodies that the callers' listeners take.
constexpr size_t kEntryBodyBytes = 262'144;
constexpr size_t kDaemonBodyBytes = 8 * kMegabyte;
// Lets the process read what the system has buffered.
constexpr milliseconds kSettleTime{300};
// More connections than a process may have descriptors.
constexpr size_t kManyConnections = 600;

auto Post(const std::string& headers) -> std::string {
  return "POST /reminders/0123456789abcdef HTTP/1.1\r\nHost: a\r\n" + headers;
}

// Endless parts of one request.
auto EndlessParts() -> std::vector<CrowdScript> {
  const std::string line(1000, 'x');
  const auto chunked = Post("Transfer-Encoding: chunked\r\n\r\n");
  const auto script = [](std::string name, std::string opening,
                         std::string repeated) {
    return CrowdScript{.name = std::move(name),
                       .opening = std::move(opening),
                       .repeated = std::move(repeated),
                       .max_bytes = kBytesEach,
                       .connections = kSenders};
  };
  return {
      script("trailers", chunked + "1\r\nx\r\n0\r\n", "T: " + line + "\r\n"),
      script("chunk extension", chunked + "1;a=", line),
      script("chunks of one byte with extensions", chunked,
             "1;a=" + line + "\r\nx\r\n"),
      script("header lines", Post(""), "T: " + line + "\r\n"),
      script("one header line", Post("T: "), line),
      script("start line", "GET /", line),
      script("large body", Post("Content-Length: 99999999999\r\n\r\n"), line),
      script("requests sent ahead", "",
             "GET /metrics HTTP/1.1\r\nHost: a\r\n\r\n")};
}

// Many connections that hold what they have sent, and some that hold almost the
// largest body that the listener takes.
auto HeldRequests(size_t max_body_bytes) -> std::vector<CrowdScript> {
  const auto script = [](std::string name, std::string opening) {
    return CrowdScript{.name = std::move(name),
                       .opening = std::move(opening),
                       .repeated = "",
                       .max_bytes = kMegabyte,
                       .connections = kManyConnections};
  };
  return {script("silent connections", ""),
          script("half a header", Post("T: ")),
          script("header without its body",
                 Post("Expect: 100-continue\r\nContent-Length: 9\r\n\r\n")),
          {.name = "most of a body",
           .opening = Post("Content-Length: " + std::to_string(max_body_bytes) +
                           "\r\n\r\n"),
           .repeated = std::string(1000, ' '),
           .max_bytes = max_body_bytes - 1000,
           .connections =
               std::min(kManyConnections, kHeldBodyBytes / max_body_bytes)}};
}

// Frames between instances: a length of four bytes, then the message.
auto Frames() -> std::vector<CrowdScript> {
  const std::string line(1000, 'x');
  return {{.name = "silent connections",
           .opening = "",
           .repeated = "",
           .max_bytes = 0,
           .connections = kManyConnections},
          {.name = "most of a frame of 7 MB",
           .opening = std::string("\x00\x70\x00\x00", 4),
           .repeated = line,
           .max_bytes = 7 * kMegabyte,
           .connections = 40},
          {.name = "start of a frame of 63 MB",
           .opening = std::string("\x03\xf0\x00\x00", 4),
           .repeated = line,
           .max_bytes = kBytesEach,
           .connections = kSenders},
          {.name = "unreadable frames",
           .opening = "",
           .repeated = std::string("\x00\x00\x00\x04oops", 8),
           .max_bytes = kMegabyte,
           .connections = kSenders}};
}

// Bounds of one process while a crowd is connected to it.
struct ProcessBounds {
  size_t memory = 0;  // bytes
  size_t descriptors = kMaxOpenDescriptors;
};

auto ExpectWithinBounds(ChildProcess& process, const ProcessBounds& bounds)
    -> void {
  ASSERT_TRUE(process.IsRunning());
  const auto memory = PeakMemoryBytes(process.Pid());
  const auto descriptors = OpenDescriptors(process.Pid());
  std::cout << "  peak " << memory / kMegabyte << " MB, " << descriptors
            << " descriptors\n";
  EXPECT_LE(memory, bounds.memory);
  EXPECT_LE(descriptors, bounds.descriptors);
}

auto ExpectSurvives(ChildProcess& process,
                    const ProcessBounds& bounds,
                    const Address& listener,
                    const std::vector<CrowdScript>& scripts) -> void {
  for (const auto& it : scripts) {
    SCOPED_TRACE(it.name);
    std::cout << it.name << "\n";
    ResetPeakMemory(process.Pid());
    const Crowd crowd(listener, it, kSendTime);
    std::this_thread::sleep_for(kSettleTime);
    ExpectWithinBounds(process, bounds);
  }
  EXPECT_TRUE(process.IsRunning());
}

// One instance with a store and a worker. A new process serves each test, so
// the peak of its memory belongs to one listener.
class EntryUnderCrowd : public testing::Test {
 protected:
  EntryUnderCrowd()
      : fleet({"north"}, 1, 2, FleetNetwork::kDirect, kDescriptorLimit) {}
  void SetUp() override { ASSERT_TRUE(fleet.AwaitService()); }

  auto Instance() -> EntryProcess& { return fleet.Instances().front(); }
  auto ExpectSurvivesAt(const Address& listener,
                        const std::vector<CrowdScript>& scripts) -> void {
    ExpectSurvives(*Instance().process, {.memory = kMaxEntryMemory}, listener,
                   scripts);
  }
  // Expects an answer on every listener that gives answers.
  auto ExpectAnswers() -> void {
    EXPECT_TRUE(fleet.AwaitService());
    EXPECT_EQ(Get(Instance().readiness, "/readyz").status, 200);
    EXPECT_EQ(Get(Instance().metrics, "/metrics").status, 200);
  }

  PlatformFleet fleet;
};

TEST_F(EntryUnderCrowd, SurvivesEndlessRequestsOfCallers) {
  ExpectSurvivesAt(Instance().callers, EndlessParts());
  ExpectAnswers();
}

TEST_F(EntryUnderCrowd, SurvivesHeldRequestsOfCallers) {
  ExpectSurvivesAt(Instance().callers, HeldRequests(kEntryBodyBytes));
  ExpectAnswers();
}

TEST_F(EntryUnderCrowd, SurvivesReadinessClients) {
  ExpectSurvivesAt(Instance().readiness, EndlessParts());
  ExpectSurvivesAt(Instance().readiness, HeldRequests(kEntryBodyBytes));
  ExpectAnswers();
}

TEST_F(EntryUnderCrowd, SurvivesMetricsClients) {
  ExpectSurvivesAt(Instance().metrics, EndlessParts());
  ExpectSurvivesAt(Instance().metrics, HeldRequests(kEntryBodyBytes));
  ExpectAnswers();
}

TEST_F(EntryUnderCrowd, SurvivesInstanceConnections) {
  ExpectSurvivesAt(Instance().instances, Frames());
  ExpectAnswers();
}

// Guards against a limit below the documented one: a header of 15 KB was
// refused, and refusals had the status 400 whatever the reason.
TEST_F(EntryUnderCrowd, AnswersByDocumentedLimits) {
  const auto send = [&](const std::string& text) {
    const RawConnection connection(Instance().callers);
    connection.Send(text);
    return connection.ReadAll(seconds(1)).substr(0, 12);
  };
  const std::string line = "T: " + std::string(15000, 'x') + "\r\n";
  EXPECT_EQ(send("GET / HTTP/1.1\r\n" + line + "\r\n"), "HTTP/1.1 404");
  EXPECT_EQ(send("GET / HTTP/1.1\r\n" + line + line), "HTTP/1.1 431");
  EXPECT_EQ(send(Post("Content-Length: 262145\r\n\r\n")), "HTTP/1.1 413");
  EXPECT_EQ(send("no request\r\n\r\n"), "HTTP/1.1 400");
}

auto OneDaemon() -> ClusterOptions {
  auto options = MakeFixtureOptions();
  options.zones = {"bilbao"};
  options.max_descriptors = kDescriptorLimit;
  return options;
}

class DaemonUnderCrowd : public ProcessFixture {
 protected:
  DaemonUnderCrowd() : ProcessFixture(OneDaemon()) {}

  auto ExpectSurvivesAt(const Address& listener,
                        const std::vector<CrowdScript>& scripts) -> void {
    ExpectSurvives(*cluster.Instances().front().process,
                   {.memory = kMaxDaemonMemory}, listener, scripts);
  }
  auto ExpectAnswers() -> void {
    EXPECT_TRUE(cluster.WaitUntilReady(0));
    EXPECT_TRUE(cluster.WaitForWorkers(0));
    const auto job = NewJob(0, 2, 10);
    EXPECT_EQ(Submit(Callers(0), job, seconds(10)).Text("state"), "done");
    EXPECT_EQ(Get(Operators(0), "/metrics").status, 200);
  }
};

TEST_F(DaemonUnderCrowd, SurvivesEndlessRequestsOfCallers) {
  ExpectSurvivesAt(Callers(0), EndlessParts());
  ExpectAnswers();
}

TEST_F(DaemonUnderCrowd, SurvivesHeldRequestsOfCallers) {
  ExpectSurvivesAt(Callers(0), HeldRequests(kDaemonBodyBytes));
  ExpectAnswers();
}

TEST_F(DaemonUnderCrowd, SurvivesOperatorClients) {
  ExpectSurvivesAt(Operators(0), EndlessParts());
  ExpectSurvivesAt(Operators(0), HeldRequests(kDaemonBodyBytes));
  ExpectAnswers();
}

TEST_F(DaemonUnderCrowd, SurvivesInstanceConnections) {
  ExpectSurvivesAt(cluster.Instances().front().instances, Frames());
  ExpectAnswers();
}

}  // namespace
}  // namespace boragecroft::lab
