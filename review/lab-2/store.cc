// The platform's store: rows, feeds and conditional writes.
#include <algorithm>
#include <charconv>
#include <stdexcept>

#include "core/json/text.h"
#include "platform/base64.h"
#include "review/lab-2/fleet.h"
#include "tests/standins/common/json_reply.h"

namespace boragecroft::review {
namespace {

using standins::JsonBody;
using standins::JsonReply;
using standins::NumberOr;
using standins::TextOr;

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

auto Page(const Store& store, json::array rows) -> HttpResponse {
  return JsonReply(200, json::object{{"rows", std::move(rows)},
                                     {"has_more", false},
                                     {"ver", store.version},
                                     {"now_ms", 0}});
}

auto Changes(const Store& store, const std::string& table, uint64_t after)
    -> json::array {
  std::map<uint64_t, json::object> found;
  const auto it = store.tables.find(table);
  if (it != store.tables.end()) {
    for (const auto& [key, row] : it->second) {
      if (row.version > after) {
        found.emplace(row.version, RowJson(table, key, row));
      }
    }
  }
  json::array out;
  for (auto& [version, row] : found) {
    out.push_back(std::move(row));
  }
  return out;
}

auto WakeFeeds(Store& store) -> void {
  for (auto i = store.feeds.size(); i-- > 0;) {
    auto& feed = *store.feeds[i];
    auto rows = Changes(store, feed.table, feed.after);
    if (!rows.empty()) {
      feed.respond(Page(store, std::move(rows)));
      store.feeds.erase(store.feeds.begin() + static_cast<std::ptrdiff_t>(i));
    }
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

auto Feed(Fleet& fleet, const HttpRequest& request, HttpResponder respond)
    -> void {
  auto& store = fleet.store;
  auto feed = std::make_unique<WaitingFeed>();
  feed->table = std::string(QueryParameter(request.target, "table"));
  feed->after = ToNumber(QueryParameter(request.target, "after"));
  auto rows = Changes(store, feed->table, feed->after);
  if (!rows.empty()) {
    respond(Page(store, std::move(rows)));
    return;
  }
  feed->respond = std::move(respond);
  feed->timer = std::make_unique<asio::steady_timer>(
      fleet.io,
      milliseconds(ToNumber(QueryParameter(request.target, "wait_ms"))));
  auto* raw = feed.get();
  feed->timer->async_wait([&store, raw](boost::system::error_code ec) {
    const auto it =
        std::find_if(store.feeds.begin(), store.feeds.end(),
                     [&](const auto& waiting) { return waiting.get() == raw; });
    if (!ec && it != store.feeds.end()) {
      raw->respond(Page(store, {}));
      store.feeds.erase(it);
    }
  });
  store.feeds.push_back(std::move(feed));
}

auto Transact(Fleet& fleet, const HttpRequest& request) -> HttpResponse {
  auto& store = fleet.store;
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
    Note(fleet, "store row " + TextOr(row, "table", "") + "/" +
                    TextOr(row, "key", "") + " written by a daemon");
  }
  WakeFeeds(store);
  return JsonReply(200, json::object{{"ver", store.version}, {"now_ms", 0}});
}

auto Serve(Fleet& fleet,
           StoreDoor& door,
           const HttpRequest& request,
           HttpResponder respond) -> void {
  if (door.mode == StoreMode::kBusy) {
    respond(JsonReply(503, json::object{}));
    return;
  }
  if (door.mode == StoreMode::kSilent) {
    door.unanswered.push_back(std::move(respond));
    return;
  }
  const auto path = TargetPath(request.target);
  if (path == "/rows-get") {
    respond(Read(fleet.store, request));
  } else if (path == "/rows-feed") {
    Feed(fleet, request, std::move(respond));
  } else if (path == "/rows-tx") {
    respond(Transact(fleet, request));
  } else {
    respond(JsonReply(404, json::object{}));
  }
}

}  // namespace

auto PutRow(Fleet& fleet,
            const std::string& table,
            const std::string& key,
            const std::string& text) -> void {
  auto& store = fleet.store;
  ++store.version;
  store.tables[table][key] = StoredRow{.value = platform::EncodeBase64(text),
                                       .version = store.version};
  WakeFeeds(store);
}

auto DropRow(Fleet& fleet, const std::string& table, const std::string& key)
    -> void {
  auto& store = fleet.store;
  ++store.version;
  store.tables[table][key] =
      StoredRow{.value = "", .version = store.version, .deleted = true};
  WakeFeeds(store);
}

auto AddDoor(Fleet& fleet, const Address& address) -> size_t {
  auto door = std::make_unique<StoreDoor>();
  auto* raw = door.get();
  HttpServerCallbacks callbacks;
  callbacks.on_request = [&fleet, raw](const HttpRequest& request,
                                       HttpResponder respond) {
    Serve(fleet, *raw, request, std::move(respond));
  };
  auto server = HttpServer::Listen(
      fleet.io, HttpServerOptions{.listen = address}, std::move(callbacks));
  if (server.has_error()) {
    throw std::runtime_error(server.error());
  }
  door->server = std::move(server).value();
  fleet.store.doors.push_back(std::move(door));
  return fleet.store.doors.size() - 1;
}

}  // namespace boragecroft::review
