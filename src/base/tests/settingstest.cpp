#include "base/settings.h"

#include <doctest/doctest.h>

#include <cstdlib>

namespace {

using base::SettingType;

std::vector<base::SettingSpec> makeTable() {
  return {{"log-url", SettingType::Text, "", "", 0, 0, true, false, "log"},
          {"queue", SettingType::Number, "ms", "100", 1, 1000, false, false,
           "longest wait"},
          {"fleet-secret", SettingType::Text, "", "", 0, 0, true, true,
           "shared secret"},
          {"quiet", SettingType::Flag, "", "", 0, 0, false, false, "no log"}};
}

} // namespace

TEST_CASE(
    "flags take precedence over the environment, and the environment over "
    "defaults") {
  setenv("JACKDAW_FLEET_SECRET", "s", 1);
  setenv("JACKDAW_QUEUE", "7", 1);
  setenv("JACKDAW_LOG_URL", "from-environment", 1);
  const auto Result = base::readSettings(makeTable(), "test",
                                         {"program", "--log-url", "from-flag"});
  unsetenv("JACKDAW_QUEUE");
  unsetenv("JACKDAW_LOG_URL");
  unsetenv("JACKDAW_FLEET_SECRET");
  REQUIRE(Result.Errors.empty());
  CHECK(Result.Values.text("log-url") == "from-flag");
  CHECK(Result.Values.number("queue") == 7);
  CHECK(Result.Values.text("fleet-secret") == "s");
  CHECK_FALSE(Result.Values.flag("quiet"));
}

TEST_CASE(
    "all invalid values are reported at once, and an unknown flag by name") {
  const auto Bad =
      base::readSettings(makeTable(), "test", {"program", "--queue", "2000"});
  CHECK(Bad.Errors.size() == 3);
  const auto Text = base::readSettings(
      makeTable(), "test", {"program", "--log-url", "x", "--queue", "1x"});
  CHECK(Text.Errors.size() == 2);
  const auto Unknown =
      base::readSettings(makeTable(), "test", {"program", "--no-such"});
  REQUIRE(Unknown.Errors.size() == 1);
  CHECK(Unknown.Errors[0].find("--no-such") != std::string::npos);
  const auto Secret = base::readSettings(
      makeTable(), "test", {"program", "--fleet-secret", "visible"});
  CHECK_FALSE(Secret.Errors.empty());
}
