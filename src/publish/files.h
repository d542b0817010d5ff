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

/// The configuration files of a directory.
struct DirectoryFiles {
  FileMap Files;
  /// Errors in reading the directory or its files.
  std::vector<config::FileError> Errors;
};

/// Reads the `*.toml` files of a directory. A directory without such files is
/// an error, because it would remove every service, which is rarely intended.
DirectoryFiles readDirectory(const std::filesystem::path &Directory);

/// All errors in all files, including references to data centres that
/// `fleet.toml` does not list.
std::vector<config::FileError> checkFiles(const FileMap &Files);

/// The lines from the first to the last difference, those of `Old` marked with
/// `-` and those of `New` with `+`.
std::string lineDifference(const std::string &Old, const std::string &New);

} // namespace publish

#endif // JACKDAW_PUBLISH_FILES_H
