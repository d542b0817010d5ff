#include "base/settings.h"
#include "measure.h"

#include <cstdio>
#include <map>

namespace {

const std::map<std::string, void (*)()> kParts{
    {"configuration", capacity::measureConfiguration},
    {"execution", capacity::measureExecutions},
    {"idempotency", capacity::measureIdempotency},
    {"membership", capacity::measureMembership},
    {"ownership", capacity::measureOwnership},
    {"ratelimit", capacity::measureRateLimits}};

const std::vector<base::SettingSpec> kTable{
    {"part", base::SettingType::Text, "", "all", 0, 0, false, false,
     "all, configuration, execution, idempotency, membership, ownership or "
     "ratelimit"}};

} // namespace

int main(int Count, char **Arguments) {
  const base::Settings Values = base::readSettingsOrExit(
      kTable, "measures CPU time, memory and message sizes by module and size",
      Count, Arguments);
  const std::string &Chosen = Values.text("part");
  bool Found = false;
  for (const auto &[Name, Measure] : kParts) {
    if (Chosen != "all" && Chosen != Name)
      continue;
    Found = true;
    Measure();
  }
  if (!Found)
    std::fprintf(stderr, "error: --part: '%s' is not a part\n", Chosen.c_str());
  return Found ? 0 : 2;
}
