#include "overload/requestrank.h"

#include "base/hash.h"
#include "overload/admissionlevel.h"

#include <string_view>

namespace overload {

namespace {

constexpr std::chrono::seconds kRankPeriod{10};

} // namespace

std::uint64_t rankPeriod(base::WallTime Now) {
  return static_cast<std::uint64_t>(Now.time_since_epoch() / kRankPeriod);
}

std::uint8_t requestRank(const base::RootId &Root,
                         const base::WorkspaceName &Workspace,
                         std::uint64_t Period) {
  const std::string_view RootBytes(
      reinterpret_cast<const char *>(Root.Bytes.data()), Root.Bytes.size());
  const std::uint64_t RootHash = base::stableHash(RootBytes);
  const std::uint64_t WorkspaceHash = base::stableHash(Workspace.str());
  const std::uint64_t Hash =
      base::combineHashes(base::combineHashes(RootHash, WorkspaceHash), Period);
  return static_cast<std::uint8_t>(Hash % kRankCount);
}

} // namespace overload
