// The simulated platform's transactional table, in memory, with a replica that
// lags behind it.
#ifndef TESTS_STANDINS_PLATFORM_TABLE_H_
#define TESTS_STANDINS_PLATFORM_TABLE_H_

#include <boost/json/object.hpp>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace boragecroft::standins {

struct Row {
  uint64_t version = 0;
  std::string value;
};

struct Table {
  std::map<std::string, Row> rows;
  std::map<std::string, Row> replica;  // serves stale reads
  uint64_t writes = 0;
  uint64_t reads = 0;
};

// The result of a transaction of docs/PLATFORM.md; `status` is the status of
// the HTTP answer.
struct TransactAnswer {
  int status = 200;
  boost::json::object body;
};

auto Transact(Table& table, const boost::json::object& transaction)
    -> TransactAnswer;
auto ReadRowJson(const std::map<std::string, Row>& rows, const std::string& key)
    -> boost::json::object;
auto ScanJson(const Table& table,
              const std::string& prefix,
              const std::string& after,
              size_t limit) -> boost::json::object;

}  // namespace boragecroft::standins

#endif  // TESTS_STANDINS_PLATFORM_TABLE_H_
