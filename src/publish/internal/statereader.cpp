#include "publish/statereader.h"

#include "platformlog/fleetsnapshot.h"

namespace publish {

namespace {

constexpr std::size_t kRecordsPerPage = 100;

base::LogOffset before(base::LogOffset Offset) {
  return base::LogOffset(Offset.value() - 1);
}

} // namespace

base::Result<ReadProgress>
StateReader::readPage(std::chrono::milliseconds Wait) {
  BOOST_LEAF_AUTO(Page, Log.read(Next, kRecordsPerPage, Wait));
  if (Page.End < before(Next))
    return platformlog::fail(
        platformlog::LogErrorKind::MalformedResponse,
        "the log ends before a record that was read from it earlier");
  if (Page.First > Next)
    startAfterGap(Page.First);
  for (const platformlog::LogRecord &Record : Page.Records)
    applyRecord(Record);
  if (Next <= Page.End)
    return ReadProgress::More;
  return Complete ? ReadProgress::AtEnd : ReadProgress::SnapshotMissing;
}

void StateReader::startAfterGap(base::LogOffset First) {
  Complete = false;
  GapEnd = First;
  Next = First;
  Pending.clear();
}

void StateReader::applyRecord(const platformlog::LogRecord &Record) {
  Next = base::LogOffset(Record.Offset.value() + 1);
  const auto Envelope = platformlog::decodeRecord(Record.Bytes);
  if (Envelope && Envelope->Kind == platformlog::RecordKind::ConfigChange) {
    auto Change = platformlog::decode<config::ConfigChange>(Envelope->Payload);
    if (Change && Complete)
      State.apply(Record.Offset, *Change);
    else if (Change)
      Pending.emplace_back(Record.Offset, std::move(*Change));
  }
  if (Envelope && Envelope->Kind == platformlog::RecordKind::Snapshot &&
      !Complete)
    applySnapshot(Envelope->Payload);
  if (Complete)
    State.advanceTo(Record.Offset);
}

void StateReader::applySnapshot(const std::string &Payload) {
  auto Snapshot = platformlog::decode<platformlog::FleetSnapshot>(Payload);
  if (!Snapshot || Snapshot->LastOffset < before(GapEnd) ||
      Snapshot->LastOffset >= Next)
    return;
  Snapshot->Config.advanceTo(Snapshot->LastOffset);
  if (!State.adopt(Snapshot->Config))
    return;
  for (const auto &[Offset, Change] : Pending)
    State.apply(Offset, Change);
  Pending.clear();
  Complete = true;
}

} // namespace publish
