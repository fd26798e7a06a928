#include "review/lab-3/store.h"

#include <algorithm>
#include <charconv>
#include <stdexcept>

#include "core/json/text.h"
#include "platform/base64.h"
#include "tests/standins/common/json_reply.h"

namespace boragecroft::review {
namespace {

using standins::JsonReply;
using standins::TextOr;

auto ToNumber(std::string_view text) -> uint64_t {
  uint64_t n = 0;
  std::from_chars(text.data(), text.data() + text.size(), n);
  return n;
}

auto ToJson(const std::string& table,
            const std::pair<std::string, std::string>& name,
            const StoredRow& row) -> json::object {
  return {{"table", table},
          {"part", name.first},
          {"key", name.second},
          {"value", row.value},
          {"ver", row.version}};
}

auto Page(const Store& store, json::array rows) -> HttpResponse {
  return JsonReply(200, json::object{{"rows", std::move(rows)},
                                     {"has_more", false},
                                     {"ver", store.version},
                                     {"now_ms", 0}});
}

// The changes of a table, in all its parts.
auto Changes(Store& store, const std::string& table, uint64_t after)
    -> json::array {
  std::map<std::pair<uint64_t, std::string>, json::object> found;
  for (const auto& [name, row] : store.tables[table]) {
    if (row.version > after) {
      found[{row.version, name.second}] = ToJson(table, name, row);
    }
  }
  json::array out;
  for (auto& [order, row] : found) {
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

// The rows of one part of a table.
auto Read(Store& store, const HttpRequest& request) -> HttpResponse {
  const auto table = std::string(QueryParameter(request.target, "table"));
  const auto part = QueryParameter(request.target, "part");
  json::array rows;
  for (const auto& [name, row] : store.tables[table]) {
    if (name.first == part) {
      rows.push_back(ToJson(table, name, row));
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
  feed->end = std::make_unique<boost::asio::steady_timer>(
      store.context,
      milliseconds(ToNumber(QueryParameter(request.target, "wait_ms"))));
  auto* raw = feed.get();
  feed->end->async_wait([&store, raw](boost::system::error_code ec) {
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

auto Transact(Store& store, const HttpRequest& request) -> HttpResponse {
  const auto body = standins::JsonBody(request);
  json::array present;
  auto conflict = false;
  for (const auto& it : body.at("expected_rev").as_array()) {
    const auto& expected = it.as_object();
    const auto table = TextOr(expected, "table", "");
    const std::pair name(TextOr(expected, "part", ""),
                         TextOr(expected, "key", ""));
    const auto row = store.tables[table].find(name);
    const auto exists = row != store.tables[table].end();
    conflict |= (exists ? row->second.version : 0) !=
                static_cast<uint64_t>(standins::NumberOr(expected, "ver", 0));
    if (exists) {
      present.push_back(ToJson(table, name, row->second));
    }
  }
  if (conflict) {
    return JsonReply(412, json::object{{"rows", std::move(present)}});
  }
  ++store.version;
  for (const auto& it : body.at("writes").as_array()) {
    const auto& row = it.as_object();
    store.tables[TextOr(row, "table", "")]
                [{TextOr(row, "part", ""), TextOr(row, "key", "")}] =
        StoredRow{.value = TextOr(row, "value", ""), .version = store.version};
  }
  WakeFeeds(store);
  return JsonReply(200, json::object{{"ver", store.version}, {"now_ms", 0}});
}

auto Serve(Store& store, const HttpRequest& request, HttpResponder respond)
    -> void {
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
            const std::string& part,
            const std::string& key,
            const std::string& text) -> void {
  ++store.version;
  store.tables[table][{part, key}] = StoredRow{
      .value = platform::EncodeBase64(text), .version = store.version};
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

}  // namespace boragecroft::review
