#include "config/fleetpolicy.h"

#include <doctest/doctest.h>

namespace {

config::HostRoute makeRoute(std::string Host, std::string Prefix) {
  config::HostRoute Route;
  Route.Name = Host + Prefix;
  Route.Host = std::move(Host);
  Route.Prefix = std::move(Prefix);
  return Route;
}

} // namespace

// Guards against a request that is assigned the route of a shorter prefix.
TEST_CASE(
    "the route with the longest matching prefix of the host is selected") {
  config::FleetPolicyContent Content;
  Content.Routes = {makeRoute("a.example", "/x/"),
                    makeRoute("a.example", "/x/y/"),
                    makeRoute("b.example", "/")};
  const config::FleetPolicy Policy(Content);
  CHECK(Policy.route("a.example", "/x/y/z")->Prefix == "/x/y/");
  CHECK(Policy.route("A.example:80", "/x/yy")->Prefix == "/x/");
  CHECK(Policy.route("a.example", "/x") == nullptr);
  CHECK(Policy.route("a.example", "/") == nullptr);
  CHECK(Policy.route("b.example", "/any/path")->Prefix == "/");
  CHECK(Policy.route("c.example", "/x/") == nullptr);
  CHECK(Policy.route("a.example", "") == nullptr);
}

// Guards against a removed key that still identifies a workspace.
TEST_CASE("a key identifies the workspace that lists its digest") {
  config::FleetPolicyContent Content;
  config::WorkspacePolicy Workspace;
  Workspace.Name = base::WorkspaceName("w");
  Workspace.KeyDigests = {config::digestKey("secret")};
  Content.Workspaces = {Workspace};
  const config::FleetPolicy Policy(Content);
  CHECK(Policy.workspaceByKey(config::digestKey("secret"))->Name.str() == "w");
  CHECK(Policy.workspaceByKey(config::digestKey("other")) == nullptr);
  CHECK(Policy.workspace(Workspace.Name)->Name.str() == "w");
  CHECK(Policy.workspace(base::WorkspaceName("v")) == nullptr);
}
