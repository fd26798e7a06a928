#include "review/lab-2/fleet.h"

#include <fcntl.h>
#include <signal.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cstdlib>
#include <filesystem>
#include <iomanip>
#include <sstream>
#include <stdexcept>
#include <thread>

#include "core/json/text.h"

namespace boragecroft::review {
namespace {

constexpr auto kHost = "nony24.example";
constexpr auto kPrefix = "/lohu930/";
constexpr auto kProgram = "target/bin/boragecroft_entryd";
constexpr milliseconds kCallTimeout{12000};
constexpr milliseconds kReadyTimeout{15000};

// Settings as the platform writes them for a small deployment.
auto SettingsOf(const Fleet& fleet, const Daemon& daemon) -> std::string {
  std::ostringstream out;
  out << "node_name=" << daemon.name << "\nrole=entry\n"
      << "machine_class=frontend\nserves=frontend,control\nip=" << daemon.ip
      << "\nzone=" << daemon.zone << "\nregion=norte\n";
  for (const auto& it : fleet.zones) {
    out << "zones." << it << "=norte\n";
  }
  out << "listen.frontend=" << daemon.ip << ":8161\n"
      << "listen.readiness=" << daemon.ip << ":8167\n"
      << "listen.control=" << daemon.ip << ":8166\n"
      << "port_range=7720,7735\nseeds=";
  for (size_t i = 0; i < fleet.daemons.size() && i < 3; ++i) {
    out << (i == 0 ? "" : ",") << fleet.daemons[i]->ip << ":8166";
  }
  out << "\nbootstrap=true\nlimits.cpu_share=0.25\nlimits.cores=1\n"
      << "limits.memory_mb=260\nlimits.max_fds=4100\n"
      << "limits.link_mbps=1000.0\nheartbeat_ms=1500\ncommands=rpc\n"
      << "platform.addr=" << ToString(daemon.store)
      << "\nplatform.form=table\nplatform.writes_per_s=800\n"
      << "platform.reads_per_s=2000\n";
  return out.str();
}

auto MakeFolder() -> std::string {
  std::string name = "/tmp/boragecroft-review-XXXXXX";
  if (mkdtemp(name.data()) == nullptr) {
    throw std::runtime_error("cannot create a temporary folder");
  }
  return name;
}

// Takes two numbers of loopback addresses that no other fleet uses.
auto ReserveNet(Fleet& fleet) -> void {
  constexpr int kNets = 200;
  for (auto i = 0; i < kNets; ++i) {
    fleet.net = "127." + std::to_string(20 + (getpid() + i) % kNets);
    const Address address{.ip = fleet.net + ".0.1", .port = 8160};
    auto lock = HttpServer::Listen(
        fleet.io, HttpServerOptions{.listen = address}, HttpServerCallbacks());
    if (lock.has_value()) {
      fleet.net_lock = std::move(lock).value();
      return;
    }
  }
  throw std::runtime_error("no loopback addresses are free");
}

auto Call(Fleet& fleet,
          const Address& address,
          HttpRequest request,
          Answered done) -> std::shared_ptr<HttpConnection> {
  auto connection = std::make_shared<HttpConnection>(fleet.io, address);
  fleet.requests.insert(connection);
  request.headers.push_back({"Host", kHost});
  connection->Send(
      std::move(request), kCallTimeout, kCallTimeout,
      [&fleet, weak = std::weak_ptr(connection),
       done = std::move(done)](const Result<HttpResponse, HttpError>& result) {
        if (const auto self = weak.lock()) {
          fleet.requests.erase(self);
        }
        if (result.has_error()) {
          done(0, result.error().reason);
        } else {
          done(result.value().status, result.value().body);
        }
      });
  return connection;
}

auto AwaitService(Fleet& fleet) -> bool {
  std::set<std::string> ready;
  uint64_t n = 0;
  std::function<void(Daemon&)> probe = [&](Daemon& daemon) {
    std::ostringstream id;
    id << "ffff" << std::hex << std::setfill('0') << std::setw(12) << ++n;
    const Job job{.id = id.str(), .estimate_ms = 30, .work_ms = 30};
    Submit(fleet, daemon, job, [&](int status, const std::string&) {
      if (status == 200) {
        ready.insert(daemon.name);
        return;
      }
      After(fleet, milliseconds(200), [&] { probe(daemon); });
    });
  };
  for (auto& it : fleet.daemons) {
    probe(*it);
  }
  return RunUntil(fleet, kReadyTimeout,
                  [&] { return ready.size() == fleet.daemons.size(); });
}

}  // namespace

auto MillisecondsNow(const Fleet& fleet) -> int64_t {
  return std::chrono::duration_cast<milliseconds>(BootClock::now() -
                                                  fleet.began)
      .count();
}

auto Note(Fleet& fleet, const std::string& text) -> void {
  const auto now = MillisecondsNow(fleet);
  fleet.record << now / 1000 << "." << std::setfill('0') << std::setw(3)
               << now % 1000 << " " << text << "\n";
}

auto Break(Fleet& fleet, const std::string& rule, const std::string& text)
    -> void {
  fleet.broken.push_back(rule + ": " + text);
  Note(fleet, "BROKEN " + rule + ": " + text);
}

auto After(Fleet& fleet, milliseconds wait, std::function<void()> action)
    -> void {
  auto timer = std::make_shared<asio::steady_timer>(fleet.io, wait);
  timer->async_wait(
      [timer, action = std::move(action)](boost::system::error_code ec) {
        if (!ec) {
          action();
        }
      });
}

auto RunFor(Fleet& fleet, milliseconds time) -> void {
  fleet.io.restart();
  fleet.io.run_for(time);
}

auto RunUntil(Fleet& fleet,
              milliseconds limit,
              const std::function<bool()>& condition) -> bool {
  const auto end = BootClock::now() + limit;
  while (!condition()) {
    if (BootClock::now() >= end) {
      return false;
    }
    RunFor(fleet, milliseconds(5));
  }
  return true;
}

auto AddDaemon(Fleet& fleet, const std::string& zone, int number) -> Daemon& {
  auto daemon = std::make_unique<Daemon>();
  auto& out = *daemon;
  const auto n = std::to_string(fleet.daemons.size() + 1);
  out.name = "frontend-" + zone + "-" + std::to_string(number);
  out.zone = zone;
  out.ip = fleet.net + ".1." + n;
  out.callers = Address{.ip = out.ip, .port = 8161};
  out.store = Address{.ip = fleet.net + ".200." + n, .port = 8169};
  out.door = AddDoor(fleet, out.store);
  out.settings_file = fleet.folder + "/" + out.name + ".conf";
  fleet.daemons.push_back(std::move(daemon));
  return out;
}

auto StartDaemon(Fleet& fleet, Daemon& daemon) -> void {
  std::ofstream(daemon.settings_file) << SettingsOf(fleet, daemon);
  std::vector<std::string> words = {kProgram, "--metrics-port", "9464"};
  std::vector<std::string> variables = {
      "PATH=/usr/bin:/bin", "HOME=/tmp", "LANG=C",
      "BORAGECROFT_CONFIG=" + daemon.settings_file};
  std::vector<char*> arguments;
  arguments.reserve(words.size() + 1);
  for (auto& it : words) {
    arguments.push_back(it.data());
  }
  arguments.push_back(nullptr);
  std::vector<char*> environment;
  environment.reserve(variables.size() + 1);
  for (auto& it : variables) {
    environment.push_back(it.data());
  }
  environment.push_back(nullptr);
  posix_spawn_file_actions_t actions;
  posix_spawn_file_actions_init(&actions);
  const auto log = fleet.folder + "/" + daemon.name + ".log";
  posix_spawn_file_actions_addopen(&actions, 1, log.c_str(),
                                   O_WRONLY | O_CREAT | O_APPEND, 0644);
  posix_spawn_file_actions_adddup2(&actions, 1, 2);
  // The sockets of the stand-ins stay with them.
  posix_spawn_file_actions_addclosefrom_np(&actions, 3);
  const auto failed = posix_spawn(&daemon.pid, kProgram, &actions, nullptr,
                                  arguments.data(), environment.data());
  posix_spawn_file_actions_destroy(&actions);
  if (failed != 0) {
    throw std::runtime_error("cannot start " + std::string(kProgram));
  }
  Note(fleet, daemon.name + " started");
}

auto SignalDaemon(Fleet& fleet, Daemon& daemon, int signal) -> void {
  if (daemon.pid > 0) {
    Note(fleet, daemon.name + " gets signal " + std::to_string(signal));
    kill(daemon.pid, signal);
  }
}

auto ReapDaemon(Fleet& fleet, Daemon& daemon, milliseconds limit) -> void {
  if (daemon.pid <= 0) {
    return;
  }
  int status = 0;
  const auto ended = RunUntil(fleet, limit, [&] {
    return waitpid(daemon.pid, &status, WNOHANG) == daemon.pid;
  });
  if (!ended) {
    kill(daemon.pid, SIGKILL);
    waitpid(daemon.pid, &status, 0);
  }
  daemon.pid = -1;
  Note(fleet, daemon.name + " has ended");
}

auto Configure(Fleet& fleet, int64_t version, int64_t timeout_ms) -> void {
  const json::object route{{"name", "r-3hwrr6x"},
                           {"host", kHost},
                           {"prefix", kPrefix},
                           {"kind", "non_idempotent"},
                           {"timeout_ms", timeout_ms},
                           {"target_duration_ms", 60},
                           {"priority", 0},
                           {"service", "cartas"},
                           {"max_attempts", 3},
                           {"slack_factor", 1.6}};
  const json::object service{
      {"name", "cartas"}, {"health_path", "/healthz"}, {"max_conns", 64},
      {"protocol", "h1"}, {"admission_check", false},  {"standby", false}};
  const json::object document{
      {"version", version},
      {"routes", json::array{route}},
      {"services", json::array{service}},
      {"limits", json::object{{"max_body_bytes", 262144}}}};
  PutRow(fleet, "op", "config", ToJsonText(document));
}

auto Submit(Fleet& fleet, Daemon& daemon, const Job& job, Answered done)
    -> std::shared_ptr<HttpConnection> {
  HttpRequest request;
  request.method = "POST";
  request.target = kPrefix + job.id;
  request.headers.push_back({"Content-Type", "application/json"});
  request.headers.push_back({"Deadline-Ms", std::to_string(job.deadline_ms)});
  json::object step{{"count", job.count},
                    {"cpu", job.cpu},
                    {"mem_mb", 64},
                    {"est_runtime_ms", job.estimate_ms}};
  if (job.max_per_server > 0) {
    step["max_per_server"] = job.max_per_server;
  }
  request.body = ToJsonText(
      json::object{{"spec", "work_ms=" + std::to_string(job.work_ms) +
                                " cpu=" + std::to_string(job.cpu)},
                   {"best_effort", true},
                   {"steps", json::array{step}}});
  Note(fleet, "client POST " + job.id + " to " + daemon.name);
  return Call(fleet, daemon.callers, std::move(request),
              [&fleet, id = job.id, name = daemon.name, done = std::move(done)](
                  int status, const std::string& body) {
                Note(fleet, "client gets " + std::to_string(status) + " for " +
                                id + " from " + name + ": " + body);
                done(status, body);
              });
}

auto CancelJob(Fleet& fleet,
               Daemon& daemon,
               const std::string& id,
               Answered done) -> void {
  HttpRequest request;
  request.method = "DELETE";
  request.target = kPrefix + id;
  Note(fleet, "client DELETE " + id + " to " + daemon.name);
  Call(fleet, daemon.callers, std::move(request),
       [&fleet, id, done = std::move(done)](int status,
                                            const std::string& body) {
         Note(fleet, "client gets " + std::to_string(status) + " for DELETE " +
                         id + ": " + body);
         done(status, body);
       });
}

auto StartFleet(Fleet& fleet,
                const std::vector<ZoneSize>& zones,
                int workers_per_zone,
                int64_t timeout_ms) -> bool {
  fleet.began = BootClock::now();
  fleet.folder = MakeFolder();
  ReserveNet(fleet);
  for (const auto& [zone, daemons] : zones) {
    fleet.zones.push_back(zone);
  }
  Configure(fleet, 1, timeout_ms);
  for (const auto& [zone, daemons] : zones) {
    for (auto i = 1; i <= workers_per_zone; ++i) {
      AddWorker(fleet, zone, i);
    }
    for (auto i = 1; i <= daemons; ++i) {
      AddDaemon(fleet, zone, i);
    }
  }
  for (auto& it : fleet.daemons) {
    StartDaemon(fleet, *it);
  }
  return AwaitService(fleet);
}

auto EndFleet(Fleet& fleet) -> void {
  for (auto& it : fleet.daemons) {
    if (it->pid > 0) {
      kill(it->pid, SIGKILL);
      waitpid(it->pid, nullptr, 0);
      it->pid = -1;
    }
  }
  std::error_code ec;
  if (std::getenv("KEEP") == nullptr) {
    std::filesystem::remove_all(fleet.folder, ec);
  }
  fleet.record.flush();
}

}  // namespace boragecroft::review
