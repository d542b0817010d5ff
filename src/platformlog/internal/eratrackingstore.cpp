#include "platformlog/eratrackingstore.h"

#include <utility>

namespace platformlog {

EraTrackingStore::EraTrackingStore(KeyedStore &Store,
                                   base::MetricsRegistry &Metrics,
                                   RiseListener OnRise)
    : Store(Store), OnRise(std::move(OnRise)),
      Rises(Metrics.counter("store_era_rises_total")),
      SupersededResponses(Metrics.counter("store_responses_superseded_total")) {
}

void EraTrackingStore::readNewestRecords(const std::string &Stream,
                                         Callback Done) {
  Store.readNewestRecords(Stream,
                          tracked(StoreStatus::Unavailable, std::move(Done)));
}

void EraTrackingStore::read(const std::string &Stream, base::LogOffset After,
                            base::Duration Wait, Callback Done) {
  Store.read(Stream, After, Wait,
             tracked(StoreStatus::Unavailable, std::move(Done)));
}

void EraTrackingStore::append(const std::string &Stream,
                              const KeyedRecord &Record,
                              std::optional<base::LogOffset> ExpectedEnd,
                              Callback Done) {
  Store.append(Stream, Record, ExpectedEnd,
               tracked(StoreStatus::Unknown, std::move(Done)));
}

KeyedStore::Callback EraTrackingStore::tracked(StoreStatus Superseded,
                                               Callback Done) {
  return [this, Superseded, Done = std::move(Done)](StoreResult Result) {
    if (!Result.Era || observe(*Result.Era))
      return Done(std::move(Result));
    SupersededResponses.add();
    StoreResult Failure;
    Failure.Status = Superseded;
    Failure.Detail = "response of era " + std::to_string(Result.Era->value()) +
                     ", the store is at era " +
                     std::to_string(Current->value());
    Done(std::move(Failure));
  };
}

bool EraTrackingStore::observe(base::StoreEra Stated) {
  if (!Current)
    Current = Stated;
  if (Stated <= *Current)
    return Stated == *Current;
  const base::StoreEra Earlier = std::exchange(*Current, Stated);
  Risen = true;
  Rises.add();
  OnRise(Earlier, Stated);
  return true;
}

} // namespace platformlog
