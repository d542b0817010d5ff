#include "config/servicefile.h"
#include "config/settings.h"
#include "config/tests/examples.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <random>

using namespace config;
using namespace config::examples;

namespace {

/// Whether one of the errors is on `Line` and contains `Part`.
bool reports(const std::vector<FileError> &Errors, std::uint32_t Line,
             const std::string &Part) {
  return std::any_of(Errors.begin(), Errors.end(), [&](const FileError &Error) {
    return Error.Line == Line && Error.Text.find(Part) != std::string::npos;
  });
}

} // namespace

TEST_CASE("a valid file is parsed with the defaults of the settings table") {
  const auto Parsed = parseServiceFile("orders.toml", serviceText());
  REQUIRE(Parsed.Value);
  CHECK(Parsed.Value->Name.str() == "orders");
  CHECK(Parsed.Value->Backend.Slots == 90);
  CHECK(Parsed.Value->Backend.MaxQueueTime.count() == 100);
  CHECK(Parsed.Value->Backend.BodyLimitBytes == 1048576);
  CHECK(Parsed.Value->Workspaces.front().Burst == 20.5);
  CHECK(Parsed.Value->Workspaces.front().KeyDigests.front() ==
        digestKey("key-of-acme"));
  const RouteConfig &Route = Parsed.Value->Routes.front();
  CHECK(Route.Priority == base::PriorityClass::Normal);
  CHECK(Route.ResponseTimeout == Route.Deadline);
  CHECK_FALSE(Route.OpenToAll);
}

TEST_CASE("all errors in a file are reported at once with their lines, so that "
          "an operator can correct them together") {
  const auto Parsed = parseServiceFile("orders.toml", R"([backend]
slots = 0
connections = "many"
slot = 3

[[workspace]]
name = "a b"
key_digests = ["ABC"]
rate = -1
isolated = "maybe"

[[route]]
prefix = "/x/../y"
methods = ["get"]
priority = "high"
open_to_all = 1

[colour]
)");
  CHECK_FALSE(Parsed.Value);
  const auto &Errors = Parsed.Errors;
  CHECK(reports(Errors, 2, "slots"));
  CHECK(reports(Errors, 3, "connections"));
  CHECK(reports(Errors, 4, "unknown setting \"slot\""));
  CHECK(reports(Errors, 6, "\"burst\" is required"));
  CHECK(reports(Errors, 7, "name"));
  CHECK(reports(Errors, 8, "key_digests"));
  CHECK(reports(Errors, 9, "rate"));
  CHECK(reports(Errors, 10, "isolated"));
  CHECK(reports(Errors, 13, "prefix"));
  CHECK(reports(Errors, 14, "methods"));
  CHECK(reports(Errors, 15, "priority"));
  CHECK(reports(Errors, 16, "open_to_all"));
  CHECK(reports(Errors, 18, "colour"));
  CHECK(Errors.size() == 13);
  CHECK(Errors.front().str().starts_with("orders.toml:2: \"slots\" must be"));
}

TEST_CASE("duplicate workspaces, digests and routes are errors, because a "
          "lookup would silently use one of them") {
  std::string Text = serviceText();
  Text += "methods = [\"GET\"]\n[[route]]\nprefix = \"/\"\n"
          "methods = [\"PUT\", \"GET\"]\n";
  const std::string Workspace = serviceText();
  const auto Start = Workspace.find("[[workspace]]");
  Text += Workspace.substr(Start, Workspace.find("[[route]]") - Start);
  const auto Errors = checkFile("orders.toml", Text);
  CHECK(reports(Errors, 15, "route GET /"));
  CHECK(reports(Errors, 18, "workspace acme"));
  CHECK(reports(Errors, 19, "key digest"));
  CHECK(Errors.size() == 3);
}

TEST_CASE("a file with an invalid name, size, syntax or nesting depth is "
          "rejected") {
  CHECK(parseServiceFile("a/b.toml", serviceText()).Errors.size() == 1);
  CHECK(parseServiceFile("-.toml", serviceText()).Errors.size() == 1);
  CHECK(parseServiceFile("x.json", serviceText()).Errors.size() == 1);
  CHECK_FALSE(checkFile("x.toml", std::string(kMaxFileBytes + 1, '#')).empty());
  CHECK(reports(checkFile("x.toml", "\nslots = = 1"), 2, "syntax error"));
  std::string Deep = "a";
  for (int Index = 0; Index < 100000; ++Index)
    Deep += ".a";
  CHECK(reports(checkFile("x.toml", Deep + " = 1"), 1, "dots"));
  CHECK(reports(checkFile("x.toml", ""), 0, "[backend] is required"));
}

TEST_CASE("characters outside ASCII are allowed in comments and errors "
          "elsewhere, where toml++ has undefined behaviour") {
  CHECK(checkFile("x.toml", "\xef\xbb\xbf# \xc3\xa9\xff\n" + serviceText())
            .empty());
  CHECK(reports(checkFile("x.toml", "[\xc3\xa9]\n"), 1, "syntax error"));
  std::string Text = serviceText();
  Text.replace(Text.find("acme"), 4, "acm\xc3\xa9");
  CHECK(reports(checkFile("x.toml", Text), 6, "\"name\" must be"));
}

TEST_CASE("the fleet file must list each data centre only once") {
  const auto Parsed = parseFleetFile("fleet.toml", fleetText());
  REQUIRE(Parsed.Value);
  CHECK(Parsed.Value->SlicesPerDataCentre == 2);
  CHECK(Parsed.Value->RetryAllowance == 3);
  CHECK(Parsed.Value->DataCentres.front().Region.str() == "north");
  const std::string Twice =
      fleetText() + "[[data_centre]]\nname = \"dc1\"\nregion = \"south\"\n";
  CHECK(reports(checkFile("fleet.toml", Twice), 8, "data centre dc1"));
  CHECK(reports(checkFile("fleet.toml", "[fleet]\n"), 0, "data_centre"));
}

TEST_CASE("every setting is documented and its default is valid") {
  for (const Setting &Row : settingsTable()) {
    CAPTURE(Row.Key);
    CHECK_FALSE(Row.ErrorText.empty());
    CHECK_FALSE(Row.Purpose.empty());
    CHECK(settingsDocument().find(Row.Purpose) != std::string::npos);
    if (Row.Type == SettingType::Integer && !Row.Default.empty()) {
      const double Default = std::stod(std::string(Row.Default));
      CHECK(Default >= Row.Min);
      CHECK(Default <= Row.Max);
    }
  }
}

TEST_CASE("the parser doesn't crash on random modifications of valid files and "
          "returns either a value or errors") {
  std::mt19937 Random(20260102);
  const std::string Pieces[] = {
      "[", "]",     "[[", "\"",   "\n", "=",   "{",           "}",
      ".", "1e999", "-",  "\xff", "0x", "nan", "[[route]]\n", "rate = 1\n"};
  std::size_t Valid = 0;
  for (int Round = 0; Round < 20000; ++Round) {
    const bool Fleet = Round % 4 == 0;
    std::string Text = Fleet ? fleetText() : serviceText();
    for (unsigned Change = Random() % 4 + 1; Change > 0; --Change) {
      const std::size_t At = Random() % Text.size();
      if (Random() % 2 == 0)
        Text[At] = static_cast<char>(Random() % (Round % 2 == 0 ? 256 : 128));
      else
        Text.insert(At, Pieces[Random() % std::size(Pieces)]);
    }
    if (Fleet) {
      const auto Parsed = parseFleetFile("fleet.toml", Text);
      CHECK(Parsed.Value.has_value() == Parsed.Errors.empty());
    } else {
      const auto Parsed = parseServiceFile("orders.toml", Text);
      CHECK(Parsed.Value.has_value() == Parsed.Errors.empty());
      Valid += Parsed.Value ? 1 : 0;
    }
  }
  CHECK(Valid > 100);
}
