#include "backend/backendstandin.h"
#include "base/settings.h"

#include <csignal>
#include <iostream>
#include <sstream>
#include <thread>

namespace {

using base::SettingType;

const std::vector<base::SettingSpec> kTable{
    {"port", SettingType::Number, "", "0", 0, 65535, false, false,
     "port to listen on, 0 for any"},
    {"service", SettingType::Text, "", "", 0, 0, true, false,
     "service that this backend server belongs to"},
    {"slots", SettingType::Number, "", "8", 1, 10000, false, false,
     "requests executed concurrently"},
    {"work-us", SettingType::Number, "us", "0", 0, 60000000, false, false,
     "execution time of a request"},
    {"daemon-port", SettingType::Number, "", "0", 0, 65535, false, false,
     "caller port of the local daemon to register with, 0 for none"},
    {"calls", SettingType::Text, "", "", 0, 0, false, false,
     "comma-separated calls per request, each service/path"},
    {"journal", SettingType::Text, "", "", 0, 0, false, false,
     "file to append the X-Order of each execution to"}};

std::vector<std::string> split(const std::string &Text) {
  std::vector<std::string> Parts;
  std::istringstream Stream(Text);
  for (std::string Part; std::getline(Stream, Part, ',');)
    Parts.push_back(Part);
  return Parts;
}

} // namespace

int main(int Count, char **Arguments) {
  std::signal(SIGPIPE, SIG_IGN);
  const base::Settings Values = base::readSettingsOrExit(
      kTable, "stand-in for a backend server, for tests", Count, Arguments);
  standins::BackendSettings Settings;
  Settings.Port = static_cast<std::uint16_t>(Values.number("port"));
  Settings.Service = Values.text("service");
  Settings.Slots = static_cast<unsigned>(Values.number("slots"));
  Settings.WorkTime = std::chrono::microseconds(Values.number("work-us"));
  Settings.DaemonPort =
      static_cast<std::uint16_t>(Values.number("daemon-port"));
  Settings.Calls = split(Values.text("calls"));
  Settings.Journal = Values.text("journal");

  sigset_t Signals;
  sigemptyset(&Signals);
  sigaddset(&Signals, SIGTERM);
  sigaddset(&Signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &Signals, nullptr);
  standins::BackendStandIn Backend(Settings);
  std::cout << "port " << Backend.port() << std::endl;
  while (Settings.DaemonPort != 0 && !Backend.registerWithDaemon())
    std::this_thread::sleep_for(std::chrono::milliseconds(50));
  int Signal = 0;
  sigwait(&Signals, &Signal);
  return 0;
}
