#include "node/requestidentity.h"

#include <algorithm>
#include <cctype>
#include <sstream>

namespace node {

namespace {

constexpr std::string_view kKeyHeader = "jackdaw-key";
constexpr std::string_view kHandleHeader = "jackdaw-handle";
constexpr std::string_view kReservedPrefix = "jackdaw-";
constexpr std::string_view kAuthorization = "authorization";
constexpr std::string_view kProxyAuthorization = "proxy-authorization";
/// Shorter texts are not searched for, since they occur by chance.
constexpr std::size_t kMinSearchedKey = 6;

/// Lower case with underscores as hyphens, as some servers map names.
std::string canonicalName(std::string_view Name) {
  std::string Result;
  for (const char C : Name)
    Result +=
        C == '_'
            ? '-'
            : static_cast<char>(std::tolower(static_cast<unsigned char>(C)));
  return Result;
}

void addKey(Credentials &Found, std::string Key) {
  if (!Key.empty() &&
      std::find(Found.Keys.begin(), Found.Keys.end(), Key) == Found.Keys.end())
    Found.Keys.push_back(std::move(Key));
}

std::optional<std::string> bearerToken(const std::string &Value) {
  constexpr std::string_view Scheme = "bearer ";
  if (Value.size() <= Scheme.size() ||
      canonicalName(Value.substr(0, Scheme.size())) != Scheme)
    return std::nullopt;
  const std::size_t Start = Value.find_first_not_of(' ', Scheme.size());
  if (Start == std::string::npos)
    return std::nullopt;
  return Value.substr(Start);
}

/// Takes credentials out of the headers that can carry them; true if the
/// header must go.
bool takeFromHeader(const http::Header &Each, Credentials &Found) {
  const std::string Name = canonicalName(Each.Name);
  if (Name == kKeyHeader)
    addKey(Found, Each.Value);
  else if (Name == kHandleHeader)
    Found.Handle = Each.Value;
  else if (Name == kAuthorization) {
    if (const auto Token = bearerToken(Each.Value))
      addKey(Found, *Token);
  }
  return Name.starts_with(kReservedPrefix) || Name == kAuthorization ||
         Name == kProxyAuthorization;
}

std::vector<std::string> splitQuery(const std::string &Query) {
  std::vector<std::string> Parts;
  std::istringstream Stream(Query);
  for (std::string Part; std::getline(Stream, Part, '&');)
    Parts.push_back(Part);
  return Parts;
}

/// As form decoding reads it: `+` is a space.
std::string decodeLoosely(std::string Text) {
  std::replace(Text.begin(), Text.end(), '+', ' ');
  return http::percentDecode(Text).value_or(Text);
}

bool takeFromParameter(const std::string &Part, Credentials &Found) {
  const std::size_t Equals = Part.find('=');
  if (canonicalName(decodeLoosely(Part.substr(0, Equals))) != kKeyHeader)
    return false;
  if (Equals != std::string::npos)
    addKey(Found, decodeLoosely(Part.substr(Equals + 1)));
  return true;
}

bool containsKey(const std::string &Text, const Credentials &Found) {
  return std::any_of(
      Found.Keys.begin(), Found.Keys.end(), [&Text](const std::string &Key) {
        return Key.size() >= kMinSearchedKey &&
               (Text.find(Key) != std::string::npos ||
                decodeLoosely(Text).find(Key) != std::string::npos);
      });
}

} // namespace

Credentials extractCredentials(http::Request &Received) {
  Credentials Found;
  std::erase_if(Received.Headers, [&Found](const http::Header &Each) {
    return takeFromHeader(Each, Found) || http::isHopByHopHeader(Each.Name);
  });
  std::vector<std::string> Parts = splitQuery(Received.Query);
  std::erase_if(Parts, [&Found](const std::string &Part) {
    return takeFromParameter(Part, Found);
  });
  std::erase_if(Parts, [&Found](const std::string &Part) {
    return containsKey(Part, Found);
  });
  std::erase_if(Received.Headers, [&Found](const http::Header &Each) {
    return containsKey(Each.Name, Found) || containsKey(Each.Value, Found);
  });
  Received.Query.clear();
  for (const std::string &Part : Parts)
    Received.Query += (Received.Query.empty() ? "" : "&") + Part;
  return Found;
}

} // namespace node
