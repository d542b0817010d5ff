#ifndef JACKDAW_CONFIG_CONFIGSTATE_H
#define JACKDAW_CONFIG_CONFIGSTATE_H

#include "base/ids.h"
#include "base/types.h"
#include "config/configuration.h"

#include <cereal/types/map.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace config {

/// One attempt of one operator to change one file.
using PublishId = base::RandomId<struct PublishTag>;

/// Log record that replaces or removes one file.
struct ConfigChange {
  PublishId Id;
  std::string File;
  /// Version of the file that the operator started from; 0 for none.
  base::LogOffset BaseVersion;
  bool Removal = false;
  std::string Content;
  /// Who publishes, for messages only.
  std::string Operator;

  template <class Archive> void serialize(Archive &Ar) {
    Ar(Id, File, BaseVersion, Removal, Content, Operator);
  }
};

enum class VerdictKind : std::uint8_t {
  Accepted,
  /// Another change of the same file came first.
  RejectedVersion,
  /// The content does not parse.
  RejectedContent,
};

/// What became of a `ConfigChange`. All readers of the log reach the same one.
struct Verdict {
  VerdictKind Kind = VerdictKind::Accepted;
  /// Offset of the change.
  base::LogOffset At;
  /// For `RejectedVersion`: the file's version then, and who published it.
  base::LogOffset CurrentVersion;
  std::string CurrentOperator;

  friend bool operator==(const Verdict &, const Verdict &) = default;

  template <class Archive> void serialize(Archive &Ar) {
    Ar(Kind, At, CurrentVersion, CurrentOperator);
  }
};

/// The last accepted change of one file. Removed files are kept without
/// content, because their version still decides over later changes.
struct FileState {
  std::string Content;
  base::LogOffset Version;
  bool Removed = false;
  std::string Operator;

  template <class Archive> void serialize(Archive &Ar) {
    Ar(Content, Version, Removed, Operator);
  }
};

/// Number of verdicts that a replica keeps.
inline constexpr std::size_t kKeptVerdicts = 1000;

/// A replica of the configuration, built from the records of the log in offset
/// order. It only moves forward. Not safe for use from several threads; what
/// `current` returns is.
class ConfigState {
public:
  /// Applies the change at offset `At`. Nothing happens, and nothing is
  /// returned, if `At` is not after `applied()`.
  std::optional<Verdict> apply(base::LogOffset At, const ConfigChange &Change);

  /// Notes that the record at `At` is of another kind or can't be decoded.
  void advanceTo(base::LogOffset At);

  /// Takes the place of this state if `Other` is further in the log; false if
  /// it isn't.
  bool adopt(const ConfigState &Other);

  /// Offset of the last record applied.
  base::LogOffset applied() const { return Applied; }

  /// Offset of the last accepted change.
  base::LogOffset version() const { return Current->version(); }

  /// Version of a file; 0 if it never had one. A removed file has the version
  /// of its removal.
  base::LogOffset fileVersion(const std::string &File) const;

  /// All files, including removed ones.
  const std::map<std::string, FileState> &files() const { return Files; }

  /// The configuration in force. Never null.
  std::shared_ptr<const Configuration> current() const { return Current; }

  /// The verdict on a change, if it is among the last `kKeptVerdicts`.
  std::optional<Verdict> verdictFor(const PublishId &Id) const;

  /// Throws `std::runtime_error` on reading a state that no log can produce.
  template <class Archive> void serialize(Archive &Ar) {
    std::vector<KeptVerdict> Kept(Verdicts.begin(), Verdicts.end());
    Ar(Applied, Files, Kept);
    if constexpr (Archive::is_loading::value)
      restore(Kept);
  }

private:
  struct KeptVerdict {
    PublishId Id;
    Verdict Value;

    template <class Archive> void serialize(Archive &Ar) { Ar(Id, Value); }
  };

  Verdict decide(base::LogOffset At, const ConfigChange &Change);
  void keep(const PublishId &Id, const Verdict &Value);
  void restore(const std::vector<KeptVerdict> &Kept);

  base::LogOffset Applied;
  std::map<std::string, FileState> Files;
  std::deque<KeptVerdict> Verdicts;
  std::shared_ptr<const Configuration> Current =
      std::make_shared<Configuration>();
};

} // namespace config

#endif // JACKDAW_CONFIG_CONFIGSTATE_H
