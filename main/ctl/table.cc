#include "main/ctl/table.h"

#include <algorithm>

namespace boragecroft {
namespace {

constexpr auto kColumnGap = "  ";
constexpr unsigned char kFirstPrintable = 0x20;
constexpr unsigned char kDelete = 0x7F;

struct Cell {
  std::string text;
  bool is_number = false;
};

using Row = std::vector<Cell>;

auto Printable(std::string text) -> std::string {
  for (auto& it : text) {
    const auto byte = static_cast<unsigned char>(it);
    if (byte < kFirstPrintable || byte == kDelete) {
      it = '?';
    }
  }
  return text;
}

auto CellOf(const json::value& element, const std::string& column) -> Cell {
  const auto* object = element.if_object();
  const auto* value = object == nullptr ? nullptr : object->if_contains(column);
  if (value == nullptr || value->is_null()) {
    return {.text = "-"};
  }
  if (value->is_string()) {
    return {.text = Printable(std::string(value->get_string()))};
  }
  return {.text = ToJsonText(*value), .is_number = value->is_number()};
}

auto Pad(const Cell& cell, size_t width) -> std::string {
  const std::string space(width - cell.text.size(), ' ');
  return cell.is_number ? space + cell.text : cell.text + space;
}

auto AppendLine(const Row& row,
                const std::vector<size_t>& widths,
                std::string& out) -> void {
  std::string line;
  for (size_t i = 0; i < row.size(); ++i) {
    line += (i == 0 ? "" : kColumnGap) + Pad(row[i], widths[i]);
  }
  line.erase(line.find_last_not_of(' ') + 1);
  out += line + "\n";
}

}  // namespace

auto ToTable(const json::array& list, const std::vector<std::string>& columns)
    -> std::string {
  std::vector<Row> rows(1);
  for (const auto& it : columns) {
    rows.front().push_back({.text = it});
  }
  for (const auto& element : list) {
    Row row;
    for (const auto& it : columns) {
      row.push_back(CellOf(element, it));
    }
    rows.push_back(std::move(row));
  }
  std::vector<size_t> widths(columns.size(), 0);
  for (const auto& row : rows) {
    for (size_t i = 0; i < row.size(); ++i) {
      widths[i] = std::max(widths[i], row[i].text.size());
    }
  }
  std::string out;
  for (const auto& it : rows) {
    AppendLine(it, widths, out);
  }
  return out;
}

}  // namespace boragecroft
