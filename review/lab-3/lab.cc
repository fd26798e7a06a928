#include "review/lab-3/lab.h"

#include <fcntl.h>
#include <signal.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <boost/json/parse.hpp>
#include <cmath>
#include <thread>
#include <utility>

#include "core/json/text.h"
#include "tests/standins/common/json_reply.h"

namespace boragecroft::review {
namespace {

// The usual spread of work on the sheet, and the error of declared run times.
constexpr double kSpread = 0.4;
constexpr double kUneven = 0.15;
constexpr int64_t kTaskCpu = 14000;

auto StoreAddress(const Lab& lab) -> Address {
  return {.ip = "127.0.0.1", .port = lab.store.server->Port()};
}

// The settings file of DEPLOY.md with the figures of a small deployment.
auto SettingsText(const Lab& lab, const Instance& it) -> std::string {
  std::string out =
      "node_name=" + it.name + "\nrole=entry\n" +
      "machine_class=frontend\nserves=frontend,control\nip=" + it.ip +
      "\nzone=" + it.zone + "\nregion=norte\n";
  for (const auto& zone : lab.zones) {
    out += "zones." + zone + "=norte\n";
  }
  out += "listen.frontend=" + it.ip + ":0\nlisten.readiness=" + it.ip +
         ":0\nlisten.control=" + it.ip + ":0\nbootstrap=true\n" +
         "limits.cores=1\nlimits.cpu_share=0.25\nlimits.memory_mb=260\n" +
         "limits.max_fds=4100\ndiscovery=platform\nentry=vip\n" +
         "heartbeat_ms=1500\nbounds.config_apply_ms=2000\n" +
         "bounds.lease_ms=3000\nbounds.hold_max_ms=1000\ncommands=rpc\n" +
         "platform.form=table\nplatform.addr=" + ToString(it.store) + "\n";
  return out;
}

auto ReadLine(Lab& lab, Instance& it) -> void {
  if (it.line.find("\"event\":\"started\"") != std::string::npos) {
    const auto started = boost::json::parse(it.line).as_object();
    it.callers = {.ip = it.ip,
                  .port = started.at("callers").to_number<uint16_t>()};
    if (lab.relays) {
      lab.relays->SetTarget(
          *it.advertised,
          {.ip = it.ip, .port = started.at("instances").to_number<uint16_t>()});
    }
    lab.recorder.Write("instance " + it.name + " serves " +
                       ToString(it.callers));
  }
  if (it.line.find("\"event\":\"group_held\"") != std::string::npos) {
    lab.holder = it.name;
    lab.recorder.Write("holder " + it.name);
  }
  it.line.clear();
}

auto ReadLog(Lab& lab, Instance& it) -> void {
  it.log.async_read_some(
      boost::asio::buffer(it.buffer),
      [&lab, &it](boost::system::error_code ec, size_t n) {
        if (ec) {
          return;
        }
        std::ofstream(lab.arguments.folder + "/" + it.name + ".log",
                      std::ios::app)
            .write(it.buffer.data(), static_cast<std::streamsize>(n));
        for (size_t i = 0; i < n; ++i) {
          if (it.buffer.at(i) == '\n') {
            ReadLine(lab, it);
          } else {
            it.line.push_back(it.buffer.at(i));
          }
        }
        if (!it.stalled) {
          ReadLog(lab, it);
        }
      });
}

auto Spawn(const Lab& lab,
           const Instance& it,
           const std::string& settings,
           int output) -> pid_t {
  std::vector<std::string> command = {lab.arguments.program, "--metrics-port",
                                      "9464"};
  if (it.advertised) {
    command.insert(command.end(), {"--advertise", ToString(*it.advertised)});
  }
  std::vector<char*> arguments;
  arguments.reserve(command.size() + 1);
  for (auto& word : command) {
    arguments.push_back(word.data());
  }
  arguments.push_back(nullptr);
  const auto pid = ::fork();
  if (pid == 0) {
    ::dup2(output, STDOUT_FILENO);
    // The sockets of the stand-ins must not stay open in the instance.
    ::close_range(STDERR_FILENO + 1, ~0U, 0);
    ::setenv("BORAGECROFT_CONFIG", settings.c_str(), 1);
    ::execv(arguments.front(), arguments.data());
    ::_exit(127);
  }
  return pid;
}

auto DecodeReply(const Result<HttpResponse, HttpError>& result) -> Reply {
  Reply out;
  if (result.has_error()) {
    out.error = result.error().reason;
    return out;
  }
  out.status = result.value().status;
  const auto body = ParseJson(result.value().body);
  if (body.has_value() && body.value().is_object()) {
    out.state = standins::TextOr(body.value().get_object(), "state", "");
    out.error = standins::TextOr(body.value().get_object(), "error", "");
  }
  return out;
}

auto SubmitOnce(Lab& lab, const std::string& id, HttpRequest request, int tries)
    -> void {
  const auto n = static_cast<int64_t>(lab.instances.size());
  const auto& instance =
      *lab.instances[static_cast<size_t>(Uniform(lab, 0, n - 1))];
  lab.recorder.Write("send " + id + " to " + instance.name);
  auto copy = request;
  Send(lab, instance, std::move(copy), kDeadline,
       [&lab, id, request = std::move(request), tries](const Reply& reply) {
         ++lab.answers[reply.status];
         lab.recorder.Write("answer " + id + " " +
                            std::to_string(reply.status) + " " + reply.state +
                            reply.error);
         const auto again =
             reply.status == 0 || reply.status == 502 || reply.status == 504;
         if (again && tries > 1) {
           After(lab, kRetransmit, [&lab, id, request, tries] {
             SubmitOnce(lab, id, request, tries - 1);
           });
         }
       });
}

}  // namespace

Lab::Lab(Arguments from)
    : arguments(std::move(from)),
      recorder(arguments.record),
      random(arguments.seed) {
  const auto pid = static_cast<unsigned>(::getpid());
  network = "127." + std::to_string(64 + pid % 128) + "." +
            std::to_string((pid / 128) % 256) + ".";
}

Lab::~Lab() {
  for (const auto& it : instances) {
    if (it->pid > 0) {
      ::kill(it->pid, SIGKILL);
      ::waitpid(it->pid, nullptr, 0);
    }
  }
}

auto After(Lab& lab, milliseconds wait, std::function<void()> action) -> void {
  auto timer = std::make_shared<boost::asio::steady_timer>(lab.context, wait);
  timer->async_wait(
      [timer, action = std::move(action)](boost::system::error_code ec) {
        if (!ec) {
          action();
        }
      });
}

auto Uniform(Lab& lab, int64_t low, int64_t high) -> int64_t {
  return std::uniform_int_distribution<int64_t>(low, high)(lab.random);
}

auto Spread(Lab& lab, double mean) -> double {
  return mean * std::lognormal_distribution<double>(-kSpread * kSpread / 2,
                                                    kSpread)(lab.random);
}

auto AddWorker(Lab& lab, const std::string& zone, int number) -> Worker& {
  struct Kind {
    const char* name;
    double speed;
    int64_t cpu;
  };
  // The kinds, speeds and sizes of the deployment's sheet.
  static constexpr std::array<Kind, 3> kKinds = {
      {{"a1", 0.6, 32000}, {"a2", 1.0, 32000}, {"b", 1.6, 48000}}};
  const auto& kind = kKinds.at(static_cast<size_t>(number) % kKinds.size());
  auto worker = std::make_unique<Worker>(lab.context, lab.store, lab.ledger,
                                         lab.recorder);
  worker->id = "i-" + zone + "-" + std::to_string(number);
  worker->zone = zone;
  worker->kind = kind.name;
  worker->rack = "r-" + zone;
  worker->speed = kind.speed;
  worker->cpu = kind.cpu;
  // Below the ports that the system chooses, so that it is free after a crash.
  worker->address = {
      .ip = lab.network + std::to_string(100 + lab.workers.size()),
      .port = 8080};
  StartWorker(*worker);
  lab.workers.push_back(std::move(worker));
  return *lab.workers.back();
}

auto StartInstance(Lab& lab, const std::string& zone, int number) -> Instance& {
  auto instance = std::make_unique<Instance>(lab.context);
  auto& it = *instance;
  it.name = "frontend-" + zone + "-" + std::to_string(number);
  it.zone = zone;
  it.ip = lab.network + std::to_string(10 + lab.instances.size());
  it.store = StoreAddress(lab);
  if (lab.relays) {
    it.store = lab.relays->AddRelay(it.name, "store");
    lab.relays->SetTarget(it.store, StoreAddress(lab));
    it.advertised = lab.relays->AddRelay("", it.name);
  }
  const auto settings = lab.arguments.folder + "/" + it.name + ".conf";
  std::ofstream(settings) << SettingsText(lab, it);
  std::array<int, 2> ends{};
  if (::pipe2(ends.data(), O_CLOEXEC) != 0) {
    throw std::runtime_error("cannot make a pipe");
  }
  it.pid = Spawn(lab, it, settings, ends[1]);
  ::close(ends[1]);
  it.log.assign(ends[0]);
  ReadLog(lab, it);
  lab.instances.push_back(std::move(instance));
  return it;
}

auto ResumeCollector(Lab& lab, Instance& instance) -> void {
  instance.stalled = false;
  ReadLog(lab, instance);
}

auto Send(Lab& /*lab*/,
          const std::shared_ptr<HttpConnection>& connection,
          HttpRequest request,
          milliseconds deadline,
          std::function<void(Reply)> done) -> void {
  request.headers.push_back({"Host", kHost});
  request.headers.push_back({"Deadline-Ms", std::to_string(deadline.count())});
  request.headers.push_back({"Content-Type", "application/json"});
  connection->Send(std::move(request), deadline, deadline,
                   [connection, done = std::move(done)](
                       const Result<HttpResponse, HttpError>& result) {
                     done(DecodeReply(result));
                   });
}

auto Send(Lab& lab,
          const Instance& instance,
          HttpRequest request,
          milliseconds deadline,
          std::function<void(Reply)> done) -> void {
  Send(lab, std::make_shared<HttpConnection>(lab.context, instance.callers),
       std::move(request), deadline, std::move(done));
}

auto NewJobId(Lab& lab) -> std::string {
  constexpr std::string_view kDigits = "0123456789abcdef";
  std::string out;
  for (auto i = 0; i < 16; ++i) {
    out.push_back(kDigits[static_cast<size_t>(Uniform(lab, 0, 15))]);
  }
  return out;
}

auto MakeJob(Lab& lab, const RequestKind& kind, const std::string& id)
    -> HttpRequest {
  const auto exact = kind.exact;
  const auto mean = exact ? kind.work_ms : Spread(lab, kind.work_ms);
  const auto declared = exact ? mean : Spread(lab, mean);
  const auto uneven = kUneven * static_cast<double>(Uniform(lab, -10, 10)) / 10;
  const auto work = exact ? mean : mean * (1 + uneven);
  const json::object spec{{"work_ms", static_cast<int64_t>(work)},
                          {"cpu", kTaskCpu}};
  const json::object step{{"count", kind.tasks},
                          {"cpu", kTaskCpu},
                          {"mem_mb", 64},
                          {"est_runtime_ms", static_cast<int64_t>(declared)}};
  HttpRequest out;
  out.method = "POST";
  out.target = kind.prefix + id;
  out.body = ToJsonText(json::object{{"spec", ToJsonText(spec)},
                                     {"best_effort", true},
                                     {"steps", json::array{step}}});
  return out;
}

auto SubmitJobs(Lab& lab,
                const RequestKind& kind,
                double per_second,
                Instant until) -> void {
  if (BootClock::now() >= until) {
    return;
  }
  const auto id = NewJobId(lab);
  SubmitOnce(lab, id, MakeJob(lab, kind, id), 2);
  const auto wait =
      std::exponential_distribution<double>(per_second)(lab.random) * 1000;
  After(lab, milliseconds(1 + static_cast<int64_t>(wait)),
        [&lab, kind, per_second, until] {
          SubmitJobs(lab, kind, per_second, until);
        });
}

auto Configure(Lab& lab,
               const std::string& part,
               int64_t version,
               const std::vector<RequestKind>& kinds) -> void {
  json::array routes;
  for (const auto& it : kinds) {
    routes.push_back(json::object{{"name", "r-" + it.prefix.substr(1, 7)},
                                  {"host", kHost},
                                  {"prefix", it.prefix},
                                  {"kind", "non_idempotent"},
                                  {"timeout_ms", it.timeout.count()},
                                  {"target_duration_ms", 60},
                                  {"priority", it.priority},
                                  {"service", "cartas"},
                                  {"max_attempts", 3},
                                  {"slack_factor", 1.6}});
  }
  const json::object service{{"name", "cartas"}, {"health_path", "/healthz"},
                             {"max_conns", 64},  {"protocol", "h1"},
                             {"tls", false},     {"admission_check", false},
                             {"standby", false}};
  const json::object limits{{"max_header_bytes", 16384},
                            {"max_body_bytes", 262144},
                            {"header_timeout_ms", 3000},
                            {"idle_timeout_ms", 15000}};
  PutRow(lab.store, "op", part, "config",
         ToJsonText(json::object{{"version", version},
                                 {"routes", std::move(routes)},
                                 {"services", json::array{service}},
                                 {"limits", limits}}));
  lab.recorder.Write("configuration " + part + " " + std::to_string(version) +
                     " acknowledged");
}

auto RunFor(Lab& lab, milliseconds time) -> void {
  After(lab, time, [&lab] { lab.context.stop(); });
  lab.context.run();
  for (const auto& it : lab.instances) {
    ::kill(it->pid, SIGKILL);
    ::waitpid(it->pid, nullptr, 0);
    it->pid = -1;
  }
}

}  // namespace boragecroft::review
