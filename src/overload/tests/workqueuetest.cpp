#include "overload/workqueue.h"

#include <doctest/doctest.h>

using namespace std::chrono_literals;
using namespace overload;

namespace {

struct Fixture {
  base::CallId add(WorkKind Kind, base::Duration Wait = 1s) {
    QueueEntry Entry;
    Entry.Id = base::makeRandomId<base::CallId>();
    Entry.Deadline = Clock.now() + Wait;
    CHECK(!Queue.push(Entry, Kind));
    return Entry.Id;
  }

  base::ManualClock Clock;
  WorkQueue Queue{Clock, {64, 10s}};
};

} // namespace

// Load pattern: calls of requests in progress occupy all slots of a service
// while a downstream service is slow. Guards against starvation of requests
// that need only this service.
TEST_CASE_FIXTURE(Fixture, "every third slot goes to waiting new requests") {
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

// Guards against slots that stay free while entries of the other kind wait.
TEST_CASE_FIXTURE(Fixture,
                  "each kind can use all slots if the other has none") {
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

// Guards against refusing a request because of queued work that would not run
// before it.
TEST_CASE_FIXTURE(Fixture, "only the work that would run first counts as "
                           "ahead of a new entry") {
  const base::WorkspaceName Large("large");
  const base::WorkspaceName Small("small");
  for (int Count = 0; Count < 10; ++Count) {
    QueueEntry Entry;
    Entry.Id = base::makeRandomId<base::CallId>();
    Entry.Workspace = Large;
    Entry.Deadline = Clock.now() + 1s;
    CHECK(!Queue.push(Entry, WorkKind::New));
  }
  const auto Ahead = [&](WorkKind Kind, base::PriorityClass Class,
                         const base::WorkspaceName &Workspace) {
    return Queue.sizeAhead(Kind, Class, Workspace);
  };
  using base::PriorityClass;
  CHECK(Ahead(WorkKind::New, PriorityClass::Normal, Large) == 10);
  CHECK(Ahead(WorkKind::New, PriorityClass::Normal, Small) == 1);
  CHECK(Ahead(WorkKind::New, PriorityClass::Critical, Large) == 0);
  CHECK(Ahead(WorkKind::New, PriorityClass::Background, Small) == 10);
  CHECK(Ahead(WorkKind::Ongoing, PriorityClass::Background, Small) == 0);
  for (int Count = 0; Count < 9; ++Count)
    add(WorkKind::Ongoing);
  CHECK(Ahead(WorkKind::New, PriorityClass::Critical, Large) == 2);
  CHECK(Ahead(WorkKind::Ongoing, PriorityClass::Normal, Small) == 2);
}
