#include "config/configstate.h"

#include "config/servicefile.h"

#include <algorithm>
#include <stdexcept>

namespace config {

namespace {

/// The contents of the next `Configuration` while a change is applied.
struct NextConfiguration {
  Configuration::ServiceMap Services;
  std::shared_ptr<const FleetConfig> Fleet;
};

void removeFile(NextConfiguration &Target, const std::string &File) {
  if (File == kFleetFile)
    Target.Fleet = std::make_shared<FleetConfig>();
  else if (const auto Name = serviceOfFile(File))
    Target.Services.erase(*Name);
}

/// Returns false and leaves `Target` unchanged if the content does not parse.
bool replaceFile(NextConfiguration &Target, const std::string &File,
                 const std::string &Content) {
  if (File == kFleetFile) {
    auto Parsed = parseFleetFile(File, Content);
    if (!Parsed.Value)
      return false;
    Target.Fleet =
        std::make_shared<const FleetConfig>(std::move(*Parsed.Value));
    return true;
  }
  auto Parsed = parseServiceFile(File, Content);
  if (!Parsed.Value)
    return false;
  const base::ServiceName Name = Parsed.Value->Name;
  Target.Services[Name] =
      std::make_shared<const Service>(std::move(*Parsed.Value));
  return true;
}

bool isConfigurationFile(const std::string &File) {
  return File == kFleetFile || serviceOfFile(File).has_value();
}

} // namespace

std::optional<ChangeOutcome> ConfigState::apply(base::LogOffset Offset,
                                                const ConfigChange &Change) {
  if (Offset <= Applied)
    return std::nullopt;
  Applied = Offset;
  const ChangeOutcome Outcome = evaluate(Offset, Change);
  storeOutcome(Change.Id, Outcome);
  return Outcome;
}

ChangeOutcome ConfigState::evaluate(base::LogOffset Offset,
                                    const ConfigChange &Change) {
  ChangeOutcome Outcome;
  Outcome.Offset = Offset;
  if (!isConfigurationFile(Change.File)) {
    Outcome.Kind = ChangeOutcomeKind::InvalidContent;
    return Outcome;
  }
  const base::LogOffset Version = fileVersion(Change.File);
  if (Change.BaseVersion != Version) {
    Outcome.Kind = ChangeOutcomeKind::VersionConflict;
    Outcome.CurrentVersion = Version;
    if (const auto Found = Files.find(Change.File); Found != Files.end())
      Outcome.CurrentOperator = Found->second.Operator;
    return Outcome;
  }
  NextConfiguration Next{Current->services(), Current->sharedFleet()};
  if (Change.Removal) {
    removeFile(Next, Change.File);
  } else if (!replaceFile(Next, Change.File, Change.Content)) {
    Outcome.Kind = ChangeOutcomeKind::InvalidContent;
    return Outcome;
  }
  Files[Change.File] = {Change.Removal ? std::string() : Change.Content, Offset,
                        Change.Removal, Change.Operator};
  Current = std::make_shared<Configuration>(Offset, std::move(Next.Services),
                                            std::move(Next.Fleet));
  return Outcome;
}

void ConfigState::storeOutcome(const PublishId &Id,
                               const ChangeOutcome &Value) {
  // A change that was appended twice keeps the outcome of its first record.
  if (outcomeFor(Id))
    return;
  Outcomes.push_back({Id, Value});
  if (Outcomes.size() > kMaxStoredOutcomes)
    Outcomes.pop_front();
}

void ConfigState::advanceTo(base::LogOffset Offset) {
  Applied = std::max(Applied, Offset);
}

bool ConfigState::adopt(const ConfigState &Other) {
  if (Other.Applied <= Applied)
    return false;
  *this = Other;
  return true;
}

base::LogOffset ConfigState::fileVersion(const std::string &File) const {
  const auto Found = Files.find(File);
  return Found == Files.end() ? base::LogOffset() : Found->second.Version;
}

std::optional<ChangeOutcome>
ConfigState::outcomeFor(const PublishId &Id) const {
  const auto Found = std::find_if(
      Outcomes.begin(), Outcomes.end(),
      [&Id](const StoredOutcome &Entry) { return Entry.Id == Id; });
  if (Found == Outcomes.end())
    return std::nullopt;
  return Found->Value;
}

void ConfigState::restore(const std::vector<StoredOutcome> &Stored) {
  if (Stored.size() > kMaxStoredOutcomes)
    throw std::runtime_error("the snapshot contains too many outcomes");
  Outcomes.assign(Stored.begin(), Stored.end());
  NextConfiguration Next{{}, std::make_shared<FleetConfig>()};
  base::LogOffset Version;
  for (const auto &[File, State] : Files) {
    if (State.Version > Applied)
      throw std::runtime_error(
          "the snapshot contains a file version later than its last record");
    Version = std::max(Version, State.Version);
    if (!State.Removed && !replaceFile(Next, File, State.Content))
      throw std::runtime_error("the snapshot contains the invalid file " +
                               File);
  }
  Current = std::make_shared<Configuration>(Version, std::move(Next.Services),
                                            std::move(Next.Fleet));
}

} // namespace config
