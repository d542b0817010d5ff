#include "publish/files.h"

#include <algorithm>
#include <fstream>
#include <iterator>
#include <sstream>

namespace publish {

namespace {

using config::FileError;

/// Reads at most one byte more than the size limit, so that the later
/// validation reports a file that is too large. Returns false if it can't be
/// read.
bool readFile(const std::filesystem::path &Path, std::string &Content) {
  std::ifstream Stream(Path, std::ios::binary);
  Content.resize(config::kMaxFileBytes + 1);
  Stream.read(Content.data(), static_cast<std::streamsize>(Content.size()));
  Content.resize(static_cast<std::size_t>(Stream.gcount()));
  return Stream.eof() || !Stream.fail();
}

/// Number of the line where `Part` first occurs in `Text`; 0 if it does not.
std::uint32_t lineOf(const std::string &Text, const std::string &Part) {
  const auto At = Text.find(Part);
  if (At == std::string::npos)
    return 0;
  return static_cast<std::uint32_t>(
      1 + std::count(Text.begin(),
                     Text.begin() + static_cast<std::ptrdiff_t>(At), '\n'));
}

/// Reports data centres that a service file refers to but `fleet.toml` does not
/// list.
void checkDataCentres(const std::string &File, const std::string &Text,
                      const config::FleetConfig &Fleet,
                      std::vector<FileError> &Errors) {
  const auto Parsed = config::parseServiceFile(File, Text);
  if (!Parsed.Value)
    return;
  for (const auto &Workspace : Parsed.Value->Workspaces) {
    const base::DataCentreId &Name = Workspace.RecordDataCentre;
    const bool Known = std::any_of(
        Fleet.DataCentres.begin(), Fleet.DataCentres.end(),
        [&Name](const auto &Centre) { return Centre.Name == Name; });
    if (!Name.empty() && !Known)
      Errors.push_back({File, lineOf(Text, "\"" + Name.str() + "\""),
                        "\"record_data_centre\" names " + Name.str() +
                            ", which fleet.toml does not list"});
  }
}

std::vector<std::string> splitLines(const std::string &Text) {
  std::vector<std::string> Lines;
  std::istringstream Stream(Text);
  for (std::string Line; std::getline(Stream, Line);)
    Lines.push_back(Line);
  return Lines;
}

} // namespace

DirectoryFiles readDirectory(const std::filesystem::path &Directory) {
  DirectoryFiles Result;
  std::error_code Error;
  std::filesystem::directory_iterator Entries(Directory, Error);
  if (Error) {
    Result.Errors.push_back({Directory.string(), 0, Error.message()});
    return Result;
  }
  for (const auto &Entry : Entries) {
    if (Entry.path().extension() != ".toml")
      continue;
    const std::string Name = Entry.path().filename().string();
    if (!readFile(Entry.path(), Result.Files[Name]))
      Result.Errors.push_back({Name, 0, "the file can't be read"});
  }
  if (Result.Files.empty())
    Result.Errors.push_back(
        {Directory.string(), 0, "the directory contains no *.toml files"});
  return Result;
}

std::vector<FileError> checkFiles(const FileMap &Files) {
  std::vector<FileError> Errors;
  for (const auto &[File, Text] : Files) {
    const auto Found = config::checkFile(File, Text);
    Errors.insert(Errors.end(), Found.begin(), Found.end());
  }
  const auto FleetFile = Files.find(std::string(config::kFleetFile));
  if (FleetFile == Files.end())
    return Errors;
  const auto Fleet =
      config::parseFleetFile(FleetFile->first, FleetFile->second);
  if (!Fleet.Value)
    return Errors;
  for (const auto &[File, Text] : Files) {
    if (File != config::kFleetFile)
      checkDataCentres(File, Text, *Fleet.Value, Errors);
  }
  return Errors;
}

std::string lineDifference(const std::string &Old, const std::string &New) {
  const auto Before = splitLines(Old);
  const auto After = splitLines(New);
  const auto Start =
      std::mismatch(Before.begin(), Before.end(), After.begin(), After.end());
  auto BeforeEnd = Before.end();
  auto AfterEnd = After.end();
  while (BeforeEnd != Start.first && AfterEnd != Start.second &&
         *std::prev(BeforeEnd) == *std::prev(AfterEnd)) {
    --BeforeEnd;
    --AfterEnd;
  }
  std::string Text;
  for (auto Line = Start.first; Line != BeforeEnd; ++Line)
    Text.append("- ").append(*Line).append("\n");
  for (auto Line = Start.second; Line != AfterEnd; ++Line)
    Text.append("+ ").append(*Line).append("\n");
  return Text;
}

} // namespace publish
