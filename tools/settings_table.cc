// Prints the settings of all programs as Markdown tables.
// scripts/settings-table copies them into docs/OPERATIONS.md.
#include <google/protobuf/message.h>

#include <iostream>

#include "base/settings.h"
#include "wire/settings.pb.h"

int main() {
  const auto print = [](const char* program,
                        const google::protobuf::Message& settings) {
    std::cout << "\n### " << program << "\n\n"
              << mimosa::SettingsTable(settings);
  };
  print("mimosa-router", mimosa::wire::RouterSettings());
  print("mimosa-entry", mimosa::wire::EntrySettings());
  print("mimosactl", mimosa::wire::CtlSettings());
  print("mimosa-load", mimosa::wire::LoadSettings());
  return 0;
}
