#include "node/credentials.h"

#include <doctest/doctest.h>

namespace {

const std::string kKey = "key-of-flanders";

bool contains(const http::Request &Received, const std::string &Text) {
  bool Found = Received.Query.find(Text) != std::string::npos;
  for (const http::Header &Each : Received.Headers)
    Found = Found || Each.Name.find(Text) != std::string::npos ||
            Each.Value.find(Text) != std::string::npos;
  return Found;
}

} // namespace

TEST_CASE(
    "a key is extracted and removed from every spelling of its header and "
    "from the query") {
  const std::vector<http::Request> Spellings{
      {"GET", "/", "", {{"Jackdaw-Key", kKey}}, ""},
      {"GET", "/", "", {{"JACKDAW-KEY", kKey}}, ""},
      {"GET", "/", "", {{"jackdaw_key", kKey}}, ""},
      {"GET", "/", "", {{"Authorization", "Bearer " + kKey}}, ""},
      {"GET", "/", "", {{"authorization", "bEARER   " + kKey}}, ""},
      {"GET", "/", "jackdaw_key=" + kKey, {}, ""},
      {"GET", "/", "a=1&jackdaw%5Fkey=key%2Dof-flanders&b=2", {}, ""},
  };
  for (http::Request Received : Spellings) {
    const auto Found = node::extractCredentials(Received);
    REQUIRE(Found.Keys.size() == 1);
    CHECK(Found.Keys.front() == kKey);
    CHECK_FALSE(contains(Received, "flanders"));
  }
}

TEST_CASE("headers and parameters that contain a copy of the key are removed, "
          "others are kept") {
  http::Request Received{
      "GET",
      "/",
      "page=2&token=" + kKey + "&sort=asc",
      {{"Jackdaw-Key", kKey}, {"Cookie", "session=" + kKey}, {"X-Order", "17"}},
      ""};
  node::extractCredentials(Received);
  CHECK(Received.Query == "page=2&sort=asc");
  REQUIRE(Received.Headers.size() == 1);
  CHECK(Received.Headers.front().Name == "X-Order");
}

TEST_CASE("reserved headers of a caller aren't forwarded to the backend "
          "server") {
  http::Request Received{
      "GET", "/", "", {{"Jackdaw-Handle", "x"}, {"Jackdaw-Outcome", "y"}}, ""};
  const auto Found = node::extractCredentials(Received);
  CHECK(Found.Handle == "x");
  CHECK(Received.Headers.empty());
}

TEST_CASE("all different keys of a request are extracted, so that it can be "
          "refused") {
  http::Request Received{"GET",
                         "/",
                         "jackdaw_key=other-key",
                         {{"Jackdaw-Key", kKey}, {"jackdaw-key", kKey}},
                         ""};
  CHECK(node::extractCredentials(Received).Keys.size() == 2);
}
