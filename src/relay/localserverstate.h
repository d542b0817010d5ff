#ifndef JACKDAW_RELAY_LOCALSERVERSTATE_H
#define JACKDAW_RELAY_LOCALSERVERSTATE_H

#include "base/clock.h"
#include "relay/types.h"

#include <cstdint>
#include <deque>
#include <optional>
#include <string>

namespace relay {

/// Effect of a report on the known state.
enum class ReportResult : std::uint8_t {
  /// The report is older than the known state and was ignored.
  Stale,
  /// The report is the first one of a process that may be an earlier one than
  /// the current process. It is kept.
  Undecided,
  Unchanged,
  /// Another process is the current one, or its slots or whether it accepts
  /// requests differ.
  Changed,
};

/// State of the local backend server by what its processes report, each of
/// which may arrive late or be missing. The order of these messages:
///
/// - Reports of one process, which is named by id and start time, are in the
///   order of their sequence numbers.
/// - A process with a later start time than the current one is the current one
///   at once. An earlier start time is that of an earlier process, whose report
///   comes late, or of a later one, if the clock was set back: the process
///   becomes the current one if it goes on reporting while the current one is
///   silent, for `kSuccessionTime`, or `kLeavingSuccessionTime` if the current
///   one is shutting down.
/// - A process that is shutting down accepts no requests again, whatever it
///   reports later. Where two processes share an id, the shutdown of either
///   counts until the current one reports again.
/// - A deregistration names an id. It applies to all processes of that id that
///   started before it, also if their first report arrives later.
///
/// What is known of a process ends with the report of a later one. The last
/// shutdown is kept for the daemon's next process (`lastShutdown`).
class LocalServerState {
public:
  static constexpr base::Duration kSuccessionTime = std::chrono::seconds(5);
  static constexpr base::Duration kLeavingSuccessionTime =
      std::chrono::seconds(15);

  explicit LocalServerState(const base::Clock &Clock) : Clock(&Clock) {}

  ReportResult apply(const ServerReport &Received);

  /// Records the deregistration of an id. Returns false if the current process
  /// has another id, or if there has been no report yet.
  bool markLeaving(const std::string &Id);

  /// Records that exactly this process is shutting down. Returns false if it is
  /// not the current one.
  bool markLeaving(const ServerIncarnation &Process);

  /// Records what an earlier process of this daemon knew.
  void restore(const ServerShutdown &Known);

  /// The last shutdown that this daemon has learned of; none if it knows of
  /// none.
  const std::optional<ServerShutdown> &lastShutdown() const {
    return LastShutdown;
  }

  /// Whether new requests may be passed to the server.
  bool available() const { return Current && !leaving(); }

  /// Whether `Process` is the current process.
  bool isCurrent(const ServerIncarnation &Process) const {
    return Current && Current->Latest.Server == Process;
  }

  /// Whether the current process is shutting down, or may be.
  bool leaving() const;

  /// The last report of the current process, also when it is shutting down;
  /// null before the first report.
  const ServerReport *latestReport() const {
    return Current ? &Current->Latest : nullptr;
  }

private:
  struct Process {
    ServerReport Latest;
    bool Leaving = false;
    base::BootTime FirstReportAt;
    base::BootTime LastReportAt;
  };
  struct Deregistration {
    std::string Id;
    base::BootTime At;
    base::WallTime WallAt;
  };

  Process *find(const ServerIncarnation &Named);
  ReportResult applyFirst(const ServerReport &Received);
  ReportResult applyNext(Process &Known, const ServerReport &Received);
  bool succeeds(const Process &Candidate) const;
  void setLeaving(Process &Target);
  ReportResult makeCurrent(const ServerIncarnation &Named);
  bool leavesFromStart(const ServerIncarnation &Named) const;
  bool startedAfter(const Deregistration &Earlier,
                    std::uint64_t StartTimeMillis) const;

  const base::Clock *Clock;
  std::optional<Process> Current;
  /// Other processes, the one that reported last at the end.
  std::deque<Process> Others;
  std::deque<Deregistration> Deregistrations;
  std::optional<ServerShutdown> LastShutdown;
  /// Processes that are known to shut down, before their first report.
  std::deque<ServerIncarnation> LeavingUnseen;
};

} // namespace relay

#endif // JACKDAW_RELAY_LOCALSERVERSTATE_H
