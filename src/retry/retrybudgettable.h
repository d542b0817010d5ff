#ifndef JACKDAW_RETRY_RETRYBUDGETTABLE_H
#define JACKDAW_RETRY_RETRYBUDGETTABLE_H

#include "base/clock.h"
#include "base/types.h"
#include "retry/retrybudget.h"

#include <cstddef>
#include <unordered_map>

namespace retry {

/// Retry budgets of one daemon by service and workspace. Budgets that were idle
/// for a whole window are removed, which changes no decision.
class RetryBudgetTable {
public:
  explicit RetryBudgetTable(const base::Clock &Clock) : Clock(Clock) {}

  /// Returns the budget of the pair and creates it if necessary. The reference
  /// is valid until the next `tick`.
  RetryBudget &budget(const base::ServiceName &Service,
                      const base::WorkspaceName &Workspace);

  /// Removes idle budgets. Must be called about once a minute.
  void tick();

  std::size_t size() const { return Budgets.size(); }

private:
  struct Key {
    base::ServiceName Service;
    base::WorkspaceName Workspace;

    friend bool operator==(const Key &, const Key &) = default;
  };

  struct KeyHash {
    std::size_t operator()(const Key &Value) const noexcept;
  };

  const base::Clock &Clock;
  std::unordered_map<Key, RetryBudget, KeyHash> Budgets;
};

} // namespace retry

#endif // JACKDAW_RETRY_RETRYBUDGETTABLE_H
