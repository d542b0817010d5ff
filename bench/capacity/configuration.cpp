#include "measure.h"

#include "platformlog/fleetrecord.h"
#include "platformlog/fleetsnapshot.h"

#include <chrono>
#include <cstdlib>
#include <string>

namespace capacity {

namespace {

using namespace config;

constexpr std::size_t kServices = 130;
/// Workspaces in each of the `kServices` files.
constexpr std::size_t kWorkspaceCounts[] = {8, 100, 1000};

std::string serviceText(std::size_t Workspaces) {
  std::string Text = "[backend]\nslots = 60\nconnections = 470\n\n"
                     "[[route]]\nprefix = \"/orders\"\npriority = \"critical\""
                     "\nnon_idempotent = true\n\n"
                     "[[route]]\nprefix = \"/\"\n";
  for (std::size_t Index = 0; Index < Workspaces; ++Index) {
    const std::string Name = "workspace-" + std::to_string(Index);
    Text += "\n[[workspace]]\nname = \"" + Name + "\"\nkey_digests = [\"" +
            digestKey(Name).str() + "\"]\nrate = 100\nburst = 200\n";
  }
  return Text;
}

std::string fileName(std::size_t Index) {
  return "service-" + std::to_string(Index) + ".toml";
}

ConfigChange makeChange(const ConfigState &State, std::size_t Service,
                        const std::string &Text) {
  ConfigChange Change;
  Change.Id = base::makeRandomId<PublishId>();
  Change.File = fileName(Service);
  Change.BaseVersion = State.fileVersion(Change.File);
  Change.Content = Text;
  Change.Operator = "operator";
  return Change;
}

void measureSnapshot(const std::string &Size, const ConfigState &State,
                     base::LogOffset End) {
  const platformlog::FleetSnapshot Snapshot{End, State, "", ""};
  std::string Bytes;
  printRow("configuration", Size, "ms to encode a snapshot",
           microsEach(1, [&](std::size_t) {
             Bytes = platformlog::encodeRecord(
                 platformlog::RecordKind::Snapshot, Snapshot);
           }) / 1000);
  printRow("configuration", Size, "snapshot bytes (configuration part)",
           static_cast<double>(Bytes.size()));
  printRow(
      "configuration", Size, "ms to decode a snapshot",
      microsEach(1, [&](std::size_t) {
        const auto Envelope = platformlog::decodeRecord(Bytes);
        if (!platformlog::decode<platformlog::FleetSnapshot>(Envelope->Payload))
          std::abort();
      }) / 1000);
}

void measureFiles(std::size_t Workspaces) {
  const std::string Size = "files=130 workspaces=" + std::to_string(Workspaces);
  const std::string Text = serviceText(Workspaces);
  const std::size_t HeapBefore = heapBytes();
  ConfigState State;
  std::uint64_t Offset = 0;
  for (std::size_t Service = 0; Service < kServices; ++Service)
    if (State
            .apply(base::LogOffset(++Offset), makeChange(State, Service, Text))
            ->Kind != ChangeOutcomeKind::Accepted)
      std::abort();
  const auto UsedBytes = static_cast<double>(heapBytes() - HeapBefore);
  printRow("configuration", Size, "bytes of one file",
           static_cast<double>(Text.size()));
  printRow("configuration", Size, "bytes in memory, all files", UsedBytes);
  printRow("configuration", Size, "bytes in memory per workspace",
           UsedBytes / static_cast<double>(kServices * Workspaces));
  const ConfigChange Change = makeChange(State, 0, Text);
  const std::string Record =
      platformlog::encodeRecord(platformlog::RecordKind::ConfigChange, Change);
  printRow("configuration", Size, "encoded bytes of a change record",
           static_cast<double>(Record.size()));
  printRow("configuration", Size, "us to apply one change",
           microsEach(10, [&](std::size_t Service) {
             State.apply(base::LogOffset(++Offset),
                         makeChange(State, Service, Text));
           }));
  const auto Current = State.current();
  const Service *Found = Current->service(base::ServiceName("service-7"));
  printRow("configuration", Size, "us per key check (digest and lookup)",
           microsEach(20000, [&](std::size_t) {
             if (Found->workspaceByKey(digestKey("workspace-3")) == nullptr)
               std::abort();
           }));
  measureSnapshot(Size, State, base::LogOffset(Offset));
}

} // namespace

void measureConfiguration() {
  for (const std::size_t Workspaces : kWorkspaceCounts)
    measureFiles(Workspaces);
}

} // namespace capacity
