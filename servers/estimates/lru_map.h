// Implements a map of bounded size that evicts the least recently used entry.
#ifndef SERVERS_ESTIMATES_LRU_MAP_H_
#define SERVERS_ESTIMATES_LRU_MAP_H_

#include <cstddef>
#include <list>
#include <unordered_map>
#include <utility>

namespace boragecroft {

template <class Key, class Value>
class LruMap {
 public:
  explicit LruMap(size_t capacity) : capacity_(capacity) {}

  // Returns the value of `key`, which is created if absent, and marks it as the
  // most recently used. The reference is valid until the next call of Touch.
  auto Touch(const Key& key) -> Value& {
    const auto it = index_.find(key);
    if (it != index_.end()) {
      entries_.splice(entries_.begin(), entries_, it->second);
      return it->second->second;
    }
    if (entries_.size() >= capacity_) {
      index_.erase(entries_.back().first);
      entries_.pop_back();
    }
    entries_.emplace_front(key, Value{});
    index_.emplace(key, entries_.begin());
    return entries_.front().second;
  }

  // Returns the value of `key`, or null. The order of use is not changed.
  auto Find(const Key& key) const -> const Value* {
    const auto it = index_.find(key);
    return it == index_.end() ? nullptr : &it->second->second;
  }

  auto Find(const Key& key) -> Value* {
    const auto it = index_.find(key);
    return it == index_.end() ? nullptr : &it->second->second;
  }

  auto Size() const -> size_t { return entries_.size(); }

 private:
  using Entries = std::list<std::pair<Key, Value>>;

  size_t capacity_;
  Entries entries_;  // most recently used first
  std::unordered_map<Key, typename Entries::iterator> index_;
};

}  // namespace boragecroft

#endif  // SERVERS_ESTIMATES_LRU_MAP_H_
