#include "standins/logstandin.h"

#include <tclap/CmdLine.h>

#include <csignal>
#include <iostream>

int main(int Count, char **Arguments) {
  try {
    TCLAP::CmdLine Line("Stand-in for the platform log, for tests", ' ', "0.1");
    TCLAP::ValueArg<std::uint16_t> Port(
        "", "port", "port to listen on, 0 for any", false, 0, "number", Line);
    TCLAP::ValueArg<std::size_t> Retention("", "retention",
                                           "maximum number of records kept",
                                           false, 100000, "number", Line);
    Line.parse(Count, Arguments);
    sigset_t Signals;
    sigemptyset(&Signals);
    sigaddset(&Signals, SIGINT);
    sigaddset(&Signals, SIGTERM);
    pthread_sigmask(SIG_BLOCK, &Signals, nullptr);
    const standins::LogStandIn Log(Port.getValue(), Retention.getValue());
    std::cout << "port " << Log.port() << std::endl;
    int Received = 0;
    sigwait(&Signals, &Received);
    return 0;
  } catch (const TCLAP::ArgException &Error) {
    std::cerr << "standin-log: " << Error.error() << "\n";
  } catch (const std::exception &Error) {
    std::cerr << "standin-log: " << Error.what() << "\n";
  }
  return 1;
}
