#define DOCTEST_CONFIG_IMPLEMENT
#include <doctest/doctest.h>

#include <cstdlib>

/// Runs all tests except those listed, comma-separated, in `JACKDAW_KNOWN_RED`,
/// which the test script sets from KNOWN-RED.txt.
int main(int Count, char **Arguments) {
  doctest::Context Tests;
  Tests.applyCommandLine(Count, Arguments);
  if (const char *KnownRed = std::getenv("JACKDAW_KNOWN_RED"))
    Tests.addFilter("test-case-exclude", KnownRed);
  return Tests.run();
}
