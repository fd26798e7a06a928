// A stand-in for the part of the users' store that entry instances use: rows in
// tables and parts, conditional transactions, and feeds of a table's changes.
#ifndef REVIEW_LAB_3_STORE_H_
#define REVIEW_LAB_3_STORE_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "core/http/http_server.h"

namespace boragecroft::review {

struct StoredRow {
  std::string value;  // base64
  uint64_t version = 0;
};

// A request for changes that waits for one.
struct WaitingFeed {
  std::string table;
  uint64_t after = 0;
  HttpResponder respond;
  std::unique_ptr<boost::asio::steady_timer> end;
};

struct Store {
  explicit Store(boost::asio::io_context& io) : context(io) {}

  boost::asio::io_context& context;
  uint64_t version = 0;
  // Rows by part and key, by table.
  std::map<std::string,
           std::map<std::pair<std::string, std::string>, StoredRow>>
      tables;
  std::vector<std::unique_ptr<WaitingFeed>> feeds;
  std::unique_ptr<HttpServer> server;
};

// Writes a row as the operator or a worker does. `text` is the plain value.
auto PutRow(Store& store,
            const std::string& table,
            const std::string& part,
            const std::string& key,
            const std::string& text) -> void;
auto ListenAsStore(Store& store) -> void;

}  // namespace boragecroft::review

#endif  // REVIEW_LAB_3_STORE_H_
