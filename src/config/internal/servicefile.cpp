#include "config/servicefile.h"

#include "config/internal/sectionreader.h"

#include <algorithm>
#include <map>

namespace config {

namespace {

constexpr std::string_view kSuffix = ".toml";
constexpr std::size_t kMaxServiceNameLength = 64;

base::PriorityClass priorityFrom(std::string_view Text) {
  if (Text == "critical")
    return base::PriorityClass::Critical;
  if (Text == "background")
    return base::PriorityClass::Background;
  return base::PriorityClass::Normal;
}

BackendConfig backendFrom(const SectionValues &Values) {
  BackendConfig Backend;
  Backend.Slots = static_cast<std::uint32_t>(Values.integer("slots"));
  Backend.Connections =
      static_cast<std::uint32_t>(Values.integer("connections"));
  Backend.MaxQueueTime = std::chrono::milliseconds(Values.integer("queue_ms"));
  Backend.ColdStartRamp =
      std::chrono::seconds(Values.integer("cold_start_ramp_s"));
  Backend.BodyLimitBytes =
      static_cast<std::uint64_t>(Values.integer("body_limit_bytes"));
  return Backend;
}

WorkspaceConfig workspaceFrom(const SectionValues &Values) {
  WorkspaceConfig Workspace;
  Workspace.Name = base::WorkspaceName(Values.text("name"));
  for (std::string &Digest : Values.list("key_digests"))
    Workspace.KeyDigests.emplace_back(std::move(Digest));
  Workspace.Rate = Values.number("rate");
  Workspace.Burst = Values.number("burst");
  Workspace.Isolated = Values.text("isolated") == "refuse"
                           ? IsolatedBehaviour::Refuse
                           : IsolatedBehaviour::Serve;
  Workspace.RecordDataCentre =
      base::DataCentreId(Values.text("record_data_centre"));
  return Workspace;
}

RouteConfig routeFrom(const SectionValues &Values) {
  RouteConfig Route;
  Route.Prefix = Values.text("prefix");
  Route.Methods = Values.list("methods");
  Route.Priority = priorityFrom(Values.text("priority"));
  Route.NonIdempotent = Values.boolean("non_idempotent");
  Route.OpenToAll = Values.boolean("open_to_all");
  Route.Deadline = std::chrono::milliseconds(Values.integer("deadline_ms"));
  Route.ResponseTimeout =
      Values.has("response_timeout_ms")
          ? std::chrono::milliseconds(Values.integer("response_timeout_ms"))
          : Route.Deadline;
  return Route;
}

/// Reports an error for each entry that occurs more than once in a file.
class DuplicateDetector {
public:
  DuplicateDetector(const std::string &File, std::vector<FileError> &Errors)
      : File(File), Errors(Errors) {}

  /// Adds an entry. Reports an error if an earlier entry of the same kind has
  /// the same key. Empty keys are ignored.
  void add(const std::string &Kind, const std::string &Key,
           std::uint32_t Line) {
    if (Key.empty())
      return;
    const auto [First, Added] = FirstLines.emplace(std::pair(Kind, Key), Line);
    if (Added)
      return;
    Errors.push_back({File, Line,
                      Kind + " " + Key + " occurs twice; first on line " +
                          std::to_string(First->second)});
  }

private:
  const std::string &File;
  std::vector<FileError> &Errors;
  std::map<std::pair<std::string, std::string>, std::uint32_t> FirstLines;
};

void checkWorkspaces(const std::vector<SectionValues> &Workspaces,
                     DuplicateDetector &Duplicates) {
  for (const SectionValues &Values : Workspaces) {
    Duplicates.add("workspace", Values.text("name"), Values.lineOf("name"));
    for (const std::string &Digest : Values.list("key_digests"))
      Duplicates.add("key digest", Digest, Values.lineOf("key_digests"));
  }
}

void checkRoutes(const std::vector<SectionValues> &Routes,
                 DuplicateDetector &Duplicates) {
  for (const SectionValues &Values : Routes) {
    const std::string Prefix = Values.text("prefix");
    if (Prefix.empty())
      continue;
    std::vector<std::string> Methods = Values.list("methods");
    if (Methods.empty())
      Methods.emplace_back("*");
    for (std::string &Method : Methods) {
      Method.append(" ").append(Prefix);
      Duplicates.add("route", Method, Values.lineOf("prefix"));
    }
  }
}

/// Sorts the errors by line, the order in which an operator corrects the file,
/// and removes the value if there are any errors.
template <typename T> void finalize(ParsedFile<T> &Parsed) {
  std::stable_sort(Parsed.Errors.begin(), Parsed.Errors.end(),
                   [](const FileError &Left, const FileError &Right) {
                     return Left.Line < Right.Line;
                   });
  if (!Parsed.Errors.empty())
    Parsed.Value.reset();
}

} // namespace

std::string FileError::str() const {
  std::string Location = File;
  if (Line > 0)
    Location += ":" + std::to_string(Line);
  return Location + ": " + Text;
}

std::optional<base::ServiceName> serviceOfFile(std::string_view File) {
  if (File == kFleetFile || !File.ends_with(kSuffix))
    return std::nullopt;
  const std::string_view Name = File.substr(0, File.size() - kSuffix.size());
  if (Name.size() > kMaxServiceNameLength ||
      !hasFormat(SettingFormat::Name, Name))
    return std::nullopt;
  return base::ServiceName(std::string(Name));
}

ParsedFile<ServiceConfig> parseServiceFile(const std::string &File,
                                           std::string_view Text) {
  ParsedFile<ServiceConfig> Parsed;
  const auto Name = serviceOfFile(File);
  if (!Name)
    Parsed.Errors.push_back(
        {File, 0,
         "the file name must be the name of a service followed by .toml"});
  FileValues Values =
      readSections(FileKind::Service, File, Text, Parsed.Errors);
  DuplicateDetector Duplicates(File, Parsed.Errors);
  checkWorkspaces(Values["workspace"], Duplicates);
  checkRoutes(Values["route"], Duplicates);
  if (Parsed.Errors.empty()) {
    Parsed.Value.emplace();
    Parsed.Value->Name = *Name;
    Parsed.Value->Backend = backendFrom(Values["backend"].front());
    for (const SectionValues &Workspace : Values["workspace"])
      Parsed.Value->Workspaces.push_back(workspaceFrom(Workspace));
    for (const SectionValues &Route : Values["route"])
      Parsed.Value->Routes.push_back(routeFrom(Route));
  }
  finalize(Parsed);
  return Parsed;
}

ParsedFile<FleetConfig> parseFleetFile(const std::string &File,
                                       std::string_view Text) {
  ParsedFile<FleetConfig> Parsed;
  if (File != kFleetFile)
    Parsed.Errors.push_back({File, 0, "the file name must be fleet.toml"});
  FileValues Values = readSections(FileKind::Fleet, File, Text, Parsed.Errors);
  DuplicateDetector Duplicates(File, Parsed.Errors);
  for (const SectionValues &Centre : Values["data_centre"])
    Duplicates.add("data centre", Centre.text("name"), Centre.lineOf("name"));
  if (Parsed.Errors.empty()) {
    const SectionValues &Fleet = Values["fleet"].front();
    Parsed.Value.emplace();
    Parsed.Value->SlicesPerDataCentre =
        static_cast<std::uint32_t>(Fleet.integer("slices_per_data_centre"));
    Parsed.Value->RetryAllowance =
        static_cast<std::uint32_t>(Fleet.integer("retry_allowance"));
    Parsed.Value->RegionBytesPerSecond =
        static_cast<std::uint64_t>(Fleet.integer("region_bytes_per_second"));
    for (const SectionValues &Centre : Values["data_centre"])
      Parsed.Value->DataCentres.push_back(
          {base::DataCentreId(Centre.text("name")),
           base::RegionId(Centre.text("region"))});
  }
  finalize(Parsed);
  return Parsed;
}

std::vector<FileError> checkFile(const std::string &File,
                                 std::string_view Text) {
  if (File == kFleetFile)
    return parseFleetFile(File, Text).Errors;
  return parseServiceFile(File, Text).Errors;
}

} // namespace config
