#include "tests/standins/fleet/store.h"

#include <algorithm>
#include <charconv>
#include <stdexcept>
#include <utility>

#include "core/json/text.h"
#include "platform/base64.h"
#include "tests/standins/common/json_reply.h"

namespace boragecroft::standins {
namespace {

auto ToNumber(std::string_view text) -> uint64_t {
  uint64_t n = 0;
  std::from_chars(text.data(), text.data() + text.size(), n);
  return n;
}

auto RowJson(const std::string& table,
             const std::string& key,
             const StoredRow& row) -> json::object {
  json::object out{
      {"table", table}, {"part", ""}, {"key", key}, {"ver", row.version}};
  if (row.deleted) {
    out["deleted"] = true;
  } else {
    out["value"] = row.value;
  }
  return out;
}

auto Changes(const Store& store, const std::string& table, uint64_t after)
    -> json::array {
  std::vector<std::pair<uint64_t, json::object>> found;
  const auto it = store.tables.find(table);
  if (it != store.tables.end()) {
    for (const auto& [key, row] : it->second) {
      if (row.version > after) {
        found.emplace_back(row.version, RowJson(table, key, row));
      }
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

auto Page(const Store& store, json::array rows) -> HttpResponse {
  return JsonReply(200, json::object{{"rows", std::move(rows)},
                                     {"has_more", false},
                                     {"ver", store.version},
                                     {"now_ms", 0}});
}

auto WakeFeeds(Store& store) -> void {
  for (auto i = store.feeds.size(); i-- > 0;) {
    auto& feed = *store.feeds[i];
    auto rows = Changes(store, feed.table, feed.after);
    if (rows.empty()) {
      continue;
    }
    feed.respond(Page(store, std::move(rows)));
    store.feeds.erase(store.feeds.begin() + static_cast<std::ptrdiff_t>(i));
  }
}

auto Read(Store& store, const HttpRequest& request) -> HttpResponse {
  const auto table = std::string(QueryParameter(request.target, "table"));
  json::array rows;
  for (const auto& [key, row] : store.tables[table]) {
    if (!row.deleted) {
      rows.push_back(RowJson(table, key, row));
    }
  }
  return Page(store, std::move(rows));
}

auto Feed(Store& store, const HttpRequest& request, HttpResponder respond)
    -> void {
  const auto table = std::string(QueryParameter(request.target, "table"));
  const auto after = ToNumber(QueryParameter(request.target, "after"));
  auto rows = Changes(store, table, after);
  if (!rows.empty()) {
    respond(Page(store, std::move(rows)));
    return;
  }
  auto feed = std::make_unique<WaitingFeed>();
  feed->table = table;
  feed->after = after;
  feed->respond = std::move(respond);
  feed->timer = std::make_unique<boost::asio::steady_timer>(
      store.context,
      milliseconds(ToNumber(QueryParameter(request.target, "wait_ms"))));
  auto* raw = feed.get();
  feed->timer->async_wait([&store, raw](boost::system::error_code ec) {
    const auto it =
        std::find_if(store.feeds.begin(), store.feeds.end(),
                     [&](const auto& waiting) { return waiting.get() == raw; });
    if (ec || it == store.feeds.end()) {
      return;
    }
    raw->respond(Page(store, {}));
    store.feeds.erase(it);
  });
  store.feeds.push_back(std::move(feed));
}

auto Transact(Store& store, const HttpRequest& request) -> HttpResponse {
  const auto body = JsonBody(request);
  json::array present;
  auto conflict = false;
  for (const auto& it : body.at("expected_rev").as_array()) {
    const auto& expected = it.as_object();
    const auto table = TextOr(expected, "table", "");
    const auto key = TextOr(expected, "key", "");
    const auto& row = store.tables[table][key];
    const auto version = row.deleted ? 0 : row.version;
    conflict |= version != static_cast<uint64_t>(NumberOr(expected, "ver", 0));
    present.push_back(RowJson(table, key, row));
  }
  if (conflict) {
    return JsonReply(412, json::object{{"rows", std::move(present)}});
  }
  ++store.version;
  for (const auto& it : body.at("writes").as_array()) {
    const auto& row = it.as_object();
    store.tables[TextOr(row, "table", "")][TextOr(row, "key", "")] =
        StoredRow{.value = TextOr(row, "value", ""), .version = store.version};
  }
  WakeFeeds(store);
  return JsonReply(200, json::object{{"ver", store.version}, {"now_ms", 0}});
}

auto Serve(Store& store, const HttpRequest& request, HttpResponder respond)
    -> void {
  ++store.calls;
  if (store.mode == StoreMode::kRefuses) {
    respond(JsonReply(503, json::object{}));
    return;
  }
  if (store.mode == StoreMode::kNoResponse) {
    store.unanswered.push_back(std::move(respond));
    return;
  }
  const auto path = TargetPath(request.target);
  if (path == "/rows-get") {
    respond(Read(store, request));
  } else if (path == "/rows-feed") {
    Feed(store, request, std::move(respond));
  } else if (path == "/rows-tx") {
    respond(Transact(store, request));
  } else {
    respond(JsonReply(404, json::object{}));
  }
}

}  // namespace

auto PutRow(Store& store,
            const std::string& table,
            const std::string& key,
            const std::string& text) -> void {
  ++store.version;
  store.tables[table][key] = StoredRow{.value = platform::EncodeBase64(text),
                                       .version = store.version};
  WakeFeeds(store);
}

auto DropRow(Store& store, const std::string& table, const std::string& key)
    -> void {
  ++store.version;
  store.tables[table][key] =
      StoredRow{.value = "", .version = store.version, .deleted = true};
  WakeFeeds(store);
}

auto ListenAsStore(Store& store) -> void {
  HttpServerCallbacks callbacks;
  callbacks.on_request = [&store](const HttpRequest& request,
                                  HttpResponder respond) {
    Serve(store, request, std::move(respond));
  };
  auto server = HttpServer::Listen(
      store.context,
      HttpServerOptions{.listen = {.ip = "127.0.0.1", .port = 0}},
      std::move(callbacks));
  if (server.has_error()) {
    throw std::runtime_error(server.error());
  }
  store.server = std::move(server).value();
}

}  // namespace boragecroft::standins
