#include "review/lab/lab.h"

#include <fcntl.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <boost/asio/write.hpp>
#include <charconv>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <random>
#include <stdexcept>
#include <utility>

#include "platform/base64.h"

namespace review {
namespace {

namespace asio = boost::asio;
namespace json = boost::json;
using asio::ip::tcp;
using std::chrono::steady_clock;

// The bounds of the small sites: the longest lease, and the interval in which
// workers report.
constexpr int64_t kHoldMaxMs = 1000;
constexpr milliseconds kHeartbeat{1500};
constexpr int kStorePort = 8169;
constexpr int kProxyPort = 8170;

auto Reply200(const json::object& body) -> HttpResponse {
  HttpResponse out;
  out.body = json::serialize(body);
  return out;
}

auto JsonReply(int status, const json::object& body) -> HttpResponse {
  HttpResponse out;
  out.status = status;
  out.body = json::serialize(body);
  return out;
}

auto Number(const json::object& in, std::string_view key, int64_t fallback)
    -> int64_t {
  const auto* value = in.if_contains(key);
  return value == nullptr ? fallback : value->to_number<int64_t>();
}

auto Text(const json::object& in, std::string_view key) -> std::string {
  const auto* value = in.if_contains(key);
  return value == nullptr ? "" : std::string(value->as_string());
}

auto ToNumber(std::string_view text) -> uint64_t {
  uint64_t n = 0;
  std::from_chars(text.data(), text.data() + text.size(), n);
  return n;
}

auto Listen(asio::io_context& context,
            const Address& address,
            boragecroft::HttpServerCallbacks callbacks)
    -> std::unique_ptr<HttpServer> {
  auto server = HttpServer::Listen(
      context, boragecroft::HttpServerOptions{.listen = address},
      std::move(callbacks));
  if (server.has_error()) {
    throw std::runtime_error(server.error());
  }
  return std::move(server).value();
}

auto MakeFolder() -> std::string {
  std::string name = "/tmp/boragecroft-review-XXXXXX";
  if (mkdtemp(name.data()) == nullptr) {
    throw std::runtime_error("no temporary folder");
  }
  return name;
}

}  // namespace

// --- Record

Record::Record(const std::string& file)
    : out_(file), began_(steady_clock::now()) {}

auto Record::Now() const -> int64_t {
  return std::chrono::duration_cast<milliseconds>(steady_clock::now() - began_)
      .count();
}

auto Record::Line(const std::string& text) -> void {
  out_ << Now() << " ms  " << text << std::endl;
}

// --- Store

Store::Store(asio::io_context& context, Record& record)
    : context_(context), record_(record) {}

auto Store::ListenFor(const std::string& name, const Address& address) -> void {
  boragecroft::HttpServerCallbacks callbacks;
  callbacks.on_request = [this, name](const HttpRequest& request,
                                      HttpResponder respond) {
    Serve(name, request, std::move(respond));
  };
  servers_.push_back(Listen(context_, address, std::move(callbacks)));
}

auto Store::Refuse(const std::string& name, bool refused) -> void {
  refused_[name] = refused;
  record_.Line("store: " + name + (refused ? " is turned away" : " is served"));
}

auto Store::SetSilent(bool silent) -> void {
  silent_ = silent;
  record_.Line(silent ? "store: silent" : "store: answers again");
}

auto Store::Put(const std::string& table,
                const std::string& key,
                const std::string& text) -> void {
  tables_[table][key] = Row{.value = boragecroft::platform::EncodeBase64(text),
                            .version = ++version_};
  Wake();
}

auto Store::Remove(const std::string& table, const std::string& key) -> void {
  tables_[table][key] =
      Row{.value = "", .version = ++version_, .deleted = true};
  Wake();
}

auto Store::LastConditionalWriter() const -> const std::string& {
  return last_writer_;
}

auto Store::Changes(const std::string& table, uint64_t after) const
    -> json::array {
  std::vector<std::pair<uint64_t, json::object>> found;
  const auto it = tables_.find(table);
  if (it != tables_.end()) {
    for (const auto& [key, row] : it->second) {
      if (row.version <= after) {
        continue;
      }
      json::object out{
          {"table", table}, {"part", ""}, {"key", key}, {"ver", row.version}};
      if (row.deleted) {
        out["deleted"] = true;
      } else {
        out["value"] = row.value;
      }
      found.emplace_back(row.version, std::move(out));
    }
  }
  std::sort(found.begin(), found.end(),
            [](const auto& a, const auto& b) { return a.first < b.first; });
  json::array out;
  for (auto& row : found) {
    out.push_back(std::move(row.second));
  }
  return out;
}

auto Store::Page(json::array rows) const -> HttpResponse {
  return Reply200({{"rows", std::move(rows)},
                   {"has_more", false},
                   {"ver", version_},
                   {"now_ms", record_.Now()}});
}

auto Store::Wake() -> void {
  for (auto it = waiting_.begin(); it != waiting_.end();) {
    auto rows = Changes(it->table, it->after);
    if (rows.empty()) {
      ++it;
      continue;
    }
    it->respond(Page(std::move(rows)));
    it = waiting_.erase(it);
  }
}

auto Store::Feed(const HttpRequest& request, HttpResponder respond) -> void {
  const auto table =
      std::string(boragecroft::QueryParameter(request.target, "table"));
  const auto after =
      ToNumber(boragecroft::QueryParameter(request.target, "after"));
  const auto wait =
      ToNumber(boragecroft::QueryParameter(request.target, "wait_ms"));
  auto rows = Changes(table, after);
  if (!rows.empty()) {
    respond(Page(std::move(rows)));
    return;
  }
  waiting_.push_back(
      Waiting{.table = table,
              .after = after,
              .respond = std::move(respond),
              .timer = std::make_unique<asio::steady_timer>(
                  context_, milliseconds(static_cast<int64_t>(wait)))});
  auto it = std::prev(waiting_.end());
  it->timer->async_wait([this, it](boost::system::error_code ec) {
    if (ec) {
      return;
    }
    if (silent_) {
      unanswered_.push_back(std::move(it->respond));
    } else {
      it->respond(Page({}));
    }
    waiting_.erase(it);
  });
}

auto Store::Transact(const std::string& name, const HttpRequest& request)
    -> HttpResponse {
  const auto parsed = json::parse(request.body);
  const auto& body = parsed.as_object();
  auto conflict = false;
  for (const auto& it : body.at("expected_rev").as_array()) {
    const auto& row = it.as_object();
    const auto& known = tables_[Text(row, "table")][Text(row, "key")];
    const auto version =
        known.deleted ? 0 : static_cast<int64_t>(known.version);
    conflict |= version != Number(row, "ver", 0);
  }
  if (conflict) {
    return JsonReply(412, {{"rows", json::array()}});
  }
  ++version_;
  for (const auto& it : body.at("writes").as_array()) {
    const auto& row = it.as_object();
    tables_[Text(row, "table")][Text(row, "key")] =
        Row{.value = Text(row, "value"), .version = version_};
    record_.Line("store: " + name + " wrote " + Text(row, "table") + "/" +
                 Text(row, "key"));
  }
  last_writer_ = name;
  Wake();
  return Reply200({{"ver", version_}, {"now_ms", record_.Now()}});
}

auto Store::Serve(const std::string& name,
                  const HttpRequest& request,
                  HttpResponder respond) -> void {
  if (silent_) {
    unanswered_.push_back(std::move(respond));
    return;
  }
  if (refused_[name]) {
    respond(JsonReply(503, {}));
    return;
  }
  const auto path = boragecroft::TargetPath(request.target);
  if (path == "/rows-get") {
    const auto table =
        std::string(boragecroft::QueryParameter(request.target, "table"));
    json::array rows;
    for (auto& it : Changes(table, 0)) {
      if (!it.as_object().contains("deleted")) {
        rows.push_back(std::move(it));
      }
    }
    respond(Page(std::move(rows)));
  } else if (path == "/rows-feed") {
    Feed(request, std::move(respond));
  } else if (path == "/rows-tx") {
    respond(Transact(name, request));
  } else {
    respond(JsonReply(404, {}));
  }
}

// --- Worker

Worker::Worker(asio::io_context& context,
               Record& record,
               std::deque<SeenRun>& runs,
               std::string id,
               const std::string& ip)
    : context_(context),
      record_(record),
      seen_(runs),
      id_(std::move(id)),
      began_(steady_clock::now()),
      born_(std::chrono::duration_cast<milliseconds>(
                std::chrono::system_clock::now().time_since_epoch())
                .count()),
      hold_timer_(context),
      lease_timer_(context) {
  boragecroft::HttpServerCallbacks callbacks;
  callbacks.on_request = [this](const HttpRequest& request,
                                HttpResponder respond) {
    Serve(request, std::move(respond));
  };
  server_ = Listen(context, Address{.ip = ip, .port = 0}, std::move(callbacks));
  address_ = Address{.ip = ip, .port = server_->Port()};
}

auto Worker::Clock() const -> int64_t {
  return std::chrono::duration_cast<milliseconds>(steady_clock::now() - began_)
      .count();
}

auto Worker::Answer(int status, json::object body) const -> HttpResponse {
  body["clock_ms"] = Clock();
  return JsonReply(status, body);
}

auto Worker::Report(bool draining) const -> std::string {
  json::object report{
      {"service", service},
      {"addr", boragecroft::ToString(address_)},
      {"zone", zone},
      {"version", "v1"},
      {"slots", 8},
      {"state", draining ? "draining" : "ready"},
      {"cold_left_ms", 0},
      {"born", born_},
      {"capacity", json::object{{"cpu", cpu}, {"mem_mb", 65536}, {"gpu", 0}}},
      {"labels", json::array{"a", "r1-1"}},
      {"clock_ms", Clock()},
      {"seq", Clock() / kHeartbeat.count()}};
  if (draining) {
    report["remaining_ms"] = 2000;
  }
  return json::serialize(report);
}

auto Worker::Lists() const -> HttpResponse {
  json::array running;
  for (const auto& it : runs_) {
    running.push_back(json::array{it.task, it.attempt, "", 0});
  }
  return Answer(200, {{"born", born_},
                      {"running", std::move(running)},
                      {"finished", finished_}});
}

auto Worker::AnswerHold() -> void {
  if (hold_) {
    hold_timer_.cancel();
    std::exchange(hold_, nullptr)(Lists());
  }
}

auto Worker::End(const std::string& task, const std::string& how) -> void {
  const auto it = std::find_if(runs_.begin(), runs_.end(), [&](const Run& run) {
    return run.task == task;
  });
  if (it == runs_.end()) {
    return;
  }
  auto& seen = seen_[it->seen];
  seen.ended = record_.Now();
  seen.how = how;
  record_.Line(id_ + ": " + task + " run " + std::to_string(it->attempt) +
               " ended " + how);
  auto& ended = ended_attempts_[task];
  ended = std::max(ended, it->attempt);
  finished_.push_back(json::array{++sequence_, task, it->attempt, how, ""});
  runs_.erase(it);
  AnswerHold();
}

auto Worker::Extend(int64_t expires) -> void {
  const auto clock = Clock();
  expires_ = std::max(expires_, std::min(expires, clock + kHoldMaxMs));
  lease_timer_.expires_after(milliseconds(expires_ - clock));
  lease_timer_.async_wait([this](boost::system::error_code ec) {
    while (!ec && !runs_.empty()) {
      End(std::string(runs_.front().task), "lapsed");
    }
  });
}

auto Worker::Start(const json::object& body) -> HttpResponse {
  const auto task = Text(body, "task");
  const auto attempt = Number(body, "attempt", 0);
  const auto expires = Number(body, "expires_ms", 0);
  if (expires <= Clock()) {
    return Answer(409, {{"reason", "late"}});
  }
  Extend(expires);
  for (const auto& it : runs_) {
    if (it.task == task) {
      return it.attempt == attempt ? Answer(200)
                                   : Answer(409, {{"reason", "old"}});
    }
  }
  const auto ended = ended_attempts_.find(task);
  if (ended != ended_attempts_.end() && attempt <= ended->second) {
    return Answer(409, {{"reason", "old"}});
  }
  Run run;
  run.task = task;
  run.attempt = attempt;
  run.seen = seen_.size();
  seen_.push_back(SeenRun{
      .task = task, .worker = id_, .attempt = attempt, .began = record_.Now()});
  run.timer = std::make_unique<asio::steady_timer>(context_, work);
  run.timer->async_wait([this, task](boost::system::error_code ec) {
    if (!ec) {
      End(task, "done");
    }
  });
  runs_.push_back(std::move(run));
  record_.Line(id_ + ": " + task + " run " + std::to_string(attempt) +
               " begins, token " +
               std::to_string(Number(body, "fencing_token", 0)));
  return Answer(200);
}

auto Worker::Stop(const json::object& body) -> HttpResponse {
  const auto task = Text(body, "task");
  auto& ended = ended_attempts_[task];
  ended = std::max(ended, Number(body, "attempt", 0));
  const auto it = std::find_if(runs_.begin(), runs_.end(), [&](const Run& run) {
    return run.task == task;
  });
  if (it != runs_.end() && it->attempt <= ended) {
    it->timer->expires_after(stop_time);
    it->timer->async_wait([this, task](boost::system::error_code ec) {
      if (!ec) {
        End(task, "stopped");
      }
    });
  }
  return Answer(200);
}

auto Worker::Hold(const json::object& body, HttpResponder respond) -> void {
  const auto acked = Number(body, "ack_seq", 0);
  while (!finished_.empty() &&
         finished_.front().at(0).to_number<int64_t>() <= acked) {
    finished_.erase(finished_.begin());
  }
  const auto expires = Number(body, "expires_ms", 0);
  if (expires > Clock()) {
    Extend(expires);
  }
  AnswerHold();
  const milliseconds wait(Number(body, "wait_ms", 0));
  if (!finished_.empty() || wait == milliseconds{0}) {
    respond(Lists());
    return;
  }
  hold_ = std::move(respond);
  hold_timer_.expires_after(wait);
  hold_timer_.async_wait([this](boost::system::error_code ec) {
    if (!ec) {
      AnswerHold();
    }
  });
}

auto Worker::Serve(const HttpRequest& request, HttpResponder respond) -> void {
  const auto expected =
      boragecroft::FindHeader(request.headers, "Expect-Instance");
  if (!expected.empty() && expected != id_) {
    respond(Answer(421));
    return;
  }
  const auto parsed = json::parse(request.body);
  const auto& body = parsed.as_object();
  const auto token = Number(body, "fencing_token", 0);
  if (token < token_) {
    respond(Answer(409, {{"reason", "fence"}}));
    return;
  }
  token_ = token;
  if (request.target == "/run-start") {
    respond(Start(body));
  } else if (request.target == "/run-stop") {
    respond(Stop(body));
  } else if (request.target == "/hold") {
    Hold(body, std::move(respond));
  } else {
    respond(Answer(404));
  }
}

// --- Proxy

struct Proxy::Pair {
  explicit Pair(asio::io_context& context) : client(context), server(context) {}

  tcp::socket client;
  tcp::socket server;
  std::array<char, 65536> up{};
  std::array<char, 65536> down{};
  bool silent = false;
};

Proxy::Proxy(asio::io_context& context, const Address& listen, Address target)
    : context_(context),
      acceptor_(context,
                tcp::endpoint(asio::ip::make_address(listen.ip), listen.port)),
      target_(std::move(target)) {
  Accept();
}

auto Proxy::Silence() -> void {
  for (auto& it : pairs_) {
    it->silent = true;
  }
}

auto Proxy::Accept() -> void {
  auto pair = std::make_shared<Pair>(context_);
  acceptor_.async_accept(
      pair->client, [this, pair](boost::system::error_code ec) {
        if (ec) {
          return;
        }
        boost::system::error_code failed;
        pair->server.connect(
            tcp::endpoint(asio::ip::make_address(target_.ip), target_.port),
            failed);
        if (!failed) {
          pair->client.set_option(tcp::no_delay(true), failed);
          pair->server.set_option(tcp::no_delay(true), failed);
          pairs_.push_back(pair);
          Pump(pair, true);
          Pump(pair, false);
        }
        Accept();
      });
}

auto Proxy::Pump(const std::shared_ptr<Pair>& pair, bool forward) -> void {
  auto& from = forward ? pair->client : pair->server;
  auto& buffer = forward ? pair->up : pair->down;
  from.async_read_some(asio::buffer(buffer), [pair, forward](
                                                 boost::system::error_code ec,
                                                 size_t n) {
    auto& to = forward ? pair->server : pair->client;
    if (pair->silent) {
      // Nothing passes any more, not even the end of the connection.
      if (!ec) {
        Pump(pair, forward);
      }
      return;
    }
    boost::system::error_code failed;
    if (!ec) {
      asio::write(to, asio::buffer(forward ? pair->up : pair->down, n), failed);
    }
    if (ec || failed) {
      pair->client.close(failed);
      pair->server.close(failed);
      return;
    }
    Pump(pair, forward);
  });
}

// --- Lab

Lab::Lab(const std::string& folder)
    : record_(folder + "/record.txt"),
      scratch_(MakeFolder()),
      beat_timer_(context_) {
  std::random_device random;
  net_ = "127." + std::to_string(20 + random() % 200) + "." +
         std::to_string(random() % 250) + ".";
  store_ = std::make_unique<Store>(context_, record_);
  record_.Line(Trouble() ? "with the disruption" : "without the disruption");
  Beat();
}

Lab::~Lab() {
  for (auto& it : instances_) {
    Kill(it);
  }
  std::error_code ec;
  if (std::getenv("KEEP_LOGS") == nullptr) {
    std::filesystem::remove_all(scratch_, ec);
  }
}

auto Lab::Ip(int n) const -> std::string {
  return net_ + std::to_string(n);
}

auto Lab::AddWorker(const std::string& id) -> Worker& {
  return workers_.emplace_back(context_, record_, runs_, id, Ip(200));
}

auto Lab::Register(Worker& worker, bool draining) -> void {
  registered_[worker.Id()] = draining;
  store_->Put("servers", worker.Id(), worker.Report(draining));
  record_.Line("store: accepted the report of " + worker.Id() + ", " +
               (draining ? "draining" : "ready"));
}

auto Lab::Beat() -> void {
  beat_timer_.expires_after(kHeartbeat);
  beat_timer_.async_wait([this](boost::system::error_code ec) {
    if (ec) {
      return;
    }
    for (auto& it : workers_) {
      const auto known = registered_.find(it.Id());
      if (known != registered_.end() && !store_->IsSilent()) {
        store_->Put("servers", it.Id(), it.Report(known->second));
      }
    }
    Beat();
  });
}

auto Lab::AddInstance(const std::string& name,
                      const std::string& zone,
                      bool proxied) -> Instance& {
  const auto n = static_cast<int>(instances_.size()) + 1;
  Instance instance;
  instance.name = name;
  instance.zone = zone;
  instance.ip = Ip(n);
  instance.callers = Address{.ip = instance.ip, .port = 8161};
  const Address direct{.ip = Ip(100 + n), .port = kStorePort};
  store_->ListenFor(name, direct);
  if (proxied) {
    proxies_.push_back(std::make_unique<Proxy>(
        context_, Address{.ip = Ip(100 + n), .port = kProxyPort}, direct));
  }
  std::ofstream out(scratch_ + "/" + name + ".conf");
  out << "node_name=" << name << "\nrole=entry\nmachine_class=frontend\n"
      << "serves=frontend,control\nip=" << instance.ip << "\nzone=" << zone
      << "\nregion=here\n";
  for (const auto& it : zones) {
    out << "zones." << it << "=here\n";
  }
  out << "listen.frontend=" << instance.ip << ":8161\n"
      << "listen.readiness=" << instance.ip << ":8167\n"
      << "listen.control=" << instance.ip << ":8166\n"
      << "port_range=7720,7735\n"
      << "seeds=" << Ip(1) << ":8166," << Ip(2) << ":8166\n"
      << "bootstrap=true\nfault_counted=false\nlimits.cpu_share=0.25\n"
      << "limits.cores=1\nlimits.memory_mb=260\nlimits.max_fds=4100\n"
      << "discovery=platform\nentry=vip\nheartbeat_ms=1500\n"
      << "bounds.contact_ms=3000\nbounds.drain_ms=2000\nbounds.grace_s=6\n"
      << "bounds.config_apply_ms=2000\nbounds.recovery_s=12\n"
      << "bounds.hold_max_ms=1000\nbounds.stop_timeout_ms=50\n"
      << "bounds.cancel_ms=3000\nbounds.retransmit_ms=1300\ncommands=rpc\n"
      << "platform.addr=" << Ip(100 + n) << ":"
      << (proxied ? kProxyPort : kStorePort) << "\nplatform.form=table\n";
  instances_.push_back(instance);
  return instances_.back();
}

auto Lab::Find(const std::string& name) -> Instance& {
  for (auto& it : instances_) {
    if (it.name == name) {
      return it;
    }
  }
  throw std::runtime_error("no instance " + name);
}

auto Lab::SilenceStoreConnections() -> void {
  for (auto& it : proxies_) {
    it->Silence();
  }
  record_.Line("all open connections to the store are silent from now on");
}

auto Lab::Spawn(Instance& instance) -> void {
  const auto settings = scratch_ + "/" + instance.name + ".conf";
  const auto log = scratch_ + "/" + instance.name + ".log";
  const auto pid = fork();
  if (pid == 0) {
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    const auto out = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    dup2(out, 1);
    dup2(out, 2);
    for (auto fd = 3; fd < 1024; ++fd) {
      close(fd);
    }
    setenv("BORAGECROFT_CONFIG", settings.c_str(), 1);
    execl("target/bin/boragecroft_entryd", "target/bin/boragecroft_entryd",
          "--metrics-port", "9464", static_cast<char*>(nullptr));
    _exit(127);
  }
  instance.pid = pid;
  record_.Line(instance.name + ": started");
}

auto Lab::Kill(Instance& instance) -> void {
  if (instance.pid > 0) {
    kill(instance.pid, SIGKILL);
    waitpid(instance.pid, nullptr, 0);
    instance.pid = 0;
    record_.Line(instance.name + ": killed");
  }
}

auto Lab::Freeze(Instance& instance) -> void {
  kill(instance.pid, SIGSTOP);
  record_.Line(instance.name + ": frozen");
}

auto Lab::Thaw(Instance& instance) -> void {
  record_.Line(instance.name + ": goes on");
  kill(instance.pid, SIGCONT);
}

auto Lab::Terminate(Instance& instance) -> void {
  constexpr int64_t kGraceMs = 6000;
  kill(instance.pid, SIGTERM);
  record_.Line(instance.name + ": SIGTERM");
  const auto sent = record_.Now();
  while (record_.Now() - sent < kGraceMs) {
    RunFor(milliseconds(50));
    if (waitpid(instance.pid, nullptr, WNOHANG) == instance.pid) {
      instance.pid = 0;
      record_.Line(instance.name + ": ended");
      return;
    }
  }
  Kill(instance);
}

auto Lab::RunFor(milliseconds time) -> void {
  context_.run_for(time);
}

auto Lab::Send(Instance& instance,
               const std::string& method,
               const std::string& target,
               const std::string& body,
               milliseconds deadline) -> std::shared_ptr<Reply> {
  HttpRequest request;
  request.method = method;
  request.target = target;
  request.headers.push_back({"Host", kHost});
  request.headers.push_back({"Content-Type", "application/json"});
  request.headers.push_back({"Deadline-Ms", std::to_string(deadline.count())});
  request.body = body;
  auto reply = std::make_shared<Reply>();
  reply->sent = record_.Now();
  auto connection =
      std::make_shared<HttpConnection>(context_, instance.callers);
  record_.Line("client: " + method + " " + target + " to " + instance.name);
  auto* raw = connection.get();
  raw->Send(std::move(request), deadline, deadline,
            [this, reply, connection, method, target](
                const boragecroft::Result<HttpResponse, boragecroft::HttpError>&
                    result) {
              if (result.has_error()) {
                record_.Line("client: " + method + " " + target +
                             " got no answer: " + result.error().reason);
                return;
              }
              reply->answered = record_.Now();
              reply->status = result.value().status;
              reply->body = result.value().body;
              record_.Line("client: " + method + " " + target + " got " +
                           std::to_string(reply->status) + " " + reply->body);
            });
  return reply;
}

auto Lab::Submit(Instance& instance,
                 const std::string& id,
                 int count,
                 int estimate_ms,
                 milliseconds deadline,
                 const std::string& prefix) -> std::shared_ptr<Reply> {
  const json::object step{{"count", count},
                          {"cpu", 14000},
                          {"mem_mb", 64},
                          {"est_runtime_ms", estimate_ms}};
  const json::object job{{"spec", "letter " + id},
                         {"best_effort", true},
                         {"steps", json::array{step}}};
  return Send(instance, "POST", prefix + id, json::serialize(job), deadline);
}

auto Lab::AwaitService() -> bool {
  const auto until = record_.Now() + 15000;
  for (auto& it : instances_) {
    for (auto served = false; !served;) {
      const auto reply = Submit(it, NextId(), 1, 60);
      RunFor(milliseconds(200));
      served = reply->status == 200;
      if (!served && record_.Now() > until) {
        return false;
      }
    }
  }
  return true;
}

auto Lab::NextId() -> std::string {
  std::array<char, 17> text{};
  std::snprintf(
      text.data(), text.size(), "%016llx",
      static_cast<unsigned long long>(0x5c0e7a2100000000ULL + ++last_id_));
  return text.data();
}

auto CountDoubleRuns(Lab& lab) -> int {
  auto found = 0;
  const auto& runs = lab.Runs();
  for (size_t a = 0; a < runs.size(); ++a) {
    for (size_t b = a + 1; b < runs.size(); ++b) {
      const auto& first = runs[a];
      const auto& second = runs[b];
      if (first.task != second.task) {
        continue;
      }
      const auto end = first.ended < 0 ? lab.GetRecord().Now() : first.ended;
      if (second.began < end) {
        ++found;
        lab.GetRecord().Line("TWICE: " + first.task + " on " + first.worker +
                             " " + std::to_string(first.began) + " to " +
                             std::to_string(end) + " ms and on " +
                             second.worker + " from " +
                             std::to_string(second.began) + " ms");
      }
    }
  }
  return found;
}

auto Configuration(int version,
                   const std::vector<std::string>& prefixes,
                   int timeout_ms) -> std::string {
  json::array routes;
  for (const auto& it : prefixes) {
    routes.push_back(json::object{{"name", "r" + it},
                                  {"host", kHost},
                                  {"prefix", it},
                                  {"kind", "non_idempotent"},
                                  {"timeout_ms", timeout_ms},
                                  {"target_duration_ms", 60},
                                  {"priority", 0},
                                  {"service", "letters"},
                                  {"max_attempts", 3},
                                  {"slack_factor", 1.6}});
  }
  return json::serialize(json::object{
      {"version", version},
      {"routes", std::move(routes)},
      {"services", json::array{json::object{{"name", "letters"},
                                            {"health_path", "/healthz"},
                                            {"max_conns", 64},
                                            {"protocol", "h1"},
                                            {"tls", false},
                                            {"admission_check", false},
                                            {"standby", false}}}},
      {"limits", json::object{{"max_header_bytes", 16384},
                              {"max_body_bytes", 262144},
                              {"header_timeout_ms", 3000},
                              {"idle_timeout_ms", 15000}}}});
}

auto Trouble() -> bool {
  const auto* text = std::getenv("TROUBLE");  // NOLINT(concurrency-mt-unsafe)
  return text == nullptr || std::string(text) != "0";
}

}  // namespace review
