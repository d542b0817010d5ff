#include "base/address.h"

#include <arpa/inet.h>

#include <charconv>

namespace base {

bool isIpv4Address(const std::string &Text) {
  in_addr Ignored{};
  return inet_pton(AF_INET, Text.c_str(), &Ignored) == 1;
}

std::optional<Endpoint> parseEndpoint(std::string_view Text) {
  const std::size_t Colon = Text.rfind(':');
  if (Colon == std::string_view::npos)
    return std::nullopt;
  std::string Ip(Text.substr(0, Colon));
  if (!isIpv4Address(Ip))
    return std::nullopt;
  std::uint16_t Port = 0;
  const char *End = Text.data() + Text.size();
  const auto [Rest, Code] = std::from_chars(Text.data() + Colon + 1, End, Port);
  if (Code != std::errc() || Rest != End || Port == 0)
    return std::nullopt;
  return Endpoint{std::move(Ip), Port};
}

} // namespace base
