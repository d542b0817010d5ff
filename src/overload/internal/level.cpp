#include "overload/level.h"

namespace overload {

Level Level::fromIndex(std::uint32_t Index) {
  const std::uint32_t Bounded = std::min(Index, kLevelCount - 1);
  return {static_cast<base::PriorityClass>(Bounded / kValueCount),
          static_cast<std::uint8_t>(Bounded % kValueCount)};
}

bool Level::admits(base::PriorityClass RequestClass, std::uint8_t Value) const {
  if (RequestClass != Class)
    return RequestClass < Class;
  return Value <= Threshold;
}

Level stricter(const Level &First, const Level &Second) {
  return First.index() <= Second.index() ? First : Second;
}

} // namespace overload
