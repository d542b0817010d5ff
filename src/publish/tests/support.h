#ifndef JACKDAW_PUBLISH_TESTS_SUPPORT_H
#define JACKDAW_PUBLISH_TESTS_SUPPORT_H

#include "config/tests/examples.h"
#include "platformlog/fleetsnapshot.h"
#include "platformlog/httplogclient.h"
#include "publish/publisher.h"
#include "standins/logstandin.h"

#include <optional>
#include <string>

namespace publish::testing {

using config::examples::fleetText;
using config::examples::serviceText;

inline platformlog::HttpLogSettings clientSettings(const std::string &Url) {
  platformlog::HttpLogSettings Settings;
  Settings.Url = Url;
  Settings.CallTimeout = std::chrono::milliseconds(150);
  Settings.ConnectTimeout = std::chrono::milliseconds(150);
  return Settings;
}

/// An operator with a client of the stand-in log.
struct Operator {
  Operator(const standins::LogStandIn &Log, const std::string &Name,
           std::chrono::milliseconds Timeout = std::chrono::seconds(5),
           bool AllowRemoval = false)
      : Client(clientSettings(Log.url())),
        OwnPublisher(Client, Clock,
                     {.Timeout = Timeout,
                      .AllowRemoval = AllowRemoval,
                      .Operator = Name,
                      .Since = std::nullopt}) {}

  /// Publishes based on the state read last.
  std::vector<ChangeResult> publish(const FileMap &Files) {
    return OwnPublisher.publish(OwnPublisher.plan(Files));
  }

  base::SystemClock Clock;
  platformlog::HttpLogClient Client;
  Publisher OwnPublisher;
};

/// Returns whether the state could be read; if not, sets `Kind` to the kind of
/// the error.
inline bool readState(Publisher &Target,
                      platformlog::LogErrorKind *Kind = nullptr) {
  return boost::leaf::try_handle_all(
      [&]() -> base::Result<bool> {
        BOOST_LEAF_CHECK(Target.readState());
        return true;
      },
      [&](const platformlog::LogError &Error) {
        if (Kind)
          *Kind = Error.Kind;
        return false;
      },
      [] { return false; });
}

/// Applies all records that the stand-in retains to `State`, without HTTP.
inline void catchUp(const standins::LogStandIn &Log,
                    config::ConfigState &State) {
  for (std::uint64_t Offset = State.applied().value() + 1; Offset <= Log.end();
       ++Offset) {
    const auto Bytes = Log.record(Offset);
    const auto Record = platformlog::decodeRecord(Bytes.value_or(""));
    if (Record && Record->Kind == platformlog::RecordKind::ConfigChange)
      if (const auto Change =
              platformlog::decode<config::ConfigChange>(Record->Payload))
        State.apply(base::LogOffset(Offset), *Change);
    State.advanceTo(base::LogOffset(Offset));
  }
}

inline void appendSnapshot(standins::LogStandIn &Log,
                           const config::ConfigState &State) {
  platformlog::FleetSnapshot Snapshot;
  Snapshot.LastOffset = State.applied();
  Snapshot.Config = State;
  Log.append(
      platformlog::encodeRecord(platformlog::RecordKind::Snapshot, Snapshot));
}

} // namespace publish::testing

#endif // JACKDAW_PUBLISH_TESTS_SUPPORT_H
