#include "overload/admissionlevel.h"

namespace overload {

AdmissionLevel AdmissionLevel::fromIndex(std::uint32_t Index) {
  const std::uint32_t Bounded = std::min(Index, kLevelCount - 1);
  return {static_cast<base::PriorityClass>(Bounded / kRankCount),
          static_cast<std::uint8_t>(Bounded % kRankCount)};
}

bool AdmissionLevel::admits(base::PriorityClass RequestClass,
                            std::uint8_t Rank) const {
  if (RequestClass != Class)
    return RequestClass < Class;
  return Rank <= Threshold;
}

AdmissionLevel stricter(const AdmissionLevel &First,
                        const AdmissionLevel &Second) {
  return First.index() <= Second.index() ? First : Second;
}

} // namespace overload
