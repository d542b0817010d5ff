#include "config/configuration.h"
#include "config/servicefile.h"
#include "config/tests/examples.h"

#include <doctest/doctest.h>

using namespace config;
using namespace config::examples;

namespace {

Service serviceWithRoutes(const std::string &Routes) {
  const auto Parsed = parseServiceFile(
      "orders.toml", "[backend]\nslots = 1\nconnections = 1\n" + Routes);
  REQUIRE(Parsed.Value);
  return Service(*Parsed.Value);
}

} // namespace

TEST_CASE("a key is accepted only for the workspace that lists its digest") {
  const Service Orders(
      *parseServiceFile("orders.toml", serviceText("secret")).Value);
  const WorkspaceConfig *Found = Orders.workspaceByKey(digestKey("secret"));
  REQUIRE(Found);
  CHECK(Found->Name.str() == "acme");
  CHECK_FALSE(Orders.workspaceByKey(digestKey("Secret")));
  CHECK_FALSE(Orders.workspaceByKey(KeyDigest()));
  CHECK(Orders.workspace(base::WorkspaceName("acme")) == Found);
}

TEST_CASE("digests are BLAKE2b-256 and don't change between versions") {
  // Digest of "abc" as published for BLAKE2b with 32 bytes.
  CHECK(digestKey("abc").str() == "bddd813c634239723171ef3fee98579b"
                                  "94964e3bb1cb3e427262c8c068d52319");
}

TEST_CASE(
    "a route is selected by the longest prefix of whole segments, then by "
    "the method") {
  const Service Orders = serviceWithRoutes("[[route]]\nprefix = \"/\"\n"
                                           "[[route]]\nprefix = \"/pay\"\n"
                                           "[[route]]\nprefix = \"/pay\"\n"
                                           "methods = [\"POST\"]\n"
                                           "[[route]]\nprefix = \"/pay/out\"\n"
                                           "methods = [\"PUT\"]\n");
  const auto &Routes = Orders.config().Routes;
  CHECK(Orders.routeFor("GET", "/") == &Routes[0]);
  CHECK(Orders.routeFor("GET", "/payments") == &Routes[0]);
  CHECK(Orders.routeFor("GET", "/pay?x=/pay/out") == &Routes[1]);
  CHECK(Orders.routeFor("POST", "/pay/x") == &Routes[2]);
  CHECK(Orders.routeFor("PUT", "/pay/out/1") == &Routes[3]);
  CHECK(Orders.routeFor("POST", "/pay/out/1") == &Routes[2]);
  CHECK(Orders.routeFor("GET", "/pay;v=1/x") == &Routes[1]);
}

TEST_CASE("an alternative encoding of a path does not match another route, so "
          "that a route open to all gives no access to the others") {
  const Service Orders = serviceWithRoutes("[[route]]\nprefix = \"/public\"\n"
                                           "open_to_all = true\n"
                                           "[[route]]\nprefix = \"/pay\"\n");
  const auto &Routes = Orders.config().Routes;
  CHECK(Orders.routeFor("GET", "/%70ay") == &Routes[1]);
  CHECK(Orders.routeFor("GET", "/public/a%20b/") == &Routes[0]);
  for (const char *Target :
       {"/public/../pay", "/public/%2e%2e/pay", "/public/..;x/pay",
        "/public/./x", "//public", "/public//x", "/public%2fpay",
        "/public\\..\\pay", "/public/%5c", "/public/%00", "/public/%zz",
        "/public/%2", "public", "", "?", "/public/;/x"}) {
    CAPTURE(Target);
    CHECK_FALSE(Orders.routeFor("GET", Target));
  }
}
