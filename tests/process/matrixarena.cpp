#include "process/matrixarena.h"

#include "base/errors.h"

#include <doctest/doctest.h>

#include <iterator>

namespace process {

namespace {

/// Short, so that calls time out while their backend server is paused.
constexpr std::chrono::milliseconds kResponseTimeout(700);

std::string nextOrder() {
  static std::atomic<int> Count = 0;
  return "order-" + std::to_string(++Count);
}

/// What is wrong with an answer, given whether its order was executed.
std::string faultOf(const Exchange &Ended, bool Executed) {
  const Answer &Received = Ended.Received;
  if (Received.Arrival == http::ExchangeStatus::NotSent)
    return Executed ? "executed, but never sent" : "";
  if (!Received.whole())
    return "";
  if (Received.Outcome == "ran") {
    if (!Executed)
      return "not executed";
    return Received.Body.ends_with(" " + Ended.Order + "\n")
               ? ""
               : "response of another order: " + Received.Body;
  }
  if (Received.Outcome == "not-run" && Executed)
    return "executed";
  if (Received.Outcome != "not-run" && Received.Outcome != "unknown")
    return "no known outcome";
  return base::errorKindFromName(Received.Error) ? "" : "no known error kind";
}

} // namespace

Load::Load(std::vector<std::string> EntryUrls, int CallerCount)
    : EntryUrls(std::move(EntryUrls)) {
  Callers.reserve(static_cast<std::size_t>(CallerCount));
  for (int Caller = 0; Caller < CallerCount; ++Caller)
    Callers.emplace_back([this, Caller] { callLoop(Caller); });
}

Load::~Load() { stop(); }

bool Load::serveMore(int Count) const {
  const int Wanted = Served + Count;
  return waitUntil([&] { return Served >= Wanted; });
}

std::vector<Exchange> Load::stop() {
  Stopping = true;
  for (std::thread &Each : Callers)
    if (Each.joinable())
      Each.join();
  return std::move(Exchanges);
}

void Load::callLoop(int Caller) {
  for (std::size_t Turn = static_cast<std::size_t>(Caller); !Stopping; ++Turn) {
    const std::string Order = nextOrder();
    http::Request Request{
        "POST", "/bookings/open", "", {{"X-Order", Order}}, Order};
    if (Caller % 2 == 0) {
      Request.Path = "/bookings/orders";
      Request.Headers.push_back({"Jackdaw-Key", kGoldKey});
    }
    Answer Received = send(EntryUrls[Turn % EntryUrls.size()], Request);
    const bool Ran = Received.whole() && Received.Outcome == "ran";
    if (Received.Outcome == "unknown")
      ++Unknown;
    {
      const std::lock_guard Lock(Mutex);
      Exchanges.push_back({Order, std::move(Received)});
    }
    if (Ran)
      ++Served;
    else
      std::this_thread::sleep_for(std::chrono::milliseconds(2));
  }
}

MatrixArena::MatrixArena()
    : Entry(
          All.addDaemon({.Instance = "entry", .Flags = {"--drain-ms", "500"}})),
      OtherEntry(All.addDaemon({.Instance = "entry2", .DataCentre = "dc2"})),
      Serving(All.addDaemon({.Instance = "serving",
                             .Service = "bookings",
                             .Flags = {"--drain-ms", "2500"}})),
      OtherServing(All.addDaemon({.Instance = "serving2",
                                  .DataCentre = "dc2",
                                  .Service = "bookings"})),
      Backend("bookings", 0, {"--work-us", "5000", "--slots", "4"}),
      OtherBackend("bookings", 0, {"--work-us", "5000", "--slots", "4"}),
      Relay(Backend.port()), OtherRelay(OtherBackend.port()) {
  All.configure(
      {{"fleet.toml", fleetFile()},
       {"bookings.toml", file({{"gold", kGoldKey}, {"tin", kTinKey}})}});
  Serving.registerBackend(Relay.port());
  OtherServing.registerBackend(OtherRelay.port());
  for (const DaemonUnderTest *Each : {&Entry, &OtherEntry})
    for (const char *Instance : {"serving", "serving2"})
      REQUIRE(waitUntil([&] { return Each->sees(Instance); }));
  for (const DaemonUnderTest *Each : {&Entry, &OtherEntry})
    REQUIRE(Fleet::serves(*Each, "/bookings/orders", kGoldKey));
}

std::string MatrixArena::file(const std::map<std::string, std::string> &Keys) {
  return serviceFile(Keys, kResponseTimeout);
}

void MatrixArena::restartServing() const {
  Serving.start();
  Serving.registerBackend(Relay.port());
}

std::map<std::string, int> MatrixArena::executions() const {
  std::map<std::string, int> All = Backend.executions();
  for (const auto &[Order, Count] : OtherBackend.executions())
    All[Order] += Count;
  return All;
}

void MatrixArena::check(std::vector<Exchange> Exchanges, bool CallersMayBreak) {
  for (const DaemonUnderTest *Each : {&Serving, &OtherServing})
    REQUIRE(waitUntil([&] {
      return Each->status("in_flight") == 0 && Each->status("queued") == 0;
    }));
  for (const Exchange &Each : Exchanges)
    if (!Each.Received.whole() &&
        Each.Received.Arrival != http::ExchangeStatus::NotSent &&
        !CallersMayBreak)
      FAIL_CHECK(Each.Order << ": no whole response: " << Each.Received.Detail);
  std::move(Exchanges.begin(), Exchanges.end(), std::back_inserter(Checked));
  const std::map<std::string, int> Executions = executions();
  for (const auto &[Order, Count] : Executions)
    if (Count != 1)
      FAIL_CHECK(Order << ": executed " << Count << " times");
  for (const Exchange &Each : Checked) {
    const std::string Fault = faultOf(Each, Executions.contains(Each.Order));
    if (!Fault.empty())
      FAIL_CHECK(Each.Order << ": " << Fault << ", outcome "
                            << Each.Received.Outcome << ", error "
                            << Each.Received.Error);
  }
}

} // namespace process
