#ifndef JACKDAW_NODE_REPLYTABLE_H
#define JACKDAW_NODE_REPLYTABLE_H

#include "base/clock.h"

#include <condition_variable>
#include <map>
#include <mutex>
#include <optional>

namespace node {

/// Lets threads wait for replies to messages that they have sent. Safe to use
/// from any thread.
template <typename Id, typename Reply> class ReplyTable {
public:
  /// Must be called before the message is sent.
  void expect(const Id &Key) {
    std::lock_guard Lock(Mutex);
    Waiting.emplace(Key, std::nullopt);
  }

  /// Waits for the reply, at most `Timeout` of real time, and stops expecting
  /// it.
  std::optional<Reply> wait(const Id &Key, base::Duration Timeout) {
    std::unique_lock Lock(Mutex);
    Arrived.wait_for(Lock, Timeout,
                     [this, &Key] { return Waiting[Key].has_value(); });
    std::optional<Reply> Result = std::move(Waiting[Key]);
    Waiting.erase(Key);
    return Result;
  }

  /// Hands over a reply; false if nobody expects it.
  bool deliver(const Id &Key, Reply Value) {
    std::lock_guard Lock(Mutex);
    const auto Found = Waiting.find(Key);
    if (Found == Waiting.end())
      return false;
    Found->second = std::move(Value);
    Arrived.notify_all();
    return true;
  }

private:
  std::mutex Mutex;
  std::condition_variable Arrived;
  std::map<Id, std::optional<Reply>> Waiting;
};

} // namespace node

#endif // JACKDAW_NODE_REPLYTABLE_H
