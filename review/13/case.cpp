// A client sends single requests with a body that the operator's limits allow.
#include "../common-3/memorycase.h"

using namespace harness;

namespace {

constexpr std::size_t kMaxBodyBytes = 67108864;
constexpr std::size_t kLargeBytes = std::size_t{60} << 20;
constexpr std::size_t kSmallBytes = std::size_t{64} << 10;
constexpr int kUploads = 3;
constexpr std::size_t kUploadedMachines = 2;
static_assert(kLargeBytes < kMaxBodyBytes);

void upload(Deployment &On, Daemon &Machine) {
  const std::string Attempt = newAttempt();
  const std::size_t Bytes = trouble() ? kLargeBytes : kSmallBytes;
  On.Log.line("send " + Attempt + " with a body of " + std::to_string(Bytes) +
              " bytes to " + Machine.Name);
  const auto Connection = Stream::connectTo(Machine.Ip, On.Used.Outbound);
  Connection->sendAll(makeRequest("POST", "/two/x", Attempt, "key-a", 5000,
                                  std::string(Bytes, 'b')));
  const Message Answer = Connection->read(nowMs() + 5500);
  On.Log.line("answer " + Attempt + " " + std::to_string(Answer.Status) +
              (Answer.Complete ? "" : ", the connection has ended"));
}

} // namespace

int main(int, char **Arguments) {
  Deployment On(Arguments);
  for (const char *Service : {"alpha", "alpha", "beta", "beta"})
    On.addMachine(Service, 150);
  On.Platform.writeConfig(1,
                          makeConfig(1,
                                     {{"r-one", "/one/", "alpha", false, 2000},
                                      {"r-two", "/two/", "beta", false, 4000}},
                                     {"key-a"}));
  On.startAll();
  if (!On.waitReady(8000))
    On.finish(2, "not ready");
  sleepMs(5000);
  const auto [Broken, Result] = MemoryCase(On).run([&On] {
    for (int Upload = 0; Upload < kUploads; ++Upload)
      for (std::size_t Index = 0; Index < kUploadedMachines; ++Index) {
        sleepMs(4000);
        upload(On, *On.Daemons[Index]);
      }
  });
  On.finish(Broken ? 1 : 0, Result);
}
