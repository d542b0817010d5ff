#include "relay/permitmessages.h"

#include "base/codec.h"

#include <cereal/types/string.hpp>

namespace relay {

namespace {

/// First byte of a datagram for each alternative of `PermitMessage`. Gossip
/// datagrams begin with 0 or 1, the byte order of their archive.
constexpr std::uint8_t kFirstType = 128;

template <typename T>
std::optional<PermitMessage> decodeAs(std::string_view Body) {
  auto Message = base::decode<T>(Body);
  if (!Message)
    return std::nullopt;
  return PermitMessage(std::move(*Message));
}

} // namespace

std::string encodePermitMessage(const PermitMessage &Message) {
  std::string Body(1, static_cast<char>(kFirstType + Message.index()));
  Body +=
      std::visit([](const auto &Each) { return base::encode(Each); }, Message);
  return Body;
}

bool isPermitMessage(std::string_view Body) {
  return !Body.empty() && static_cast<std::uint8_t>(Body[0]) >= kFirstType;
}

std::optional<PermitMessage> decodePermitMessage(std::string_view Body) {
  if (!isPermitMessage(Body))
    return std::nullopt;
  const auto Index = static_cast<std::uint8_t>(Body[0]) - kFirstType;
  Body.remove_prefix(1);
  switch (Index) {
  case 0:
    return decodeAs<PermitRequest>(Body);
  case 1:
    return decodeAs<PermitGrant>(Body);
  case 2:
    return decodeAs<PermitReturn>(Body);
  case 3:
    return decodeAs<CoordinatorCheck>(Body);
  case 4:
    return decodeAs<CoordinatorCheckReply>(Body);
  default:
    return std::nullopt;
  }
}

} // namespace relay
