#include "base/settings.h"
#include "tools/administration.h"
#include "tools/eventlist.h"

#include <iostream>

namespace {

// Exit statuses.
constexpr int kIncomplete = 1;
constexpr int kUsage = 2;

const std::vector<base::SettingSpec> kSettings{
    {"administration", base::SettingType::Text, "", "", 0, 0, true, false,
     "comma-separated addresses of the daemons' administration APIs"}};

} // namespace

int main(int Count, char **Arguments) {
  const base::Settings Values = base::readSettingsOrExit(
      kSettings, "jackdaw-timeline: merges the events of several daemons",
      Count, Arguments);
  std::vector<std::string> AddressErrors;
  const auto Daemons =
      tools::parseEndpoints(Values.text("administration"), AddressErrors);
  for (const std::string &Error : AddressErrors)
    std::cerr << "error: " << Error << "\n";
  if (!AddressErrors.empty())
    return kUsage;
  const tools::CollectedTimeline Collected = tools::collectTimeline(Daemons);
  for (const base::Event &Event : Collected.Events)
    std::cout << tools::formatEvent(Event) << "\n";
  for (const std::string &Message : Collected.Errors)
    std::cerr << "error: " << Message << "\n";
  return Collected.Errors.empty() ? 0 : kIncomplete;
}
