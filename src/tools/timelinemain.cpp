#include "base/settings.h"
#include "tools/administration.h"
#include "tools/eventlist.h"

#include <iostream>

namespace {

constexpr int kIncomplete = 1;
constexpr int kUsage = 2;

const std::vector<base::SettingSpec> kTable{
    {"administration", base::SettingType::Text, "", "", 0, 0, true, false,
     "comma-separated addresses of the daemons' administration APIs"}};

} // namespace

int main(int Count, char **Arguments) {
  const base::Settings Values = base::readSettingsOrExit(
      kTable, "jackdaw-timeline: merges the events of several daemons", Count,
      Arguments);
  std::vector<std::string> Errors;
  const auto Daemons =
      tools::parseAddresses(Values.text("administration"), Errors);
  for (const std::string &Error : Errors)
    std::cerr << "error: " << Error << "\n";
  if (!Errors.empty())
    return kUsage;
  const tools::CollectedTimeline Collected = tools::collectTimeline(Daemons);
  for (const base::Event &Event : Collected.Events)
    std::cout << tools::formatEvent(Event) << "\n";
  for (const std::string &Problem : Collected.Problems)
    std::cerr << "error: " << Problem << "\n";
  return Collected.Problems.empty() ? 0 : kIncomplete;
}
