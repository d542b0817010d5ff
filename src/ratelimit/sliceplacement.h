#ifndef JACKDAW_RATELIMIT_SLICEPLACEMENT_H
#define JACKDAW_RATELIMIT_SLICEPLACEMENT_H

#include "ratelimit/types.h"

#include <vector>

namespace ratelimit {

/// Data centres and number of slices over which limits are divided, from the
/// fleet file. Equal in all daemons.
struct SlicePlacement {
  std::vector<base::DataCentreId> DataCentres;
  std::uint16_t SlicesPerDataCentre = 1;

  friend bool operator==(const SlicePlacement &,
                         const SlicePlacement &) = default;
};

/// Returns the id of the limit of a workspace at a service.
LimitId limitId(const base::ServiceName &Service,
                const base::WorkspaceName &Workspace);

/// Returns the number of slices of a limit: one per data centre if the burst is
/// large enough for a permit in each, and up to `SlicesPerDataCentre` per data
/// centre for larger bursts.
std::uint16_t sliceCount(const Limit &Total, const SlicePlacement &Placement);

/// Returns slice `Index` of a limit; `Index` must be below `sliceCount`.
LimitSlice sliceAt(LimitId Id, const Limit &Total,
                   const SlicePlacement &Placement, std::uint16_t Index);

} // namespace ratelimit

#endif // JACKDAW_RATELIMIT_SLICEPLACEMENT_H
