#ifndef JACKDAW_TRANSPORT_INTERNAL_SESSION_H
#define JACKDAW_TRANSPORT_INTERNAL_SESSION_H

#include "base/types.h"

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace transport {

using Nonce = std::array<std::uint8_t, 32>;
using SessionKey = std::array<std::uint8_t, 32>;

/// First frame in each direction. The nonces and identities enter the session
/// keys, so that a recorded handshake is of no use.
struct Hello {
  std::uint32_t Protocol = kProtocol;
  Nonce Fresh{};
  base::ProcessId Sender;

  static constexpr std::uint32_t kProtocol = 0x4a444601;

  template <class Archive> void serialize(Archive &Ar) {
    Ar(Protocol);
    for (std::uint8_t &Byte : Fresh)
      Ar(Byte);
    Ar(Sender);
  }
};

Nonce makeNonce();

/// Encrypts or decrypts the frames of one direction. The nonce is a counter, so
/// a frame that is repeated, left out or moved does not open.
class SealedStream {
public:
  explicit SealedStream(const SessionKey &Key) : Key(Key) {}

  std::string seal(std::string_view Plain);
  std::optional<std::string> open(std::string_view Sealed);

private:
  std::array<std::uint8_t, 12> nextNonce() const;

  SessionKey Key;
  std::uint64_t Counter = 0;
};

/// The key for the frames of one direction; the dialler is the side that opened
/// the connection.
SessionKey deriveSessionKey(const std::string &Secret, const Hello &Dialler,
                            const Hello &Acceptor, bool FromDialler);

/// Seals datagrams with a random nonce each.
class DatagramBox {
public:
  explicit DatagramBox(const std::string &Secret);

  std::string seal(std::string_view Plain) const;
  std::optional<std::string> open(std::string_view Sealed) const;

private:
  SessionKey Key;
};

} // namespace transport

#endif // JACKDAW_TRANSPORT_INTERNAL_SESSION_H
