#include "base/errors.h"

#include <doctest/doctest.h>

#include <set>

TEST_CASE("every error kind has its own row, so no answer falls back to "
          "internal") {
  std::set<std::string_view> Names;
  const int Last = static_cast<int>(base::ErrorKind::Internal);
  for (int Value = 0; Value <= Last; ++Value) {
    const auto Kind = static_cast<base::ErrorKind>(Value);
    const base::ErrorAnswer &Answer = base::answerFor(Kind);
    CHECK(Answer.Kind == Kind);
    CHECK(Answer.Status >= 400);
    CHECK(Names.insert(Answer.Name).second);
    CHECK(base::errorKindFromName(Answer.Name) == Kind);
  }
  CHECK_FALSE(base::errorKindFromName("no such kind"));
}
