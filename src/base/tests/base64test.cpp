#include "base/base64.h"

#include <doctest/doctest.h>

// Guards against bytes that are altered by the store's text format.
TEST_CASE("base64 round-trips all bytes and rejects other text") {
  std::string Bytes;
  for (int Value = 0; Value < 256; ++Value) {
    Bytes += static_cast<char>(Value);
    CHECK(base::fromBase64(base::toBase64(Bytes)) == Bytes);
  }
  CHECK(base::toBase64("ab") == "YWI=");
  CHECK(base::fromBase64("") == "");
  CHECK(!base::fromBase64("YWI"));
  CHECK(!base::fromBase64("Y*I="));
}
