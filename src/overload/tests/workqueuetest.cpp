#include "overload/workqueue.h"

#include <doctest/doctest.h>

using namespace std::chrono_literals;
using namespace overload;

namespace {

struct Fixture {
  base::RequestId add(WorkKind Kind, base::Duration Wait = 1s) {
    QueueEntry Entry;
    Entry.Id = base::makeRandomId<base::RequestId>();
    Entry.Deadline = Clock.now() + Wait;
    CHECK(!Queue.push(Entry, Kind));
    return Entry.Id;
  }

  base::ManualClock Clock;
  WorkQueue Queue{Clock, {64, 10s}};
};

} // namespace

// Load pattern: calls of requests under way hold all slots of a service for as
// long as a service further down is slow. Guards against requests that need
// only this service and get no slot.
TEST_CASE_FIXTURE(Fixture, "every third slot goes to new requests that wait") {
  for (int Count = 0; Count < 12; ++Count)
    add(WorkKind::Ongoing);
  const auto First = add(WorkKind::New);
  const auto Second = add(WorkKind::New);
  for (int Round = 0; Round < 2; ++Round) {
    Queue.pop();
    Queue.pop();
    const auto Next = Queue.pop();
    REQUIRE(Next);
    CHECK(Next->Entry.Id == (Round == 0 ? First : Second));
  }
  for (int Count = 0; Count < 8; ++Count)
    CHECK(Queue.pop());
  CHECK(!Queue.pop());
}

// Guards against slots that stay free while there is work of the other kind.
TEST_CASE_FIXTURE(Fixture, "either kind uses all slots if it is alone") {
  for (int Count = 0; Count < 9; ++Count)
    add(WorkKind::New);
  for (int Count = 0; Count < 9; ++Count)
    CHECK(Queue.pop());
  for (int Count = 0; Count < 9; ++Count)
    add(WorkKind::Ongoing);
  for (int Count = 0; Count < 9; ++Count)
    CHECK(Queue.pop());
}

TEST_CASE_FIXTURE(Fixture,
                  "entries of both kinds expire and can be cancelled") {
  add(WorkKind::New, 10ms);
  add(WorkKind::Ongoing, 10ms);
  Queue.cancel(add(WorkKind::New));
  Queue.cancel(add(WorkKind::Ongoing));
  CHECK(Queue.size() == 2);
  Clock.advance(20ms);
  CHECK(Queue.takeExpired().size() == 2);
  CHECK(!Queue.pop());
}
