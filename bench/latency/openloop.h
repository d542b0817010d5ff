#ifndef JACKDAW_BENCH_LATENCY_OPENLOOP_H
#define JACKDAW_BENCH_LATENCY_OPENLOOP_H

#include "base/clock.h"
#include "http/message.h"

#include <cstddef>
#include <memory>
#include <string>
#include <vector>

namespace latency {

/// The server under load, and the request sent to it.
struct LoadTarget {
  std::string Url;
  http::Request Call;
  /// Opens a new connection for each request instead of keeping it alive.
  bool FreshConnection = false;
};

/// Latencies of the requests that got status 200, and the number of all others.
struct Samples {
  std::vector<base::Duration> Latencies;
  std::size_t Failed = 0;

  void add(const Samples &Other);

  /// Exact quantile of the latencies, without interpolation; zero if there are
  /// none. Reorders `Latencies`.
  base::Duration quantile(double Quantile);
};

/// Open-loop load generator with keep-alive connections to one target. Each
/// connection has its own thread during `run`.
class OpenLoop {
public:
  OpenLoop(LoadTarget Target, unsigned Connections);
  ~OpenLoop();

  /// Sends requests at a fixed rate for `Length`, independent of how late the
  /// responses are. Latencies are measured from the time at which a request was
  /// due, so that a stall counts for every request that it delayed.
  Samples run(double CallsPerSecond, base::Duration Length);

private:
  struct Connection;
  const LoadTarget Target;
  std::vector<std::unique_ptr<Connection>> Connections;
};

} // namespace latency

#endif // JACKDAW_BENCH_LATENCY_OPENLOOP_H
