#include "node/daemon.h"

#include <easylogging++.h>

#include <csignal>
#include <ctime>
#include <iostream>

INITIALIZE_EASYLOGGINGPP

namespace {

constexpr int kInvalidSettingsExit = 2;
constexpr int kStartFailedExit = 1;
constexpr int kSupersededExit = 3;

void configureLog() {
  el::Configurations Format;
  Format.setToDefault();
  Format.setGlobally(el::ConfigurationType::Format,
                     "%datetime{%Y-%M-%dT%H:%m:%s.%g} %level %msg");
  Format.setGlobally(el::ConfigurationType::ToFile, "false");
  Format.setGlobally(el::ConfigurationType::ToStandardOutput, "true");
  el::Loggers::reconfigureAllLoggers(Format);
}

node::DaemonSettings readSettings(int Count, char **Arguments) {
  const base::Settings Values = base::readSettingsOrExit(
      node::daemonSettingsTable(),
      "jackdawd: overload control beside one backend server", Count, Arguments);
  std::vector<std::string> Errors;
  node::DaemonSettings Settings = node::makeDaemonSettings(Values, Errors);
  for (const std::string &Problem : Errors)
    std::cerr << "error: " << Problem << "\n";
  if (!Errors.empty())
    std::exit(kInvalidSettingsExit);
  return Settings;
}

/// Waits for a stop signal. Returns true if a newer process of this instance
/// has replaced this one instead.
bool waitForStop(const node::Daemon &Running, const sigset_t &Signals) {
  const timespec Interval{0, 500'000'000};
  while (sigtimedwait(&Signals, nullptr, &Interval) < 0)
    if (Running.isSuperseded())
      return true;
  return false;
}

} // namespace

int main(int Count, char **Arguments) {
  std::signal(SIGPIPE, SIG_IGN);
  sigset_t Signals;
  sigemptyset(&Signals);
  sigaddset(&Signals, SIGTERM);
  sigaddset(&Signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &Signals, nullptr);
  configureLog();
  const node::DaemonSettings Settings = readSettings(Count, Arguments);

  std::unique_ptr<node::Daemon> Running;
  std::string Problem;
  boost::leaf::try_handle_all(
      [&]() -> base::Result<void> {
        BOOST_LEAF_ASSIGN(Running, node::Daemon::start(Settings));
        return {};
      },
      [&Problem](const base::Error &Failure) { Problem = Failure.Detail; },
      [&Problem] { Problem = "the daemon did not start: unknown error"; });
  if (!Running) {
    std::cerr << "error: " << Problem << "\n";
    return kStartFailedExit;
  }
  const node::DaemonPorts Ports = Running->ports();
  // A single write, because log lines go to the same stream.
  std::cout << "ports caller " + std::to_string(Ports.Caller) + " peer " +
                   std::to_string(Ports.Peer) + " administration " +
                   std::to_string(Ports.Administration) + "\n"
            << std::flush;
  if (waitForStop(*Running, Signals)) {
    std::cerr << "error: a newer process of this instance is running\n";
    return kSupersededExit;
  }
  Running->drain();
  return 0;
}
