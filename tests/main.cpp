#define DOCTEST_CONFIG_IMPLEMENT
#include <doctest/doctest.h>

#include <cstdlib>

/// Runs the tests without those that `JACKDAW_KNOWN_RED` lists, separated by
/// commas; the test script sets it from KNOWN-RED.txt.
int main(int Count, char **Arguments) {
  doctest::Context Tests;
  Tests.applyCommandLine(Count, Arguments);
  if (const char *KnownRed = std::getenv("JACKDAW_KNOWN_RED"))
    Tests.addFilter("test-case-exclude", KnownRed);
  return Tests.run();
}
