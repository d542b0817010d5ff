#include "node/credentials.h"

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
/// Shorter keys aren't searched for elsewhere, because they occur by chance.
constexpr std::size_t kMinSearchedKeyBytes = 6;

/// Converts to lower case and underscores to hyphens, because some servers
/// treat such names alike.
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

/// Extracts the credentials from a header. Returns whether the header must be
/// removed.
bool extractFromHeader(const http::Header &Each, Credentials &Found) {
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

/// Decodes as in form data, where `+` is a space. Text with invalid
/// percent-encoding is kept.
std::string decodeFormValue(std::string Text) {
  std::replace(Text.begin(), Text.end(), '+', ' ');
  return http::percentDecode(Text).value_or(Text);
}

/// Extracts a key from a query parameter. Returns whether the parameter must be
/// removed.
bool extractFromParameter(const std::string &Part, Credentials &Found) {
  const std::size_t Equals = Part.find('=');
  if (canonicalName(decodeFormValue(Part.substr(0, Equals))) != kKeyHeader)
    return false;
  if (Equals != std::string::npos)
    addKey(Found, decodeFormValue(Part.substr(Equals + 1)));
  return true;
}

bool containsKey(const std::string &Text, const Credentials &Found) {
  return std::any_of(
      Found.Keys.begin(), Found.Keys.end(), [&Text](const std::string &Key) {
        return Key.size() >= kMinSearchedKeyBytes &&
               (Text.find(Key) != std::string::npos ||
                decodeFormValue(Text).find(Key) != std::string::npos);
      });
}

} // namespace

Credentials extractCredentials(http::Request &Received) {
  Credentials Found;
  std::erase_if(Received.Headers, [&Found](const http::Header &Each) {
    return extractFromHeader(Each, Found) || http::isHopByHopHeader(Each.Name);
  });
  std::vector<std::string> Parts = splitQuery(Received.Query);
  std::erase_if(Parts, [&Found](const std::string &Part) {
    return extractFromParameter(Part, Found);
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
