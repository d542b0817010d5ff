#include "eventloop/eventloop.h"

#include <doctest/doctest.h>
#include <sys/epoll.h>
#include <unistd.h>

#include <array>
#include <thread>

using namespace std::chrono_literals;

namespace {

const base::SystemClock kClock;

} // namespace

// Guards against timers that run out of order or after they are cancelled.
TEST_CASE("timers run in order and cancelled ones do not run") {
  eventloop::EventLoop Loop(kClock);
  std::vector<int> Order;
  Loop.startTimer(20ms, [&] {
    Order.push_back(2);
    Loop.stop();
  });
  Loop.startTimer(5ms, [&] { Order.push_back(1); });
  const auto Cancelled = Loop.startTimer(10ms, [&] { Order.push_back(9); });
  Loop.cancelTimer(Cancelled);
  Loop.run();
  CHECK(Order == std::vector<int>{1, 2});
}

// Guards against a lost wake-up when another thread posts a task to the loop.
TEST_CASE("a task posted by another thread runs at once") {
  eventloop::EventLoop Loop(kClock);
  bool Ran = false;
  std::thread Other([&] {
    Loop.post([&] { Ran = true; });
    Loop.stop();
  });
  Loop.run();
  Other.join();
  CHECK(Ran);
}

// Guards against an event of a closed descriptor that reaches the watch of a
// new descriptor with the same number.
TEST_CASE("a watch replaced during an iteration gets no event of the old one") {
  eventloop::EventLoop Loop(kClock);
  std::array<int, 2> Pipe{};
  REQUIRE(pipe(Pipe.data()) == 0);
  int StaleEvents = 0;
  Loop.watch(Pipe[0], EPOLLIN, [&](std::uint32_t) {
    Loop.unwatch(Pipe[0]);
    Loop.watch(Pipe[0], EPOLLERR, [&](std::uint32_t) { ++StaleEvents; });
    Loop.startTimer(5ms, [&] { Loop.stop(); });
  });
  REQUIRE(write(Pipe[1], "x", 1) == 1);
  Loop.run();
  CHECK(StaleEvents == 0);
  close(Pipe[0]);
  close(Pipe[1]);
}
