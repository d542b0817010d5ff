#ifndef JACKDAW_BASE_TYPES_H
#define JACKDAW_BASE_TYPES_H

#include <compare>
#include <cstdint>
#include <functional>
#include <string>
#include <utility>

namespace base {

/// A strongly typed name or identifier. Different types do not convert into
/// each other, so that, for example, a workspace can't be passed as a service.
template <typename Tag> class StrongName {
public:
  StrongName() = default;
  explicit StrongName(std::string Text) : Text(std::move(Text)) {}

  const std::string &str() const { return Text; }
  bool empty() const { return Text.empty(); }

  friend auto operator<=>(const StrongName &, const StrongName &) = default;

  template <class Archive> void serialize(Archive &Ar) { Ar(Text); }

private:
  std::string Text;
};

/// A strongly typed number, such as an offset or an incarnation.
template <typename Tag> class StrongNumber {
public:
  constexpr StrongNumber() = default;
  constexpr explicit StrongNumber(std::uint64_t Value) : Value(Value) {}

  constexpr std::uint64_t value() const { return Value; }

  friend constexpr auto operator<=>(const StrongNumber &,
                                    const StrongNumber &) = default;

  template <class Archive> void serialize(Archive &Ar) { Ar(Value); }

private:
  std::uint64_t Value = 0;
};

/// Unique name of an instance: a machine that runs one daemon and at most one
/// backend server. It comes from the daemon's settings.
using InstanceId = StrongName<struct InstanceTag>;
using DataCentreId = StrongName<struct DataCentreTag>;
using RegionId = StrongName<struct RegionTag>;
using ServiceName = StrongName<struct ServiceTag>;
using WorkspaceName = StrongName<struct WorkspaceTag>;

/// Number of a daemon process on its instance. A later process on the same
/// instance has a larger one (wall-clock microseconds at its start).
using Incarnation = StrongNumber<struct IncarnationTag>;

/// Position of a record in a stream of the platform's log or store. The first
/// record has offset 1; 0 means "before the first record".
using LogOffset = StrongNumber<struct LogOffsetTag>;

/// Number of a history of the platform's store. It rises when the store comes
/// back from an older copy; 0 if the platform doesn't state it.
using StoreEra = StrongNumber<struct StoreEraTag>;

/// Position in a stream of a store whose offsets start anew from an older copy
/// with each era. A position of a later era follows all of the earlier ones.
struct StreamPosition {
  StoreEra Era;
  LogOffset Offset;

  friend constexpr auto operator<=>(const StreamPosition &,
                                    const StreamPosition &) = default;
};

/// IPv4 address and port, for TCP or UDP.
struct Endpoint {
  std::string Ip;
  std::uint16_t Port = 0;

  friend auto operator<=>(const Endpoint &, const Endpoint &) = default;
  std::string str() const { return Ip + ":" + std::to_string(Port); }

  template <class Archive> void serialize(Archive &Ar) { Ar(Ip, Port); }
};

/// A rate of requests.
struct RequestRate {
  double PerSecond = 0;

  friend auto operator<=>(const RequestRate &, const RequestRate &) = default;

  template <class Archive> void serialize(Archive &Ar) { Ar(PerSecond); }
};

/// Identifies a daemon process; a restarted daemon has the same instance but
/// another incarnation.
struct ProcessId {
  InstanceId Instance;
  base::Incarnation Incarnation;

  friend auto operator<=>(const ProcessId &, const ProcessId &) = default;

  template <class Archive> void serialize(Archive &Ar) {
    Ar(Instance, Incarnation);
  }
};

/// Priority under overload: a request of a lower class is refused before any
/// request of a higher one. Listed from highest to lowest.
enum class PriorityClass : std::uint8_t { Critical, Normal, Background };

inline constexpr std::size_t kPriorityClassCount = 3;

} // namespace base

template <typename Tag> struct std::hash<base::StrongName<Tag>> {
  std::size_t operator()(const base::StrongName<Tag> &Name) const noexcept {
    return std::hash<std::string>()(Name.str());
  }
};

template <typename Tag> struct std::hash<base::StrongNumber<Tag>> {
  std::size_t operator()(base::StrongNumber<Tag> Number) const noexcept {
    return std::hash<std::uint64_t>()(Number.value());
  }
};

#endif // JACKDAW_BASE_TYPES_H
