#include "config/configuration.h"

#include <algorithm>
#include <numeric>

namespace config {

namespace {

std::optional<int> hexDigit(char Digit) {
  if (Digit >= '0' && Digit <= '9')
    return Digit - '0';
  if (Digit >= 'a' && Digit <= 'f')
    return Digit - 'a' + 10;
  if (Digit >= 'A' && Digit <= 'F')
    return Digit - 'A' + 10;
  return std::nullopt;
}

/// Decodes `%XX` escapes. Returns no value for malformed escapes and for
/// encoded slashes.
std::optional<std::string> decodeEscapes(std::string_view Path) {
  std::string Decoded;
  Decoded.reserve(Path.size());
  for (std::size_t At = 0; At < Path.size(); ++At) {
    if (Path[At] != '%') {
      Decoded.push_back(Path[At]);
      continue;
    }
    if (At + 2 >= Path.size())
      return std::nullopt;
    const auto High = hexDigit(Path[At + 1]);
    const auto Low = hexDigit(Path[At + 2]);
    if (!High || !Low)
      return std::nullopt;
    const char Byte = static_cast<char>(*High * 16 + *Low);
    if (Byte == '/')
      return std::nullopt;
    Decoded.push_back(Byte);
    At += 2;
  }
  return Decoded;
}

bool hasUnsafeByte(std::string_view Path) {
  return std::any_of(Path.begin(), Path.end(), [](char Byte) {
    const auto Code = static_cast<unsigned char>(Byte);
    return Code < 0x20 || Code == 0x7f || Byte == '\\';
  });
}

/// Whether a segment is empty or a dot segment. Path parameters (`;x`) are
/// ignored, because some servers remove them before they resolve dot segments.
bool isUnsafeSegment(std::string_view Segment, bool Last) {
  const std::string_view Name = Segment.substr(0, Segment.find(';'));
  if (Name == "." || Name == "..")
    return true;
  return Name.empty() && !(Last && Segment.empty());
}

bool hasUnsafeSegment(std::string_view Path) {
  std::size_t Start = 1;
  while (true) {
    const std::size_t End = Path.find('/', Start);
    const bool Last = End == std::string_view::npos;
    if (isUnsafeSegment(Path.substr(Start, Last ? End : End - Start), Last))
      return true;
    if (Last)
      return false;
    Start = End + 1;
  }
}

bool matchesPrefix(std::string_view Path, std::string_view Prefix) {
  if (Prefix == "/")
    return true;
  if (!Path.starts_with(Prefix))
    return false;
  // `/pay;x` is the segment `pay` with a parameter.
  return Path.size() == Prefix.size() || Path[Prefix.size()] == '/' ||
         Path[Prefix.size()] == ';';
}

bool allowsMethod(const RouteConfig &Route, std::string_view Method) {
  return Route.Methods.empty() ||
         std::find(Route.Methods.begin(), Route.Methods.end(), Method) !=
             Route.Methods.end();
}

} // namespace

std::optional<std::string> canonicalPath(std::string_view Target) {
  const std::string_view Path = Target.substr(0, Target.find_first_of("?#"));
  auto Decoded = decodeEscapes(Path);
  if (!Decoded || Decoded->empty() || Decoded->front() != '/')
    return std::nullopt;
  if (hasUnsafeByte(*Decoded) || hasUnsafeSegment(*Decoded))
    return std::nullopt;
  return Decoded;
}

Service::Service(ServiceConfig NewConfig) : Config(std::move(NewConfig)) {
  for (std::size_t Index = 0; Index < Config.Workspaces.size(); ++Index) {
    ByName.emplace(Config.Workspaces[Index].Name, Index);
    for (const KeyDigest &Digest : Config.Workspaces[Index].KeyDigests)
      ByKey.emplace(Digest, Index);
  }
  RouteOrder.resize(Config.Routes.size());
  std::iota(RouteOrder.begin(), RouteOrder.end(), 0);
  std::stable_sort(RouteOrder.begin(), RouteOrder.end(),
                   [this](std::size_t Left, std::size_t Right) {
                     const RouteConfig &First = Config.Routes[Left];
                     const RouteConfig &Second = Config.Routes[Right];
                     if (First.Prefix.size() != Second.Prefix.size())
                       return First.Prefix.size() > Second.Prefix.size();
                     return !First.Methods.empty() && Second.Methods.empty();
                   });
}

const WorkspaceConfig *Service::workspaceByKey(const KeyDigest &Digest) const {
  const auto Found = ByKey.find(Digest);
  return Found == ByKey.end() ? nullptr : &Config.Workspaces[Found->second];
}

const WorkspaceConfig *
Service::workspace(const base::WorkspaceName &Name) const {
  const auto Found = ByName.find(Name);
  return Found == ByName.end() ? nullptr : &Config.Workspaces[Found->second];
}

const RouteConfig *Service::routeFor(std::string_view Method,
                                     std::string_view Target) const {
  const auto Path = canonicalPath(Target);
  if (!Path)
    return nullptr;
  for (const std::size_t Index : RouteOrder) {
    const RouteConfig &Route = Config.Routes[Index];
    if (matchesPrefix(*Path, Route.Prefix) && allowsMethod(Route, Method))
      return &Route;
  }
  return nullptr;
}

Configuration::Configuration(base::LogOffset Version, ServiceMap Services,
                             std::shared_ptr<const FleetConfig> Fleet)
    : Version(Version), Services(std::move(Services)), Fleet(std::move(Fleet)) {
}

const Service *Configuration::service(const base::ServiceName &Name) const {
  const auto Found = Services.find(Name);
  return Found == Services.end() ? nullptr : Found->second.get();
}

} // namespace config
