#ifndef JACKDAW_PLATFORMLOG_ERATRACKINGSTORE_H
#define JACKDAW_PLATFORMLOG_ERATRACKINGSTORE_H

#include "base/metrics.h"
#include "platformlog/keyedstore.h"

#include <functional>
#include <optional>
#include <string>

namespace platformlog {

/// Passes calls on to a store and tracks its era. A rise is reported before the
/// response that states it. A response of an earlier era than the current one
/// is replaced by a failure, since what it states may be gone: `Unknown` for an
/// append, which may have been stored and lost, and `Unavailable` for a read.
class EraTrackingStore final : public KeyedStore {
public:
  using RiseListener =
      std::function<void(base::StoreEra From, base::StoreEra To)>;

  EraTrackingStore(KeyedStore &Store, base::MetricsRegistry &Metrics,
                   RiseListener OnRise);

  /// The highest era that a response has stated; 0 before the first one.
  base::StoreEra era() const { return Current.value_or(base::StoreEra()); }

  /// Whether the era has risen since this process started.
  bool hasRisen() const { return Risen; }

  void readNewestRecords(const std::string &Stream, Callback Done) override;
  void read(const std::string &Stream, base::LogOffset After,
            base::Duration Wait, Callback Done) override;
  void append(const std::string &Stream, const KeyedRecord &Record,
              std::optional<base::LogOffset> ExpectedEnd,
              Callback Done) override;

private:
  /// Wraps the callback of a call that fails with `Superseded` if its response
  /// is of an earlier era.
  Callback tracked(StoreStatus Superseded, Callback Done);
  /// Returns false if the response is of an earlier era.
  bool observe(base::StoreEra Stated);

  KeyedStore &Store;
  const RiseListener OnRise;
  base::Counter &Rises;
  base::Counter &SupersededResponses;
  std::optional<base::StoreEra> Current;
  bool Risen = false;
};

} // namespace platformlog

#endif // JACKDAW_PLATFORMLOG_ERATRACKINGSTORE_H
