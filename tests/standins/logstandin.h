#ifndef JACKDAW_STANDINS_LOGSTANDIN_H
#define JACKDAW_STANDINS_LOGSTANDIN_H

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>

namespace standins {

/// Faults that the stand-in injects while they are set, each with its parameter
/// in `POST /control`.
struct LogFaults {
  /// `outage`: every call gets status 503 and has no effect.
  bool Unavailable = false;
  /// `delay_ms`: delay of every response.
  std::chrono::milliseconds Delay{0};
  /// `lose_responses`: appends take effect, but the connection is closed
  /// without a response.
  bool LoseAppendResponses = false;
  /// `silent`: connections are accepted, but calls never get a response.
  bool Unresponsive = false;
  /// `nonsense`: appends take effect, but no response is valid JSON.
  bool MalformedResponses = false;
};

/// An in-memory platform log, served over HTTP on the loopback address with the
/// protocol of `platformlog::HttpLogClient`. All stream names stand for the
/// same stream.
///
/// `POST /control?outage=1&delay_ms=50&lose_responses=1&silent=1&nonsense=1`
/// changes the named faults, and `silence_open=1` stops all responses on the
/// connections that are open at that time. `GET /control` returns the state.
/// Control calls are not affected by the faults.
class LogStandIn {
public:
  /// Listens on `Port`, or on any free port if it is 0, and keeps at most
  /// `Retention` records. Throws `std::runtime_error` if it can't listen.
  explicit LogStandIn(std::uint16_t Port = 0, std::size_t Retention = 100000);
  ~LogStandIn();

  std::uint16_t port() const;
  std::string url() const;

  LogFaults faults() const;
  void setFaults(const LogFaults &Faults);
  void silenceOpenConnections();

  /// Sets how many records are kept, and drops excess older ones immediately.
  void setRetention(std::size_t Retention);

  /// Appends a record directly, unaffected by faults; returns its offset.
  std::uint64_t append(const std::string &Bytes);

  /// The record at an offset. Returns no value if it is not retained.
  std::optional<std::string> record(std::uint64_t Offset) const;

  /// Number of stream calls received, whatever their outcome.
  std::uint64_t calls() const;

  /// Offset of the oldest retained record.
  std::uint64_t first() const;

  /// Offset of the newest record.
  std::uint64_t end() const;

  struct State;

private:
  std::unique_ptr<State> Impl;
};

} // namespace standins

#endif // JACKDAW_STANDINS_LOGSTANDIN_H
