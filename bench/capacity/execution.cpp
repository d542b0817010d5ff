#include "measure.h"

#include "base/codec.h"
#include "execution/executiontable.h"
#include "execution/idempotencytable.h"

#include <chrono>
#include <memory>
#include <string>
#include <vector>

namespace capacity {

namespace {

using namespace std::chrono_literals;
using namespace execution;

constexpr std::size_t kCallCounts[] = {1000, 10000, 60000};
constexpr std::size_t kBodyBytes = 200;
constexpr std::size_t kMemoryLimitBytes = std::size_t{64} << 20;

const base::ProcessId kSelf{base::InstanceId("instance-0"),
                            base::Incarnation(1'700'000'000'000'000)};
const base::ProcessId kPeer{base::InstanceId("instance-1"),
                            base::Incarnation(1'700'000'000'000'000)};

CallContext makeCall(std::size_t Index) {
  CallContext Call;
  Call.Identity.Id = base::makeRandomId<base::CallId>();
  Call.Identity.Sender = kPeer;
  Call.Identity.Sequence = CallSequence(Index + 1);
  Call.Identity.Target = kSelf;
  Call.Scope.Workspace = base::WorkspaceName("flanders-walks");
  Call.Service = base::ServiceName("bookings");
  Call.TimeLeftMicros = 1'000'000;
  return Call;
}

Response makeResponse() {
  Response Result;
  Result.Outcome = base::Outcome::Ran;
  Result.Status = 200;
  Result.Headers = {{"Content-Type", "application/json"}};
  Result.Body = std::string(kBodyBytes, 'x');
  return Result;
}

IdempotencyBegin makeBegin(std::size_t Index, base::WallTime Now) {
  IdempotencyBegin Begin;
  Begin.Request.Service = base::ServiceName("bookings");
  Begin.Request.Workspace = base::WorkspaceName("flanders-walks");
  const auto Millis = static_cast<std::uint64_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(
          Now.time_since_epoch())
          .count());
  auto &Bytes = Begin.Request.Key.Bytes;
  for (std::size_t Byte = 0; Byte < 6; ++Byte)
    Bytes[Byte] = static_cast<std::uint8_t>(Millis >> (8 * (5 - Byte)));
  // Version and variant of a UUIDv7.
  Bytes[6] = 0x70;
  Bytes[8] = 0x80;
  for (std::size_t Byte = 0; Byte < 4; ++Byte)
    Bytes[12 + Byte] = static_cast<std::uint8_t>(Index >> (8 * Byte));
  Begin.Attempt = base::makeRandomId<AttemptId>();
  return Begin;
}

void measureExecutionTable(std::size_t Count) {
  const std::string Size = "calls=" + std::to_string(Count);
  base::ManualClock Clock;
  std::vector<CallContext> Calls;
  for (std::size_t Index = 0; Index < Count; ++Index)
    Calls.push_back(makeCall(Index));
  const std::size_t Before = heapBytes();
  ExecutionTable Table(Clock, kSelf);
  const double Micros = microsEach(Count, [&](std::size_t Index) {
    const CallContext &Call = Calls[Index];
    Table.admit(Call, ConnectionId(1));
    Table.start(Call.Identity.Id);
    Table.finish(Call.Identity.Id,
                 std::make_shared<const Response>(makeResponse()));
  });
  const auto StoredBytes = static_cast<double>(heapBytes() - Before);
  printRow("execution", Size, "us per call (admit, start, finish)", Micros);
  printRow("execution", Size, "bytes per call with stored response",
           StoredBytes / static_cast<double>(Count));
  Clock.advance(61s);
  Table.tick();
  printRow("execution", Size, "bytes per completed call without response",
           static_cast<double>(heapBytes() - Before) /
               static_cast<double>(Count));
}

void measureIdempotencyTable(std::size_t Count) {
  const std::string Size = "keys=" + std::to_string(Count);
  base::ManualClock Clock;
  MemoryBudget Memory(kMemoryLimitBytes);
  IdempotencyTable Table(Clock, Memory);
  Clock.advance(10s);
  std::vector<IdempotencyBegin> Begins;
  for (std::size_t Index = 0; Index < Count; ++Index)
    Begins.push_back(makeBegin(Index, Clock.wallNow()));
  const std::size_t Before = heapBytes();
  std::size_t Run = 0;
  const double BeginMicros = microsEach(Count, [&](std::size_t Index) {
    Run += Table.begin(Begins[Index]).Decision == IdempotencyDecision::Run;
  });
  printRow("idempotency", Size, "us per begin", BeginMicros);
  printRow("idempotency", Size, "share of keys that may run",
           static_cast<double>(Run) / static_cast<double>(Count));
  printRow("idempotency", Size, "bytes per record in progress",
           static_cast<double>(heapBytes() - Before) /
               static_cast<double>(Count));
  IdempotencyFinish Finish;
  Finish.Outcome = base::Outcome::Ran;
  Finish.ResponseToStore = makeResponse();
  printRow("idempotency", Size, "us per finish",
           microsEach(Count, [&](std::size_t Index) {
             Finish.Request = Begins[Index].Request;
             Finish.Attempt = Begins[Index].Attempt;
             Table.finish(Finish);
           }));
  printRow("idempotency", Size, "bytes per record with response",
           static_cast<double>(heapBytes() - Before) /
               static_cast<double>(Count));
  printRow("idempotency", Size, "encoded bytes of begin",
           static_cast<double>(base::encode(Begins[0]).size()));
  printRow("idempotency", Size, "encoded bytes of finish",
           static_cast<double>(base::encode(Finish).size()));
}

} // namespace

void measureExecutions() {
  for (const std::size_t Count : kCallCounts)
    measureExecutionTable(Count);
  printRow("execution", "body=200", "encoded bytes of a call's context",
           static_cast<double>(base::encode(makeCall(0)).size()));
}

void measureIdempotency() {
  for (const std::size_t Count : kCallCounts)
    measureIdempotencyTable(Count);
}

} // namespace capacity
