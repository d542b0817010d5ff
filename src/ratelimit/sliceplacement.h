#ifndef JACKDAW_RATELIMIT_SLICEPLACEMENT_H
#define JACKDAW_RATELIMIT_SLICEPLACEMENT_H

#include "ratelimit/types.h"

#include <vector>

namespace ratelimit {

/// Where limits are placed; from the fleet file. Equal in all daemons.
struct SlicePlacement {
  std::vector<base::DataCentreId> DataCentres;
  std::uint16_t SlicesPerDataCentre = 1;

  friend bool operator==(const SlicePlacement &,
                         const SlicePlacement &) = default;
};

LimitId limitId(const base::ServiceName &Service,
                const base::WorkspaceName &Workspace);

/// Number of slices of a limit: one per data centre as far as the burst goes,
/// and up to `SlicesPerDataCentre` if the burst is large enough.
std::uint16_t sliceCount(const Limit &Whole, const SlicePlacement &Where);

/// Slice `Index` of a limit; `Index` is below `sliceCount`.
LimitSlice sliceAt(LimitId Id, const Limit &Whole, const SlicePlacement &Where,
                   std::uint16_t Index);

} // namespace ratelimit

#endif // JACKDAW_RATELIMIT_SLICEPLACEMENT_H
