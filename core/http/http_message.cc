#include "core/http/http_message.h"

#include <boost/beast/core/string.hpp>

namespace boragecroft {

auto FindHeader(const HttpHeaders& headers, std::string_view name)
    -> std::string_view {
  for (const auto& it : headers) {
    if (boost::beast::iequals(it.name, name)) {
      return it.value;
    }
  }
  return {};
}

auto TargetPath(std::string_view target) -> std::string_view {
  return target.substr(0, target.find('?'));
}

auto QueryParameter(std::string_view target, std::string_view name)
    -> std::string_view {
  const auto mark = target.find('?');
  auto rest = mark == std::string_view::npos ? std::string_view()
                                             : target.substr(mark + 1);
  while (!rest.empty()) {
    const auto pair = rest.substr(0, rest.find('&'));
    rest = pair.size() == rest.size() ? std::string_view()
                                      : rest.substr(pair.size() + 1);
    const auto equals = pair.find('=');
    if (pair.substr(0, equals) == name) {
      return equals == std::string_view::npos ? std::string_view()
                                              : pair.substr(equals + 1);
    }
  }
  return {};
}

auto PathSegments(std::string_view target) -> std::vector<std::string> {
  std::vector<std::string> segments;
  auto rest = TargetPath(target);
  while (!rest.empty()) {
    const auto segment = rest.substr(0, rest.find('/'));
    if (!segment.empty()) {
      segments.emplace_back(segment);
    }
    rest = segment.size() == rest.size() ? std::string_view()
                                         : rest.substr(segment.size() + 1);
  }
  return segments;
}

}  // namespace boragecroft
