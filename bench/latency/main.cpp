#include "base/settings.h"
#include "openloop.h"

#include <csignal>
#include <cstdio>

namespace {

using base::SettingType;
using latency::LoadTarget;
using latency::OpenLoop;
using latency::Samples;

/// Length of a measurement window. Direct and relayed windows alternate, so
/// that other load on the machine affects both alike.
constexpr std::chrono::seconds kWindow{2};
constexpr std::chrono::milliseconds kWarmUp{500};
/// Target for the added latency at the 99th percentile. It applies to rates up
/// to `kTargetCallsPerSecond`.
constexpr double kTargetAddedMillis = 1.5;
constexpr double kTargetCallsPerSecond = 250;

const std::vector<base::SettingSpec> kTable{
    {"backend-url", SettingType::Text, "", "", 0, 0, true, false,
     "URL of the backend server for direct calls"},
    {"daemon-url", SettingType::Text, "", "", 0, 0, true, false,
     "URL of the service at the entry daemon"},
    {"key", SettingType::Text, "", "", 0, 0, true, false, "key of a workspace"},
    {"connections", SettingType::Number, "", "16", 1, 256, false, false,
     "keep-alive connections to each server"},
    {"windows", SettingType::Number, "", "5", 1, 1000, false, false,
     "windows of 2 s for each row and server"}};

struct Route {
  const char *Name;
  const char *Method;
  const char *Path;
};

constexpr Route kRoutes[] = {{"idempotent", "GET", "/schedules/7"},
                             {"non-idempotent", "POST", "/bookings/7"}};
constexpr double kRates[] = {250, 1000};

double milliseconds(base::Duration Value) {
  return std::chrono::duration<double, std::milli>(Value).count();
}

LoadTarget targetFor(const std::string &Url, const Route &Kind,
                     const std::string &Key) {
  const std::string Body =
      std::string(Kind.Method) == "POST" ? "two adults, 10:30" : "";
  return {Url, {Kind.Method, Kind.Path, "", {{"Jackdaw-Key", Key}}, Body}};
}

/// Measures and prints one row of the table; false if it misses its target.
bool measure(const base::Settings &Values, const Route &Kind, double Rate) {
  const auto Connections = static_cast<unsigned>(Values.number("connections"));
  const std::string &Key = Values.text("key");
  OpenLoop Direct(targetFor(Values.text("backend-url"), Kind, Key),
                  Connections);
  OpenLoop Relayed(targetFor(Values.text("daemon-url"), Kind, Key),
                   Connections);
  LoadTarget FreshTarget = targetFor(Values.text("backend-url"), Kind, Key);
  FreshTarget.FreshConnection = true;
  OpenLoop Fresh(FreshTarget, Connections);
  Direct.run(Rate, kWarmUp);
  Relayed.run(Rate, kWarmUp);
  Samples DirectSamples;
  Samples RelayedSamples;
  Samples FreshSamples;
  for (std::int64_t Window = 0; Window < Values.number("windows"); ++Window) {
    DirectSamples.add(Direct.run(Rate, kWindow));
    RelayedSamples.add(Relayed.run(Rate, kWindow));
    FreshSamples.add(Fresh.run(Rate, kWindow));
  }
  const double Direct50 = milliseconds(DirectSamples.quantile(0.5));
  const double Direct99 = milliseconds(DirectSamples.quantile(0.99));
  const double Relayed50 = milliseconds(RelayedSamples.quantile(0.5));
  const double Relayed99 = milliseconds(RelayedSamples.quantile(0.99));
  const double Added99 = Relayed99 - Direct99;
  const bool HasTarget = Rate <= kTargetCallsPerSecond;
  const bool Met = Added99 <= kTargetAddedMillis && RelayedSamples.Failed == 0;
  std::printf("%-15s %6.0f %8.3f %8.3f %8.3f %8.3f %8.3f %8.3f %6zu %6zu "
              "%8.3f %8.3f  %s\n",
              Kind.Name, Rate, Direct50, Direct99, Relayed50, Relayed99,
              Relayed50 - Direct50, Added99, DirectSamples.Failed,
              RelayedSamples.Failed, milliseconds(FreshSamples.quantile(0.5)),
              milliseconds(FreshSamples.quantile(0.99)),
              !HasTarget ? "-"
              : Met      ? "met"
                         : "MISSED");
  std::fflush(stdout);
  return !HasTarget || Met;
}

} // namespace

int main(int Count, char **Arguments) {
  std::signal(SIGPIPE, SIG_IGN);
  const base::Settings Values = base::readSettingsOrExit(
      kTable, "measures the latency that two daemons add to a call", Count,
      Arguments);
  std::printf("milliseconds; target: at most %.1f added at p99 at %.0f "
              "calls/s\n",
              kTargetAddedMillis, kTargetCallsPerSecond);
  std::printf("dir: direct, via: through two daemons, both on kept connections;"
              " new: direct on a new connection for each call\n");
  std::printf("%-15s %6s %8s %8s %8s %8s %8s %8s %6s %6s %8s %8s  %s\n",
              "route", "call/s", "dir p50", "dir p99", "via p50", "via p99",
              "add p50", "add p99", "d.fail", "v.fail", "new p50", "new p99",
              "target");
  bool AllMet = true;
  for (const double Rate : kRates)
    for (const Route &Kind : kRoutes)
      AllMet = measure(Values, Kind, Rate) && AllMet;
  return AllMet ? 0 : 1;
}
