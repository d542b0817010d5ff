#include "retry/retrybudgettable.h"

#include <boost/container_hash/hash.hpp>

#include <functional>

namespace retry {

std::size_t
RetryBudgetTable::KeyHash::operator()(const Key &Value) const noexcept {
  std::size_t Seed = std::hash<base::ServiceName>()(Value.Service);
  boost::hash_combine(Seed, std::hash<base::WorkspaceName>()(Value.Workspace));
  return Seed;
}

RetryBudget &RetryBudgetTable::budget(const base::ServiceName &Service,
                                      const base::WorkspaceName &Workspace) {
  return Budgets[Key{Service, Workspace}];
}

void RetryBudgetTable::tick() {
  const base::BootTime Now = Clock.now();
  std::erase_if(Budgets,
                [Now](const auto &Entry) { return Entry.second.isIdle(Now); });
}

} // namespace retry
