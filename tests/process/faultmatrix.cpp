#include "process/faultmatrix.h"

#include "base/errors.h"

#include <doctest/doctest.h>

#include <iterator>

namespace process {

namespace {

/// Short enough that calls time out while their backend server is paused.
constexpr std::chrono::milliseconds kResponseTimeout(700);

std::string nextOrder() {
  static std::atomic<int> Count = 0;
  return "order-" + std::to_string(++Count);
}

/// Describes how a response contradicts whether its order was executed; empty
/// if it does not.
std::string findViolation(const Exchange &Finished, bool Executed) {
  const Response &Received = Finished.Received;
  if (Received.Transfer == http::ExchangeStatus::NotSent)
    return Executed ? "executed, but never sent" : "";
  if (!Received.complete())
    return "";
  if (Received.Outcome == "ran") {
    if (!Executed)
      return "not executed";
    return Received.Body.ends_with(" " + Finished.Order + "\n")
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

LoadGenerator::LoadGenerator(std::vector<std::string> EntryUrls,
                             int CallerCount)
    : EntryUrls(std::move(EntryUrls)) {
  Callers.reserve(static_cast<std::size_t>(CallerCount));
  for (int Caller = 0; Caller < CallerCount; ++Caller)
    Callers.emplace_back([this, Caller] { callLoop(Caller); });
}

LoadGenerator::~LoadGenerator() { stop(); }

bool LoadGenerator::waitForServed(int Count) const {
  const int Target = ServedCount + Count;
  return waitUntil([&] { return ServedCount >= Target; });
}

std::vector<Exchange> LoadGenerator::stop() {
  Stopping = true;
  for (std::thread &Each : Callers)
    if (Each.joinable())
      Each.join();
  return std::move(Exchanges);
}

void LoadGenerator::callLoop(int Caller) {
  for (std::size_t Turn = static_cast<std::size_t>(Caller); !Stopping; ++Turn) {
    const std::string Order = nextOrder();
    http::Request Request{
        "POST", "/bookings/open", "", {{"X-Order", Order}}, Order};
    if (Caller % 2 == 0) {
      Request.Path = "/bookings/orders";
      Request.Headers.push_back({"Jackdaw-Key", kGoldKey});
    }
    Response Received = send(EntryUrls[Turn % EntryUrls.size()], Request);
    const bool Ran = Received.complete() && Received.Outcome == "ran";
    if (Received.Outcome == "unknown")
      ++UnknownOutcomes;
    {
      const std::lock_guard Lock(Mutex);
      Exchanges.push_back({Order, std::move(Received)});
    }
    if (Ran)
      ++ServedCount;
    else
      std::this_thread::sleep_for(std::chrono::milliseconds(2));
  }
}

FaultMatrix::FaultMatrix()
    : Entry(Fleet.addDaemon(
          {.Instance = "entry", .Flags = {"--drain-ms", "500"}})),
      OtherEntry(Fleet.addDaemon({.Instance = "entry2", .DataCentre = "dc2"})),
      Serving(Fleet.addDaemon({.Instance = "serving",
                               .Service = "bookings",
                               .Flags = {"--drain-ms", "2500"}})),
      OtherServing(Fleet.addDaemon({.Instance = "serving2",
                                    .DataCentre = "dc2",
                                    .Service = "bookings"})),
      Backend("bookings", 0, {"--work-us", "5000", "--slots", "4"}),
      OtherBackend("bookings", 0, {"--work-us", "5000", "--slots", "4"}),
      BackendProxy(Backend.port()), OtherBackendProxy(OtherBackend.port()) {
  Fleet.configure({{"fleet.toml", fleetFile()},
                   {"bookings.toml",
                    serviceFileWith({{"gold", kGoldKey}, {"tin", kTinKey}})}});
  Serving.registerBackend(BackendProxy.port());
  OtherServing.registerBackend(OtherBackendProxy.port());
  for (const DaemonUnderTest *Each : {&Entry, &OtherEntry})
    for (const char *Instance : {"serving", "serving2"})
      REQUIRE(waitUntil([&] { return Each->hasUsableMember(Instance); }));
  for (const DaemonUnderTest *Each : {&Entry, &OtherEntry})
    REQUIRE(
        FleetUnderTest::waitUntilServed(*Each, "/bookings/orders", kGoldKey));
}

std::string
FaultMatrix::serviceFileWith(const std::map<std::string, std::string> &Keys) {
  return serviceFile(Keys, kResponseTimeout);
}

void FaultMatrix::restartServing() const {
  Serving.start();
  Serving.registerBackend(BackendProxy.port());
}

std::map<std::string, int> FaultMatrix::executions() const {
  std::map<std::string, int> Total = Backend.executions();
  for (const auto &[Order, Count] : OtherBackend.executions())
    Total[Order] += Count;
  return Total;
}

void FaultMatrix::check(std::vector<Exchange> Exchanges,
                        bool CallersMayDisconnect) {
  for (const DaemonUnderTest *Each : {&Serving, &OtherServing})
    REQUIRE(waitUntil([&] {
      return Each->status("in_flight") == 0 && Each->status("queued") == 0;
    }));
  for (const Exchange &Each : Exchanges)
    if (!Each.Received.complete() &&
        Each.Received.Transfer != http::ExchangeStatus::NotSent &&
        !CallersMayDisconnect)
      FAIL_CHECK(Each.Order << ": no complete response: "
                            << Each.Received.Detail);
  std::move(Exchanges.begin(), Exchanges.end(),
            std::back_inserter(CheckedExchanges));
  const std::map<std::string, int> Executions = executions();
  for (const auto &[Order, Count] : Executions)
    if (Count != 1)
      FAIL_CHECK(Order << ": executed " << Count << " times");
  for (const Exchange &Each : CheckedExchanges) {
    const std::string Violation =
        findViolation(Each, Executions.contains(Each.Order));
    if (!Violation.empty())
      FAIL_CHECK(Each.Order << ": " << Violation << ", outcome "
                            << Each.Received.Outcome << ", error "
                            << Each.Received.Error);
  }
}

} // namespace process
