#ifndef JACKDAW_STANDINS_STANDINLOG_H
#define JACKDAW_STANDINS_STANDINLOG_H

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>

namespace standins {

/// Faults that the stand-in shows while they are switched on.
struct LogFaults {
  /// Every call is answered with 503 and has no effect.
  bool Outage = false;
  /// Every call is answered this much later.
  std::chrono::milliseconds Delay{0};
  /// Appends take effect, then the connection closes without a response.
  bool LoseResponses = false;
  /// Connections are accepted, and nothing is ever answered.
  bool Silent = false;
  /// Appends take effect, and every response is text that is no JSON.
  bool Nonsense = false;
};

/// The platform log in memory, served over HTTP on the loopback address by
/// the protocol of `platformlog::HttpLogClient`. All streams are the same one.
///
/// `POST /control?outage=1&delay_ms=50&lose_responses=1&silent=1&nonsense=1`
/// changes the named faults, and `silence_open=1` makes all connections that
/// are open now silent for good. `GET /control` shows the state. Control calls
/// are answered whatever the faults are.
class StandInLog {
public:
  /// `Port` 0 takes any free port. Keeps at most `Retention` records. Throws
  /// `std::runtime_error` if the port can't be opened.
  explicit StandInLog(std::uint16_t Port = 0, std::size_t Retention = 100000);
  ~StandInLog();

  std::uint16_t port() const;
  std::string url() const;

  LogFaults faults() const;
  void setFaults(const LogFaults &Faults);
  void silenceOpenConnections();

  /// Changes how many records are kept, and drops older ones at once.
  void setRetention(std::size_t Retention);

  /// Appends without HTTP and faults; returns the offset.
  std::uint64_t append(const std::string &Bytes);

  /// A retained record.
  std::optional<std::string> record(std::uint64_t Offset) const;

  /// Calls to streams that have been received, whatever became of them.
  std::uint64_t calls() const;

  /// Oldest retained offset and offset of the newest record.
  std::uint64_t first() const;
  std::uint64_t end() const;

  struct State;

private:
  std::unique_ptr<State> Impl;
};

} // namespace standins

#endif // JACKDAW_STANDINS_STANDINLOG_H
