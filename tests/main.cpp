#define DOCTEST_CONFIG_IMPLEMENT
#include <doctest/doctest.h>

#include <cstdlib>

/// Runs all tests except those that are known to fail: `JACKDAW_KNOWN_RED`
/// lists their names, separated by commas. `scripts/test` sets it from
/// KNOWN-RED.txt.
int main(int Count, char **Arguments) {
  doctest::Context Tests;
  Tests.applyCommandLine(Count, Arguments);
  if (const char *KnownRed = std::getenv("JACKDAW_KNOWN_RED"))
    Tests.addFilter("test-case-exclude", KnownRed);
  return Tests.run();
}
