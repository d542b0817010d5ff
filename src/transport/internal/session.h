#ifndef JACKDAW_TRANSPORT_INTERNAL_SESSION_H
#define JACKDAW_TRANSPORT_INTERNAL_SESSION_H

#include "base/types.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>

namespace transport {

using Nonce = std::array<std::uint8_t, 32>;
using SessionKey = std::array<std::uint8_t, 32>;

/// First frame in each direction. The session keys are derived from the nonces
/// and identities of both hellos, so that a recorded handshake can't be
/// replayed.
struct Hello {
  std::uint32_t Protocol = kProtocol;
  Nonce HelloNonce{};
  base::ProcessId Sender;

  /// Protocol identifier "JDF" and version 2.
  static constexpr std::uint32_t kProtocol = 0x4a444602;

  template <class Archive> void serialize(Archive &Ar) {
    Ar(Protocol);
    for (std::uint8_t &Byte : HelloNonce)
      Ar(Byte);
    Ar(Sender);
  }
};

/// Bytes that encryption adds to a frame.
inline constexpr std::size_t kSealBytes = 16;

/// Returns a random nonce.
Nonce makeNonce();

/// Encrypts or decrypts the frames of one direction with ChaCha20-Poly1305. The
/// nonce is a counter, so decryption fails for replayed, dropped and reordered
/// frames.
class FrameCipher {
public:
  explicit FrameCipher(const SessionKey &Key) : Key(Key) {}

  /// Encrypts and authenticates the next frame.
  std::string seal(std::string_view Plain);

  /// The same for the bytes of `Buffer` from `Start` on, in place; the
  /// authentication tag is appended.
  void sealInPlace(std::string &Buffer, std::size_t Start);

  /// Decrypts the next frame. Returns no value if authentication fails; the
  /// counter is not advanced then.
  std::optional<std::string> open(std::string_view Sealed);

  /// The same in place. Returns the decrypted bytes, which are a part of
  /// `Sealed`. If authentication fails, the content of `Sealed` is lost.
  std::optional<std::string_view> openInPlace(std::span<char> Sealed);

private:
  std::array<std::uint8_t, 12> nextNonce() const;

  SessionKey Key;
  std::uint64_t Counter = 0;
};

/// Derives the key for the frames of one direction. The dialler is the side
/// that opened the connection.
SessionKey deriveSessionKey(const std::string &Secret, const Hello &Dialler,
                            const Hello &Acceptor, bool FromDialler);

/// Encrypts and authenticates datagrams with XSalsa20-Poly1305 under a random
/// nonce each, which the datagram carries.
class DatagramCipher {
public:
  explicit DatagramCipher(const std::string &Secret);

  std::string seal(std::string_view Plain) const;

  /// Returns no value if authentication fails.
  std::optional<std::string> open(std::string_view Sealed) const;

private:
  SessionKey Key;
};

} // namespace transport

#endif // JACKDAW_TRANSPORT_INTERNAL_SESSION_H
