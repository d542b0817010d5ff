#ifndef JACKDAW_RELAY_LOGREADERROLE_H
#define JACKDAW_RELAY_LOGREADERROLE_H

#include "base/clock.h"

#include <cstddef>

namespace relay {

/// Decides whether this daemon reads the policy stream on behalf of its data
/// centre. The first daemon in the order of the data centre does, and tells the
/// others after each read. A daemon that hears of no read for too long takes
/// over, whatever kept the others from reading or from telling, and gives the
/// role back when it hears of a read by one before it in the order. A daemon
/// that has just started doesn't know the order yet and reads for no others.
class LogReaderRole {
public:
  explicit LogReaderRole(const base::Clock &Clock)
      : Clock(Clock), StartedAt(Clock.now()), LastRead(StartedAt) {}

  /// Sets this daemon's position in the order of its data centre.
  void setRank(std::size_t NewRank) { Rank = NewRank; }

  /// This daemon has read the stream to its end.
  void onOwnRead() { LastRead = Clock.now(); }

  /// Another daemon of the data centre, which comes before this one in the
  /// order if `IsPreferred`, has read the stream to its end.
  void onPeerRead(bool IsPreferred);

  /// Takes the role over if it is time to. Returns true if this call did; the
  /// daemon must read at once then.
  bool takeOverIfDue();

  /// Whether this daemon reads continuously and tells the others.
  bool isReader() const;

  /// Time since the last read that this daemon knows of.
  base::Duration timeSinceRead() const { return Clock.now() - LastRead; }

private:
  const base::Clock &Clock;
  const base::BootTime StartedAt;
  std::size_t Rank = 0;
  base::BootTime LastRead;
  /// Reads in place of a daemon that comes before it in the order.
  bool Substitutes = false;
};

} // namespace relay

#endif // JACKDAW_RELAY_LOGREADERROLE_H
