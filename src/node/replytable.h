#ifndef JACKDAW_NODE_REPLYTABLE_H
#define JACKDAW_NODE_REPLYTABLE_H

#include "base/clock.h"

#include <condition_variable>
#include <map>
#include <mutex>
#include <optional>

namespace node {

/// Matches replies to the threads that wait for them. Safe to use from any
/// thread.
template <typename Id, typename Reply> class ReplyTable {
public:
  /// Registers a pending reply. Must be called before the message is sent.
  void expect(const Id &Key) {
    std::lock_guard Lock(Mutex);
    Pending.emplace(Key, std::nullopt);
  }

  /// Waits for the reply for up to `Timeout` of real time and unregisters it.
  /// Returns no value on timeout.
  std::optional<Reply> wait(const Id &Key, base::Duration Timeout) {
    std::unique_lock Lock(Mutex);
    ReplyArrived.wait_for(Lock, Timeout,
                          [this, &Key] { return Pending[Key].has_value(); });
    std::optional<Reply> Result = std::move(Pending[Key]);
    Pending.erase(Key);
    return Result;
  }

  /// Passes a reply to the thread that waits for it. Returns false if the reply
  /// isn't pending.
  bool deliver(const Id &Key, Reply Value) {
    std::lock_guard Lock(Mutex);
    const auto Found = Pending.find(Key);
    if (Found == Pending.end())
      return false;
    Found->second = std::move(Value);
    ReplyArrived.notify_all();
    return true;
  }

private:
  std::mutex Mutex;
  std::condition_variable ReplyArrived;
  std::map<Id, std::optional<Reply>> Pending;
};

} // namespace node

#endif // JACKDAW_NODE_REPLYTABLE_H
