#ifndef JACKDAW_ROUTING_INTERNAL_SPILLOVERCONTROLLER_H
#define JACKDAW_ROUTING_INTERNAL_SPILLOVERCONTROLLER_H

#include "base/clock.h"

#include <cstdint>

namespace routing {

/// Controls the share of a service's calls that skip one locality because its
/// upstreams refuse calls as overloaded. The share grows in small steps, so
/// that the load of a farther locality rises gradually before all calls arrive
/// there, and falls when the refusals end.
class SpilloverController {
public:
  /// Records the result of a call to this locality. Returns whether this ended
  /// a window in which too many calls were refused.
  bool record(bool Refused, base::BootTime Now);

  /// Halves the share, because the farther locality refuses calls as well, so
  /// that spillover does not help.
  void halve() { Share /= 2; }

  /// Share of calls, 0 to below 1, that should go to the next locality.
  double share(base::BootTime Now);

private:
  /// Ends the window and updates the share if the window is over.
  void advance(base::BootTime Now);

  double Share = 0;
  base::BootTime WindowStart;
  std::uint32_t Calls = 0;
  std::uint32_t Refusals = 0;
  bool LastWindowRefused = false;
};

} // namespace routing

#endif // JACKDAW_ROUTING_INTERNAL_SPILLOVERCONTROLLER_H
