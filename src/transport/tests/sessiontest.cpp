#include "transport/internal/session.h"

#include <doctest/doctest.h>

using namespace transport;

namespace {

Hello makeHello(const char *Name) {
  Hello Result;
  Result.Fresh = makeNonce();
  Result.Sender.Instance = base::InstanceId(Name);
  return Result;
}

} // namespace

TEST_CASE("a frame that is repeated, left out or altered does not open") {
  const Hello A = makeHello("a");
  const Hello B = makeHello("b");
  const SessionKey Key = deriveSessionKey("secret", A, B, true);
  SealedStream Sender(Key);
  const std::string First = Sender.seal("first");
  const std::string Second = Sender.seal("second");

  SealedStream Receiver(Key);
  CHECK_FALSE(Receiver.open(Second));
  CHECK(Receiver.open(First) == "first");
  CHECK_FALSE(Receiver.open(First));
  std::string Altered = Second;
  Altered[0] ^= 1;
  CHECK_FALSE(Receiver.open(Altered));
  CHECK(Receiver.open(Second) == "second");
  CHECK_FALSE(Receiver.open("short"));
}

TEST_CASE("directions, nonces, identities and secrets give different keys") {
  const Hello A = makeHello("a");
  const Hello B = makeHello("b");
  const SessionKey Key = deriveSessionKey("secret", A, B, true);
  CHECK(Key != deriveSessionKey("secret", A, B, false));
  CHECK(Key != deriveSessionKey("other", A, B, true));
  CHECK(Key != deriveSessionKey("secret", makeHello("a"), B, true));
}

TEST_CASE("a datagram under another secret is rejected") {
  const DatagramBox Box("secret");
  const std::string Sealed = Box.seal("news");
  CHECK(Box.open(Sealed) == "news");
  CHECK_FALSE(DatagramBox("other").open(Sealed));
  CHECK_FALSE(Box.open("x"));
  CHECK_FALSE(Box.open(Sealed.substr(0, Sealed.size() - 1)));
}
