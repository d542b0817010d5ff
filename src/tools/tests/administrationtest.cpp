#include "tools/administration.h"
#include "base/address.h"

#include <doctest/doctest.h>

TEST_CASE("a malformed address is rejected and never reaches another host") {
  CHECK(base::parseEndpoint("10.0.0.7:7200") ==
        base::Endpoint{"10.0.0.7", 7200});
  for (const char *Text : {"", "10.0.0.7", "10.0.0.7:", "10.0.0.7:0",
                           "10.0.0.7:65536", "10.0.0.7:1x", "host:1", ":1"})
    CHECK_MESSAGE(!base::parseEndpoint(Text), Text);
}

TEST_CASE("each malformed entry of a list is reported, so that no daemon is "
          "omitted silently") {
  std::vector<std::string> Errors;
  const auto Found = tools::parseEndpoints("1.2.3.4:5,x,6.7.8.9:1,", Errors);
  CHECK(Found.size() == 2);
  CHECK(Errors.size() == 1);
  Errors.clear();
  CHECK(tools::parseEndpoints("", Errors).empty());
  CHECK(Errors.size() == 1);
}
