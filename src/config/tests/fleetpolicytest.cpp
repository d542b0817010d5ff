#include "config/fleetpolicy.h"

#include <doctest/doctest.h>

namespace {

config::HostRoute route(std::string Host, std::string Prefix) {
  config::HostRoute Made;
  Made.Name = Host + Prefix;
  Made.Host = std::move(Host);
  Made.Prefix = std::move(Prefix);
  return Made;
}

} // namespace

// Guards against a request that takes the route of a shorter prefix.
TEST_CASE("the longest prefix of the host wins") {
  config::FleetPolicyContent Content;
  Content.Routes = {route("a.example", "/x/"), route("a.example", "/x/y/"),
                    route("b.example", "/")};
  const config::FleetPolicy Policy(Content);
  CHECK(Policy.route("a.example", "/x/y/z")->Prefix == "/x/y/");
  CHECK(Policy.route("A.example:80", "/x/yy")->Prefix == "/x/");
  CHECK(Policy.route("a.example", "/x") == nullptr);
  CHECK(Policy.route("a.example", "/") == nullptr);
  CHECK(Policy.route("b.example", "/any/path")->Prefix == "/");
  CHECK(Policy.route("c.example", "/x/") == nullptr);
  CHECK(Policy.route("a.example", "") == nullptr);
}

// Guards against a removed key that still names a workspace.
TEST_CASE("a key names the workspace that lists its digest") {
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
