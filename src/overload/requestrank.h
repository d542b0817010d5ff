#ifndef JACKDAW_OVERLOAD_REQUESTRANK_H
#define JACKDAW_OVERLOAD_REQUESTRANK_H

#include "base/clock.h"
#include "base/ids.h"
#include "base/types.h"

#include <cstdint>

namespace overload {

/// Number of the 10 s period that contains `Now`.
std::uint64_t rankPeriod(base::WallTime Now);

/// Admission rank of a request, 0 to 127, evenly distributed; lower ranks are
/// admitted first. It is computed at the entry daemon and carried by the call,
/// so that all hops admit the same requests. It depends on the period, so that
/// no root id is refused for ever.
std::uint8_t requestRank(const base::RootId &Root,
                         const base::WorkspaceName &Workspace,
                         std::uint64_t Period);

} // namespace overload

#endif // JACKDAW_OVERLOAD_REQUESTRANK_H
