#include "publish/files.h"
#include "config/tests/examples.h"

#include <doctest/doctest.h>

using namespace publish;
using config::examples::fleetText;
using config::examples::serviceText;

TEST_CASE("the errors in all files are reported together") {
  const auto Errors = checkFiles(
      {{"a.toml", "x = 1"}, {"b.toml", serviceText()}, {"c.toml", "= 1"}});
  CHECK(Errors.size() == 4);
  CHECK(Errors.front().File == "a.toml");
  CHECK(Errors.back().str().starts_with("c.toml:1: syntax error"));
}

TEST_CASE("a record data centre that fleet.toml does not list is reported "
          "before publication") {
  std::string Text = serviceText();
  Text.insert(Text.find("rate"), "record_data_centre = \"dc9\"\n");
  const auto Errors =
      checkFiles({{"fleet.toml", fleetText()}, {"orders.toml", Text}});
  REQUIRE(Errors.size() == 1);
  CHECK(Errors[0].File == "orders.toml");
  CHECK(Errors[0].Line == 8);
  CHECK(checkFiles({{"orders.toml", Text}}).empty());
}

TEST_CASE("the difference of one changed section contains all changed lines "
          "and no others") {
  CHECK(lineDifference("a\nb\nc\n", "a\nx\ny\nc\n") == "- b\n+ x\n+ y\n");
  CHECK(lineDifference("a\na\n", "a\n") == "- a\n");
  CHECK(lineDifference("", "a\n") == "+ a\n");
  CHECK(lineDifference("a\n", "a\n").empty());
}
