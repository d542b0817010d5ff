#include "execution/idempotencymessages.h"

#include <sodium.h>

namespace execution {

namespace {

// Hashes the length before each field, so that the fields "a", "bc" have
// another digest than "ab", "c".
void addField(crypto_generichash_state &State, std::string_view Field) {
  std::array<unsigned char, 8> Length{};
  for (std::size_t Index = 0; Index < Length.size(); ++Index)
    Length[Index] = static_cast<unsigned char>(Field.size() >> (8 * Index));
  crypto_generichash_update(&State, Length.data(), Length.size());
  crypto_generichash_update(
      &State, reinterpret_cast<const unsigned char *>(Field.data()),
      Field.size());
}

} // namespace

RequestDigest digestRequest(std::string_view Method, std::string_view Target,
                            std::string_view Body) {
  RequestDigest Result;
  crypto_generichash_state State;
  crypto_generichash_init(&State, nullptr, 0, Result.Bytes.size());
  addField(State, Method);
  addField(State, Target);
  addField(State, Body);
  crypto_generichash_final(&State, Result.Bytes.data(), Result.Bytes.size());
  return Result;
}

} // namespace execution
