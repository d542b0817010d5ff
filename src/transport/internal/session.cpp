#include "transport/internal/session.h"

#include "base/codec.h"

#include <cereal/types/string.hpp>
#include <sodium.h>

#include <cstring>

namespace transport {

namespace {

SessionKey keyedHash(const std::string &Secret, std::string_view Input) {
  // The secret may have any length, but BLAKE2b keys have at most 64 bytes.
  std::array<std::uint8_t, crypto_generichash_KEYBYTES_MAX> HashedSecret{};
  crypto_generichash(HashedSecret.data(), HashedSecret.size(),
                     reinterpret_cast<const unsigned char *>(Secret.data()),
                     Secret.size(), nullptr, 0);
  SessionKey Key{};
  crypto_generichash(Key.data(), Key.size(),
                     reinterpret_cast<const unsigned char *>(Input.data()),
                     Input.size(), HashedSecret.data(), HashedSecret.size());
  return Key;
}

static_assert(kSealBytes == crypto_aead_chacha20poly1305_IETF_ABYTES);

unsigned char *asBytes(std::string &Text) {
  return reinterpret_cast<unsigned char *>(Text.data());
}

const unsigned char *asBytes(std::string_view Text) {
  return reinterpret_cast<const unsigned char *>(Text.data());
}

} // namespace

Nonce makeNonce() {
  Nonce Result{};
  randombytes_buf(Result.data(), Result.size());
  return Result;
}

std::array<std::uint8_t, 12> FrameCipher::nextNonce() const {
  std::array<std::uint8_t, 12> Result{};
  static_assert(Result.size() == crypto_aead_chacha20poly1305_IETF_NPUBBYTES);
  std::memcpy(Result.data(), &Counter, sizeof(Counter));
  return Result;
}

std::string FrameCipher::seal(std::string_view Plain) {
  std::string Sealed(Plain);
  sealInPlace(Sealed, 0);
  return Sealed;
}

void FrameCipher::sealInPlace(std::string &Buffer, std::size_t Start) {
  const std::size_t Size = Buffer.size() - Start;
  Buffer.append(kSealBytes, '\0');
  unsigned char *Bytes = asBytes(Buffer) + Start;
  crypto_aead_chacha20poly1305_ietf_encrypt(Bytes, nullptr, Bytes, Size,
                                            nullptr, 0, nullptr,
                                            nextNonce().data(), Key.data());
  ++Counter;
}

std::optional<std::string> FrameCipher::open(std::string_view Sealed) {
  std::string Copy(Sealed);
  const auto Plain = openInPlace(Copy);
  if (!Plain)
    return std::nullopt;
  return std::string(*Plain);
}

std::optional<std::string_view>
FrameCipher::openInPlace(std::span<char> Sealed) {
  if (Sealed.size() < kSealBytes)
    return std::nullopt;
  auto *Bytes = reinterpret_cast<unsigned char *>(Sealed.data());
  if (crypto_aead_chacha20poly1305_ietf_decrypt(
          Bytes, nullptr, nullptr, Bytes, Sealed.size(), nullptr, 0,
          nextNonce().data(), Key.data()) != 0)
    return std::nullopt;
  ++Counter;
  return std::string_view(Sealed.data(), Sealed.size() - kSealBytes);
}

SessionKey deriveSessionKey(const std::string &Secret, const Hello &Dialler,
                            const Hello &Acceptor, bool FromDialler) {
  const std::string Direction = FromDialler ? "dialler" : "acceptor";
  return keyedHash(Secret, "jackdaw session " + Direction +
                               base::encode(Dialler) + base::encode(Acceptor));
}

DatagramCipher::DatagramCipher(const std::string &Secret)
    : Key(keyedHash(Secret, "jackdaw datagram")) {}

std::string DatagramCipher::seal(std::string_view Plain) const {
  std::string Sealed(crypto_secretbox_NONCEBYTES + crypto_secretbox_MACBYTES +
                         Plain.size(),
                     '\0');
  randombytes_buf(Sealed.data(), crypto_secretbox_NONCEBYTES);
  crypto_secretbox_easy(asBytes(Sealed) + crypto_secretbox_NONCEBYTES,
                        asBytes(Plain), Plain.size(), asBytes(Sealed),
                        Key.data());
  return Sealed;
}

std::optional<std::string> DatagramCipher::open(std::string_view Sealed) const {
  constexpr std::size_t Overhead =
      crypto_secretbox_NONCEBYTES + crypto_secretbox_MACBYTES;
  if (Sealed.size() < Overhead)
    return std::nullopt;
  std::string Plain(Sealed.size() - Overhead, '\0');
  if (crypto_secretbox_open_easy(asBytes(Plain),
                                 asBytes(Sealed) + crypto_secretbox_NONCEBYTES,
                                 Sealed.size() - crypto_secretbox_NONCEBYTES,
                                 asBytes(Sealed), Key.data()) != 0)
    return std::nullopt;
  return Plain;
}

} // namespace transport
