// Formats lists of JSON objects as aligned text.
#ifndef MAIN_CTL_TABLE_H_
#define MAIN_CTL_TABLE_H_

#include <string>
#include <vector>

#include "core/json/text.h"

namespace boragecroft {

// Returns a line of column names, followed by one line for each object of
// `list`. A missing member is shown as "-" and a control character as "?";
// numbers are aligned to the right.
auto ToTable(const json::array& list, const std::vector<std::string>& columns)
    -> std::string;

}  // namespace boragecroft

#endif  // MAIN_CTL_TABLE_H_
