#include "base/address.h"
#include "base/settings.h"
#include "tools/administration.h"

#include <algorithm>
#include <iostream>

namespace {

using base::SettingType;

// Exit statuses.
constexpr int kUnreadable = 1;
constexpr int kUsage = 2;

const std::vector<base::SettingSpec> kSettings{
    {"administration", SettingType::Text, "", "", 0, 0, true, false,
     "address of a daemon's administration API, as in 10.0.0.7:7200"},
    {"page", SettingType::Text, "", "status", 0, 0, false, false,
     "status, members, shards, configuration, refusals, events or metrics"}};

} // namespace

int main(int Count, char **Arguments) {
  const base::Settings Values = base::readSettingsOrExit(
      kSettings, "jackdaw-ctl: prints a page of a daemon's administration API",
      Count, Arguments);
  const auto Daemon = base::parseEndpoint(Values.text("administration"));
  const std::string &Name = Values.text("page");
  const auto &Names = tools::pageNames();
  const bool Known = std::find(Names.begin(), Names.end(), Name) != Names.end();
  if (!Daemon)
    std::cerr << "error: --administration: '" << Values.text("administration")
              << "' is not an IPv4 address and port, as in 10.0.0.7:7200\n";
  if (!Known)
    std::cerr << "error: --page: '" << Name << "' is not the name of a page\n";
  if (!Daemon || !Known)
    return kUsage;
  const tools::Page Received = tools::fetchPage(*Daemon, Name);
  if (!Received.Body) {
    std::cerr << "error: " << Daemon->str() << ": " << Received.Error << "\n";
    return kUnreadable;
  }
  std::cout << *Received.Body;
  if (!Received.Body->ends_with('\n'))
    std::cout << "\n";
  return 0;
}
