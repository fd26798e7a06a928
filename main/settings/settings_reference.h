// Generates the table of all settings for the operators' reference page.
#ifndef MAIN_SETTINGS_SETTINGS_REFERENCE_H_
#define MAIN_SETTINGS_SETTINGS_REFERENCE_H_

#include <string>

namespace boragecroft {

// Returns a Markdown table with one line for each key: the allowed values, the
// default that applies when the key is absent, and the meaning.
auto SettingsReference() -> std::string;

}  // namespace boragecroft

#endif  // MAIN_SETTINGS_SETTINGS_REFERENCE_H_
