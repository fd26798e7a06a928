// An in-memory version of the part of the users' store that entry instances
// use: rows with versions, conditional transactions and change feeds.
#ifndef TESTS_STANDINS_FLEET_STORE_H_
#define TESTS_STANDINS_FLEET_STORE_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "core/http/http_server.h"

namespace boragecroft::standins {

enum class StoreMode { kUp, kRefuses, kNoResponse };

struct StoredRow {
  std::string value;  // base64
  uint64_t version = 0;
  bool deleted = false;
};

// A long-polling feed request that waits for a change to its table.
struct WaitingFeed {
  std::string table;
  uint64_t after = 0;
  HttpResponder respond;
  std::unique_ptr<boost::asio::steady_timer> timer;
};

struct Store {
  explicit Store(boost::asio::io_context& io) : context(io) {}

  boost::asio::io_context& context;
  StoreMode mode = StoreMode::kUp;
  uint64_t version = 0;
  // Rows by table and key. Entry instances do not use the partitions ("part")
  // of a table.
  std::map<std::string, std::map<std::string, StoredRow>> tables;
  std::vector<std::unique_ptr<WaitingFeed>> feeds;
  std::vector<HttpResponder> unanswered;
  uint64_t calls = 0;
  std::unique_ptr<HttpServer> server;
};

// Writes a row as the operator or a worker does. `text` is the plain value; the
// row stores it in base64.
auto PutRow(Store& store,
            const std::string& table,
            const std::string& key,
            const std::string& text) -> void;
auto DropRow(Store& store, const std::string& table, const std::string& key)
    -> void;
auto ListenAsStore(Store& store) -> void;

}  // namespace boragecroft::standins

#endif  // TESTS_STANDINS_FLEET_STORE_H_
