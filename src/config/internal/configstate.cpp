#include "config/configstate.h"

#include "config/servicefile.h"

#include <algorithm>
#include <stdexcept>

namespace config {

namespace {

/// The parts of a `Configuration` while it is being changed.
struct Parts {
  Configuration::ServiceMap Services;
  std::shared_ptr<const FleetConfig> Fleet;
};

void removeFile(Parts &Target, const std::string &File) {
  if (File == kFleetFile)
    Target.Fleet = std::make_shared<FleetConfig>();
  else if (const auto Name = serviceOfFile(File))
    Target.Services.erase(*Name);
}

/// False if the content does not parse; `Target` is then unchanged.
bool replaceFile(Parts &Target, const std::string &File,
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

std::optional<Verdict> ConfigState::apply(base::LogOffset At,
                                          const ConfigChange &Change) {
  if (At <= Applied)
    return std::nullopt;
  Applied = At;
  const Verdict Decision = decide(At, Change);
  keep(Change.Id, Decision);
  return Decision;
}

Verdict ConfigState::decide(base::LogOffset At, const ConfigChange &Change) {
  Verdict Decision;
  Decision.At = At;
  if (!isConfigurationFile(Change.File)) {
    Decision.Kind = VerdictKind::RejectedContent;
    return Decision;
  }
  const base::LogOffset Version = fileVersion(Change.File);
  if (Change.BaseVersion != Version) {
    Decision.Kind = VerdictKind::RejectedVersion;
    Decision.CurrentVersion = Version;
    if (const auto Found = Files.find(Change.File); Found != Files.end())
      Decision.CurrentOperator = Found->second.Operator;
    return Decision;
  }
  Parts Next{Current->services(), Current->sharedFleet()};
  if (Change.Removal) {
    removeFile(Next, Change.File);
  } else if (!replaceFile(Next, Change.File, Change.Content)) {
    Decision.Kind = VerdictKind::RejectedContent;
    return Decision;
  }
  Files[Change.File] = {Change.Removal ? std::string() : Change.Content, At,
                        Change.Removal, Change.Operator};
  Current = std::make_shared<Configuration>(At, std::move(Next.Services),
                                            std::move(Next.Fleet));
  return Decision;
}

void ConfigState::keep(const PublishId &Id, const Verdict &Value) {
  // A record that was appended twice must not hide the verdict on the first.
  if (verdictFor(Id))
    return;
  Verdicts.push_back({Id, Value});
  if (Verdicts.size() > kKeptVerdicts)
    Verdicts.pop_front();
}

void ConfigState::advanceTo(base::LogOffset At) {
  Applied = std::max(Applied, At);
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

std::optional<Verdict> ConfigState::verdictFor(const PublishId &Id) const {
  const auto Found =
      std::find_if(Verdicts.begin(), Verdicts.end(),
                   [&Id](const KeptVerdict &Entry) { return Entry.Id == Id; });
  if (Found == Verdicts.end())
    return std::nullopt;
  return Found->Value;
}

void ConfigState::restore(const std::vector<KeptVerdict> &Kept) {
  if (Kept.size() > kKeptVerdicts)
    throw std::runtime_error("the snapshot holds too many verdicts");
  Verdicts.assign(Kept.begin(), Kept.end());
  Parts Next{{}, std::make_shared<FleetConfig>()};
  base::LogOffset Version;
  for (const auto &[File, State] : Files) {
    if (State.Version > Applied)
      throw std::runtime_error("the snapshot holds a version after its end");
    Version = std::max(Version, State.Version);
    if (!State.Removed && !replaceFile(Next, File, State.Content))
      throw std::runtime_error("the snapshot holds a faulty file " + File);
  }
  Current = std::make_shared<Configuration>(Version, std::move(Next.Services),
                                            std::move(Next.Fleet));
}

} // namespace config
