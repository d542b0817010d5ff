#include "config/fleetpolicy.h"

#include <algorithm>
#include <cctype>
#include <utility>

namespace config {

namespace {

/// `Host` in lower case and without its port.
std::string normalizeHost(std::string_view Host) {
  std::string Key(Host.substr(0, Host.find(':')));
  std::transform(Key.begin(), Key.end(), Key.begin(), [](unsigned char C) {
    return static_cast<char>(std::tolower(C));
  });
  return Key;
}

} // namespace

FleetPolicy::FleetPolicy(FleetPolicyContent NewContent)
    : Content(std::move(NewContent)) {
  for (std::size_t Index = 0; Index < Content.Routes.size(); ++Index) {
    const HostRoute &Each = Content.Routes[Index];
    ByHost[normalizeHost(Each.Host)].emplace(Each.Prefix, Index);
  }
  for (std::size_t Index = 0; Index < Content.Workspaces.size(); ++Index) {
    const WorkspacePolicy &Each = Content.Workspaces[Index];
    if (!Each.Unusable)
      ByName.emplace(Each.Name, Index);
    for (const KeyDigest &Digest : Each.KeyDigests)
      ByKey.emplace(Digest, Index);
  }
}

const HostRoute *FleetPolicy::route(std::string_view Host,
                                    std::string_view Path) const {
  const auto Found = ByHost.find(normalizeHost(Host));
  if (Found == ByHost.end())
    return nullptr;
  // Prefixes end with a slash, so only the parts of the path up to a slash can
  // match. They are looked up from the longest to the shortest.
  for (std::size_t Slash = Path.rfind('/'); Slash != std::string_view::npos;
       Slash = Path.rfind('/', Slash - 1)) {
    const auto Match =
        Found->second.find(std::string(Path.substr(0, Slash + 1)));
    if (Match != Found->second.end())
      return &Content.Routes[Match->second];
    if (Slash == 0)
      break;
  }
  return nullptr;
}

const WorkspacePolicy *
FleetPolicy::workspaceByKey(const KeyDigest &Digest) const {
  const auto Found = ByKey.find(Digest);
  return Found == ByKey.end() ? nullptr : &Content.Workspaces[Found->second];
}

const WorkspacePolicy *
FleetPolicy::workspace(const base::WorkspaceName &Name) const {
  const auto Found = ByName.find(Name);
  return Found == ByName.end() ? nullptr : &Content.Workspaces[Found->second];
}

base::PriorityClass priorityClassFor(std::uint32_t Priority) {
  if (Priority == 0)
    return base::PriorityClass::Critical;
  return Priority == 1 ? base::PriorityClass::Normal
                       : base::PriorityClass::Background;
}

} // namespace config
