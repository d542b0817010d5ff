#include "transport/internal/session.h"

#include <doctest/doctest.h>

using namespace transport;

namespace {

Hello makeHello(const char *Name) {
  Hello Result;
  Result.HelloNonce = makeNonce();
  Result.Sender.Instance = base::InstanceId(Name);
  return Result;
}

} // namespace

TEST_CASE("replayed, skipped and altered frames fail to decrypt") {
  const Hello A = makeHello("a");
  const Hello B = makeHello("b");
  const SessionKey Key = deriveSessionKey("secret", A, B, true);
  FrameCipher Sender(Key);
  const std::string First = Sender.seal("first");
  const std::string Second = Sender.seal("second");

  FrameCipher Receiver(Key);
  CHECK_FALSE(Receiver.open(Second));
  CHECK(Receiver.open(First) == "first");
  CHECK_FALSE(Receiver.open(First));
  std::string Altered = Second;
  Altered[0] ^= 1;
  CHECK_FALSE(Receiver.open(Altered));
  CHECK(Receiver.open(Second) == "second");
  CHECK_FALSE(Receiver.open("short"));
}

TEST_CASE("each direction, hello and secret yields a different session key") {
  const Hello A = makeHello("a");
  const Hello B = makeHello("b");
  const SessionKey Key = deriveSessionKey("secret", A, B, true);
  CHECK(Key != deriveSessionKey("secret", A, B, false));
  CHECK(Key != deriveSessionKey("other", A, B, true));
  CHECK(Key != deriveSessionKey("secret", makeHello("a"), B, true));
}

TEST_CASE("datagrams under another secret and truncated ones fail to decrypt") {
  const DatagramCipher Cipher("secret");
  const std::string Sealed = Cipher.seal("news");
  CHECK(Cipher.open(Sealed) == "news");
  CHECK_FALSE(DatagramCipher("other").open(Sealed));
  CHECK_FALSE(Cipher.open("x"));
  CHECK_FALSE(Cipher.open(Sealed.substr(0, Sealed.size() - 1)));
}
