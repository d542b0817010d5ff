#include "base/codec.h"
#include "base/ids.h"
#include "base/types.h"

#include <cereal/types/map.hpp>
#include <cereal/types/optional.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>
#include <doctest/doctest.h>

#include <random>

namespace {

struct Sample {
  base::ServiceName Service;
  std::vector<std::string> Texts;
  std::map<std::string, std::uint32_t> Numbers;
  std::optional<base::CallId> Id;
  bool Flag = false;
  base::PriorityClass Class = base::PriorityClass::Normal;

  template <class Archive> void serialize(Archive &Ar) {
    Ar(Service, Texts, Numbers, Id, Flag, Class);
  }
};

Sample makeSample() {
  return {base::ServiceName("bookings"),
          {"a", std::string(300, 'x')},
          {{"n", 7}},
          base::makeRandomId<base::CallId>(),
          true,
          base::PriorityClass::Critical};
}

} // namespace

TEST_CASE("decoding returns the encoded value") {
  const Sample Original = makeSample();
  const auto Copy = base::decode<Sample>(base::encode(Original));
  REQUIRE(Copy);
  CHECK(Copy->Service == Original.Service);
  CHECK(Copy->Texts == Original.Texts);
  CHECK(Copy->Numbers == Original.Numbers);
  CHECK(Copy->Id == Original.Id);
  CHECK(Copy->Flag);
  CHECK(Copy->Class == base::PriorityClass::Critical);
}

TEST_CASE(
    "an encoded length above the input size is rejected before allocation") {
  std::string Bytes(4, '\xff');
  CHECK_FALSE(base::decode<std::vector<std::string>>(Bytes));
  CHECK_FALSE(base::decode<std::vector<std::uint64_t>>(Bytes));
  CHECK_FALSE(base::decode<std::string>(Bytes));
}

TEST_CASE("truncated and extended input is rejected, and mutated input never "
          "crashes the decoder") {
  const std::string Good = base::encode(makeSample());
  for (std::size_t Length = 0; Length < Good.size(); ++Length)
    CHECK_FALSE(base::decode<Sample>(Good.substr(0, Length)));
  CHECK_FALSE(base::decode<Sample>(Good + "x"));
  std::mt19937 Random(20261204);
  for (int Round = 0; Round < 20000; ++Round) {
    std::string Bad = Good;
    for (int Change = 0; Change < 4; ++Change)
      Bad[Random() % Bad.size()] = static_cast<char>(Random());
    (void)base::decode<Sample>(Bad);
  }
}
