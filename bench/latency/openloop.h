#ifndef JACKDAW_BENCH_LATENCY_OPENLOOP_H
#define JACKDAW_BENCH_LATENCY_OPENLOOP_H

#include "base/clock.h"
#include "http/message.h"

#include <cstddef>
#include <memory>
#include <string>
#include <vector>

namespace latency {

/// One server under load, and the request that it gets.
struct Target {
  std::string Url;
  http::Request Call;
  /// Opens a connection for each request instead of keeping it.
  bool FreshConnection = false;
};

/// Latencies of the requests that were answered with status 200, and the
/// number of all others.
struct Samples {
  std::vector<base::Duration> Latencies;
  std::size_t Failed = 0;

  void add(const Samples &Other);

  /// Exact quantile; zero without samples.
  base::Duration quantile(double Quantile);
};

/// Keep-alive connections to one target, each with its own thread while a load
/// runs.
class OpenLoop {
public:
  OpenLoop(Target Load, unsigned Connections);
  ~OpenLoop();

  /// Sends requests at fixed times for `Length`, however late the responses
  /// are. A latency counts from the time at which the request was due, so that
  /// a stall shows in every request that it held up.
  Samples run(double CallsPerSecond, base::Duration Length);

private:
  struct Connection;
  const Target Load;
  std::vector<std::unique_ptr<Connection>> Connections;
};

} // namespace latency

#endif // JACKDAW_BENCH_LATENCY_OPENLOOP_H
