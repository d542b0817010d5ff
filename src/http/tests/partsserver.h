#ifndef JACKDAW_HTTP_TESTS_PARTSSERVER_H
#define JACKDAW_HTTP_TESTS_PARTSSERVER_H

#include "base/clock.h"
#include "http/tests/loopbacklistener.h"

#include <netinet/tcp.h>

#include <atomic>
#include <chrono>
#include <string>
#include <thread>
#include <utility>
#include <vector>

/// A server that sends `Parts` to each connection with a pause before each but
/// the first one, and keeps the connection open unless `Close` is set.
class PartsServer {
public:
  /// Time in which bytes on the loopback interface arrive and are read.
  static constexpr base::Duration kArrivalTime = std::chrono::milliseconds(3);

  explicit PartsServer(std::vector<std::string> New, bool Close = false,
                       base::Duration Pause = kArrivalTime)
      : Parts(std::move(New)), Close(Close), Pause(Pause),
        Worker([this] { serve(); }) {}

  ~PartsServer() {
    Listener.stop();
    shutdown(Current, SHUT_RDWR);
    Worker.join();
  }

  std::string url() const { return Listener.url(); }

  std::atomic<int> Connections = 0;

private:
  void serve() {
    for (;;) {
      const int Socket = Listener.acceptOne();
      if (Socket < 0)
        return;
      ++Connections;
      Current = Socket;
      const int On = 1;
      setsockopt(Socket, IPPROTO_TCP, TCP_NODELAY, &On, sizeof(On));
      char Buffer[4096];
      while (read(Socket, Buffer, sizeof(Buffer)) > 0) {
        for (std::size_t Part = 0; Part < Parts.size(); ++Part) {
          if (Part > 0)
            std::this_thread::sleep_for(Pause);
          (void)!send(Socket, Parts[Part].data(), Parts[Part].size(),
                      MSG_NOSIGNAL);
        }
        if (Close)
          break;
      }
      Current = -1;
      close(Socket);
    }
  }

  const std::vector<std::string> Parts;
  const bool Close;
  const base::Duration Pause;
  std::atomic<int> Current = -1;
  LoopbackListener Listener;
  std::thread Worker;
};

#endif // JACKDAW_HTTP_TESTS_PARTSSERVER_H
