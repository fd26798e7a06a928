// Prints lists of JSON objects as aligned text.
#ifndef MAIN_CTL_TABLE_H_
#define MAIN_CTL_TABLE_H_

#include <string>
#include <vector>

#include "core/json/text.h"

namespace boragecroft {

// One line for each object of `list` below a line of column names. A missing
// member shows as "-"; numbers are aligned to the right. Control characters
// show as "?".
auto ToTable(const json::array& list, const std::vector<std::string>& columns)
    -> std::string;

}  // namespace boragecroft

#endif  // MAIN_CTL_TABLE_H_
