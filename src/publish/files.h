#ifndef JACKDAW_PUBLISH_FILES_H
#define JACKDAW_PUBLISH_FILES_H

#include "config/servicefile.h"

#include <filesystem>
#include <map>
#include <string>
#include <vector>

namespace publish {

/// Contents of configuration files by file name.
using FileMap = std::map<std::string, std::string>;

struct DirectoryFiles {
  FileMap Files;
  /// Files that can't be read.
  std::vector<config::FileError> Errors;
};

/// Reads each `*.toml` of a directory. A directory without any is an error,
/// because removing every service is hardly ever meant.
DirectoryFiles readDirectory(const std::filesystem::path &Directory);

/// All faults of all files, including names of data centres that `fleet.toml`
/// does not list.
std::vector<config::FileError> checkFiles(const FileMap &Files);

/// The lines that differ, each marked with `-` or `+`.
std::string lineDifference(const std::string &Old, const std::string &New);

} // namespace publish

#endif // JACKDAW_PUBLISH_FILES_H
