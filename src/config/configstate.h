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

/// Identifies one attempt of one operator to change one file.
using PublishId = base::RandomId<struct PublishTag>;

/// Payload of a log record that replaces or removes one file.
struct ConfigChange {
  PublishId Id;
  std::string File;
  /// Version of the file that the change is based on; 0 for a new file.
  base::LogOffset BaseVersion;
  bool Removal = false;
  std::string Content;
  /// Name of the operator; used in messages only.
  std::string Operator;

  template <class Archive> void serialize(Archive &Ar) {
    Ar(Id, File, BaseVersion, Removal, Content, Operator);
  }
};

/// Result of validating a `ConfigChange`.
enum class ChangeOutcomeKind : std::uint8_t {
  Accepted,
  /// Another change of the same file precedes it in the log.
  VersionConflict,
  /// The content does not parse.
  InvalidContent,
};

/// Outcome of a `ConfigChange`. It depends on the log only, so all readers of
/// the log arrive at the same one.
struct ChangeOutcome {
  ChangeOutcomeKind Kind = ChangeOutcomeKind::Accepted;
  /// Offset of the change.
  base::LogOffset Offset;
  /// For `VersionConflict`: the file's version when the change was applied, and
  /// the operator who published it.
  base::LogOffset CurrentVersion;
  std::string CurrentOperator;

  friend bool operator==(const ChangeOutcome &,
                         const ChangeOutcome &) = default;

  template <class Archive> void serialize(Archive &Ar) {
    Ar(Kind, Offset, CurrentVersion, CurrentOperator);
  }
};

/// The last accepted change of one file. Removed files are kept without
/// content, because the version of later changes is checked against theirs.
struct FileState {
  std::string Content;
  base::LogOffset Version;
  bool Removed = false;
  std::string Operator;

  template <class Archive> void serialize(Archive &Ar) {
    Ar(Content, Version, Removed, Operator);
  }
};

/// Number of outcomes that a replica stores; the oldest are dropped first.
inline constexpr std::size_t kMaxStoredOutcomes = 1000;

/// A replica of the configuration, built from the records of the log in offset
/// order. Its offset never decreases. Not thread-safe; the object that
/// `current` returns is immutable and may be shared between threads.
class ConfigState {
public:
  /// Applies the change at offset `Offset`. If `Offset` is not after
  /// `applied()`, leaves the state unchanged and returns no value.
  std::optional<ChangeOutcome> apply(base::LogOffset Offset,
                                     const ConfigChange &Change);

  /// Advances `applied()` to `Offset` if that is later. For records that are of
  /// another kind or can't be decoded.
  void advanceTo(base::LogOffset Offset);

  /// Replaces this state by `Other` if `Other` has applied later records.
  /// Returns whether it was replaced.
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

  /// The outcome of a change, if it is among the last `kMaxStoredOutcomes`.
  std::optional<ChangeOutcome> outcomeFor(const PublishId &Id) const;

  /// Throws `std::runtime_error` when it reads a state that no log can produce.
  template <class Archive> void serialize(Archive &Ar) {
    std::vector<StoredOutcome> Stored(Outcomes.begin(), Outcomes.end());
    Ar(Applied, Files, Stored);
    if constexpr (Archive::is_loading::value)
      restore(Stored);
  }

private:
  struct StoredOutcome {
    PublishId Id;
    ChangeOutcome Value;

    template <class Archive> void serialize(Archive &Ar) { Ar(Id, Value); }
  };

  ChangeOutcome evaluate(base::LogOffset Offset, const ConfigChange &Change);
  void storeOutcome(const PublishId &Id, const ChangeOutcome &Value);
  void restore(const std::vector<StoredOutcome> &Stored);

  base::LogOffset Applied;
  std::map<std::string, FileState> Files;
  std::deque<StoredOutcome> Outcomes;
  std::shared_ptr<const Configuration> Current =
      std::make_shared<Configuration>();
};

} // namespace config

#endif // JACKDAW_CONFIG_CONFIGSTATE_H
