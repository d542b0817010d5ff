#ifndef JACKDAW_RELAY_MESSAGES_H
#define JACKDAW_RELAY_MESSAGES_H

#include "base/codec.h"
#include "execution/messages.h"
#include "execution/types.h"
#include "http/message.h"
#include "transport/types.h"

#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>

#include <cstdint>

namespace relay {

/// Types of the frames between daemons.
enum class FrameType : std::uint8_t {
  Call = 1,
  CallAnswer,
  Fence,
  FenceReply,
  PermitRequest,
  PermitGrant,
  PermitReturn,
};

/// A request on its way from the entry daemon to the serving daemon.
struct CallFrame {
  execution::CallContext Context;
  /// Longest wait in the serving daemon's queue, in microseconds.
  std::uint64_t QueueTimeMicros = 0;
  /// The backend server beside the entry daemon made the request for a request
  /// that it works on.
  bool Inner = false;
  http::Request Request;

  template <class Archive> void serialize(Archive &Ar) {
    Ar(Context, QueueTimeMicros, Inner, Request);
  }
};

/// Where a call spent its time at the serving daemon, in microseconds.
struct CallTimes {
  std::uint64_t QueueMicros = 0;
  std::uint64_t ServerMicros = 0;

  template <class Archive> void serialize(Archive &Ar) {
    Ar(QueueMicros, ServerMicros);
  }
};

struct CallAnswerFrame {
  base::RequestId Id;
  execution::Response Answer;
  /// Calls queued and running at the serving daemon.
  std::uint32_t Load = 0;
  /// Calls that it lets run at a time.
  std::uint32_t Slots = 0;
  /// The call, or one that the backend server made for it, waited for a slot.
  bool Congested = false;
  CallTimes Times;

  template <class Archive> void serialize(Archive &Ar) {
    Ar(Id, Answer, Load, Slots, Congested, Times);
  }
};

/// The frame that carries `Message`.
template <typename T>
transport::Frame makeFrame(FrameType Type, const T &Message) {
  return {static_cast<std::uint8_t>(Type), base::encode(Message)};
}

} // namespace relay

#endif // JACKDAW_RELAY_MESSAGES_H
