#ifndef JACKDAW_ROUTING_INTERNAL_SPILLOVERCONTROLLER_H
#define JACKDAW_ROUTING_INTERNAL_SPILLOVERCONTROLLER_H

#include "base/clock.h"

#include <cstdint>

namespace routing {

/// The share of a service's calls that passes over one locality because its
/// upstreams refuse as overloaded. It grows in small steps, so that a farther
/// locality sees its load rise before all calls arrive there, and shrinks when
/// the refusals end.
class SpillControl {
public:
  /// Records how a call to this locality ended. Returns whether a window has
  /// just ended in which it refused calls.
  bool record(bool Refused, base::BootTime Now);

  /// The farther locality refuses as well: spilling does not help.
  void halve() { Share /= 2; }

  /// Share of calls, 0 to below 1, that goes to the next locality first.
  double share(base::BootTime Now);

private:
  void advance(base::BootTime Now);

  double Share = 0;
  base::BootTime WindowStart;
  std::uint32_t Calls = 0;
  std::uint32_t Refusals = 0;
  bool LastRefused = false;
};

} // namespace routing

#endif // JACKDAW_ROUTING_INTERNAL_SPILLOVERCONTROLLER_H
