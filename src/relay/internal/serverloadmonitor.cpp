#include "relay/serverloadmonitor.h"

#include "relay/internal/durations.h"

#include <nlohmann/json.hpp>

namespace relay {

namespace {

using namespace std::chrono_literals;

constexpr base::Duration kReportInterval = 1s;
/// A call that started sooner than this has not waited for another one.
constexpr base::Duration kMinQueueTime = 1ms;

} // namespace

ServerLoadMonitor::ServerLoadMonitor(const base::Clock &Clock,
                                     base::MetricsRegistry &Metrics,
                                     StructuredLog &Log)
    : Clock(Clock), Log(Log),
      Malformed(Metrics.counter("server_statements_malformed_total")),
      CountedSince(Clock.now()) {}

void ServerLoadMonitor::onStatement(const ServerIncarnation &From,
                                    const ServerStatement &Stated) {
  if (Stated.Malformed)
    Malformed.add();
  Server = From;
  Last = Stated;
}

void ServerLoadMonitor::onForwarded(bool Inner, base::Duration QueueTime) {
  ++Current.Forwarded;
  Current.Inner += Inner ? 1 : 0;
  Current.Queued += QueueTime >= kMinQueueTime ? 1 : 0;
}

void ServerLoadMonitor::tick() {
  const base::Duration Elapsed = Clock.now() - CountedSince;
  if (Elapsed < kReportInterval)
    return;
  const bool Stating = Last.RateLimit || Last.Leaving || Last.Malformed;
  if (Stating || Reporting)
    Log.state(
        "server_load",
        {{"server", Server.Id},
         {"born", Server.StartTimeMillis},
         {"stated_limit",
          Last.RateLimit ? nlohmann::ordered_json(Last.RateLimit->PerSecond)
                         : nlohmann::ordered_json(nullptr)},
         {"leaving", Last.Leaving},
         {"malformed", Last.Malformed},
         {"forwarded", Current.Forwarded},
         {"inner", Current.Inner},
         {"queued_first", Current.Queued},
         {"over_ms", milliseconds(Elapsed)}});
  Reporting = Stating;
  Current = {};
  CountedSince = Clock.now();
}

} // namespace relay
