// The table of all settings for the operators' reference page.
#ifndef MAIN_SETTINGS_SETTINGS_REFERENCE_H_
#define MAIN_SETTINGS_SETTINGS_REFERENCE_H_

#include <string>

namespace boragecroft {

// A Markdown table with one line for each key: what it means, what is allowed
// and what holds when it is absent.
auto SettingsReference() -> std::string;

}  // namespace boragecroft

#endif  // MAIN_SETTINGS_SETTINGS_REFERENCE_H_
