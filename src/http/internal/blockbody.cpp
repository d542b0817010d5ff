#include "http/internal/blockbody.h"

#include <algorithm>
#include <utility>

namespace http {

namespace {

constexpr std::size_t kBlockBytes = std::size_t{256} << 10;

} // namespace

void BlockList::expect(std::uint64_t Length) {
  if (Blocks.empty())
    Blocks.emplace_back();
  Blocks.front().reserve(std::min<std::uint64_t>(Length, kBlockBytes));
}

void BlockList::append(const char *Bytes, std::size_t Count) {
  while (Count > 0) {
    if (Blocks.empty()) {
      Blocks.emplace_back();
    } else if (Blocks.back().size() == kBlockBytes) {
      Blocks.emplace_back();
      Blocks.back().reserve(kBlockBytes);
    }
    std::string &Last = Blocks.back();
    const std::size_t Fitting = std::min(Count, kBlockBytes - Last.size());
    Last.append(Bytes, Fitting);
    Size += Fitting;
    Bytes += Fitting;
    Count -= Fitting;
  }
}

std::string BlockList::take() {
  std::string Result;
  if (Blocks.size() == 1) {
    Result = std::move(Blocks.front());
  } else {
    Result.reserve(Size);
    for (std::string &Each : Blocks) {
      Result += Each;
      // Frees the block before the next one is copied, which an assignment
      // doesn't.
      std::string().swap(Each);
    }
  }
  Blocks.clear();
  Size = 0;
  return Result;
}

} // namespace http
