#include "relay/fleetsecretloader.h"

#include "base/codec.h"
#include "membership/member.h"
#include "relay/peerdiscovery.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <utility>

namespace relay {

namespace {

using namespace std::chrono_literals;

constexpr base::Duration kInitialBackoff = 50ms;
constexpr base::Duration kMaxBackoff = 500ms;
constexpr base::Duration kRestorePollInterval = 1s;

} // namespace

FleetSecretLoader::FleetSecretLoader(eventloop::EventLoop &Loop,
                                     platformlog::EraTrackingStore &Store,
                                     StructuredLog &Log,
                                     base::InstanceId Instance, bool FirstStart)
    : Loop(Loop), Store(Store), Log(Log), Instance(std::move(Instance)),
      FirstStart(FirstStart), Backoff(kInitialBackoff) {}

void FleetSecretLoader::load(Callback Done) {
  OnLoaded = std::move(Done);
  if (!FirstStart)
    return read();
  std::uniform_int_distribution<base::Duration::rep> Spread(
      0, base::Duration(kFirstReadSpread).count());
  Loop.startTimer(base::Duration(Spread(Random)), [this] { read(); });
}

void FleetSecretLoader::read() {
  Store.readNewestRecords(
      kFleetStream,
      [this](const platformlog::StoreResult &Result) { onStreamRead(Result); });
}

void FleetSecretLoader::onStreamRead(const platformlog::StoreResult &Result) {
  if (Result.Status != platformlog::StoreStatus::Done)
    return retry("read", Result);
  FleetSecret Loaded;
  Loaded.Incarnation = base::Incarnation(static_cast<std::uint64_t>(
      Loop.clock().wallNow().time_since_epoch().count()));
  for (const platformlog::KeyedRecord &Each : Result.Page.Records) {
    if (!Each.Value)
      continue;
    if (Each.Key == kSecretKey)
      Loaded.Secret = *Each.Value;
    if (Each.Key != announcementKey(Instance))
      continue;
    if (const auto Earlier = base::decode<membership::Member>(*Each.Value))
      Loaded.Incarnation =
          std::max(Loaded.Incarnation,
                   base::Incarnation(Earlier->Incarnation.value() + 1));
  }
  if (Loaded.Secret.empty() && awaitsRestore())
    return readLater(kRestorePollInterval);
  if (Loaded.Secret.empty())
    return create(Result.Page.End);
  Loaded.Announcements = Result.Page;
  OnLoaded(Loaded);
}

bool FleetSecretLoader::awaitsRestore() {
  if (FirstStart)
    return false;
  const base::BootTime Now = Loop.clock().now();
  if (!CreateAt) {
    CreateAt = Now + kRestoreWait;
    Log.state("secret_awaited",
              {{"era", Store.era().value()}, {"wait_ms", kRestoreWait / 1ms}});
  }
  return Now < *CreateAt;
}

void FleetSecretLoader::create(base::LogOffset End) {
  const std::string Secret =
      makeFleetSecret(Store.era(), Loop.clock().wallNow());
  Store.append(kFleetStream, {{}, kSecretKey, Secret}, End,
               [this](const platformlog::StoreResult &Result) {
                 using platformlog::StoreStatus;
                 // Another daemon may have created the secret first, so the one
                 // in the store is read back.
                 if (Result.Status == StoreStatus::Done ||
                     Result.Status == StoreStatus::Conflict)
                   return read();
                 retry("create", Result);
               });
}

void FleetSecretLoader::retry(const char *Step,
                              const platformlog::StoreResult &Result) {
  Log.state("secret_unavailable",
            {{"step", Step},
             {"status", platformlog::storeStatusName(Result.Status)},
             {"detail", Result.Detail}});
  readLater(Backoff);
  Backoff = std::min(Backoff * 2, kMaxBackoff);
}

/// The delay varies by half, so that daemons that start together don't ask the
/// store at the same time.
void FleetSecretLoader::readLater(base::Duration Delay) {
  std::uniform_int_distribution<base::Duration::rep> Spread(
      Delay.count() / 2, Delay.count() * 3 / 2);
  Loop.startTimer(base::Duration(Spread(Random)), [this] { read(); });
}

} // namespace relay
