#ifndef JACKDAW_RELAY_MESSAGES_H
#define JACKDAW_RELAY_MESSAGES_H

#include "base/codec.h"
#include "execution/messages.h"
#include "execution/types.h"
#include "http/message.h"
#include "relay/types.h"
#include "transport/types.h"

#include <cereal/types/optional.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>

#include <cstdint>
#include <memory>
#include <optional>
#include <string>

namespace relay {

/// Types of the frames between daemons, as sent on the wire.
enum class FrameType : std::uint8_t {
  Call = 1,
  CallResponse,
  Fence,
  FenceReply,
  // 5 to 7 and 10 were used for messages that are datagrams now.
  ServerNotice = 8,
  ServerReminder,
};

/// A request that the entry daemon sends to the serving daemon. A large body
/// is the payload of the frame.
struct CallFrame {
  execution::CallContext Context;
  /// Longest wait in the serving daemon's queue, in microseconds.
  std::uint64_t MaxQueueTimeMicros = 0;
  /// An inner call: the entry daemon's local backend server made the request
  /// while running another one.
  bool Inner = false;
  http::Request Request;
  /// The daemon that received the call had no memory for the body of the
  /// request. Not serialized.
  bool BodyDropped = false;

  template <class Archive> void serialize(Archive &Ar) {
    Ar(Context, MaxQueueTimeMicros, Inner, Request);
  }
};

/// Times that a call spent in the serving daemon's queue and at its backend
/// server, in microseconds.
struct CallTimes {
  std::uint64_t QueueMicros = 0;
  std::uint64_t ServerMicros = 0;

  template <class Archive> void serialize(Archive &Ar) {
    Ar(QueueMicros, ServerMicros);
  }
};

/// A large body of the response is the payload of the frame.
struct CallResponseFrame {
  base::CallId Id;
  execution::Response Response;
  /// The body of the response instead of the one in `Response`, which is empty
  /// then; otherwise null. Not serialized.
  std::shared_ptr<const std::string> SharedBody = nullptr;
  /// Calls queued and running at the serving daemon.
  std::uint32_t Load = 0;
  /// Concurrent calls that the serving daemon runs at most.
  std::uint32_t Slots = 0;
  /// The call, or one that the backend server made for it, was refused as
  /// overloaded or waited for a slot for more than 20 ms
  /// (`kCongestedQueueTime` in callexecutor.cpp).
  bool Congested = false;
  CallTimes Times;
  /// Percentage of its calls that the backend server fails or refuses now.
  std::uint8_t FailurePercent = 0;

  template <class Archive> void serialize(Archive &Ar) {
    Ar(Id, Response, Load, Slots, Congested, Times, FailurePercent);
  }
};

/// What the backend server beside the sending daemon states about itself, for
/// the daemons that send calls to it. Sent ahead of a response.
struct ServerNotice {
  ServerIncarnation Server;
  /// Requests that it takes from all daemons together; empty if it states no
  /// limit.
  std::optional<base::RequestRate> RateLimit;
  bool Leaving = false;
  /// Time after which the receiving daemon should send its next call because of
  /// the limit, in microseconds.
  std::uint64_t AvailableAfterMicros = 0;

  template <class Archive> void serialize(Archive &Ar) {
    Ar(Server, RateLimit, Leaving, AvailableAfterMicros);
  }
};

/// Reminds a daemon of what its own backend server stated, in case the daemon
/// has been restarted since. Sent ahead of a call.
struct ServerReminder {
  ServerIncarnation Server;
  std::optional<base::RequestRate> RateLimit;
  bool Leaving = false;

  template <class Archive> void serialize(Archive &Ar) {
    Ar(Server, RateLimit, Leaving);
  }
};

/// Encodes `Message` as a frame of the given type.
template <typename T>
transport::Frame makeFrame(FrameType Type, const T &Message) {
  return {static_cast<std::uint8_t>(Type), base::encode(Message)};
}

/// The same for a call. A shared body becomes the payload of the frame.
inline transport::Frame makeFrame(FrameType Type, const CallFrame &Message) {
  return {static_cast<std::uint8_t>(Type), base::encode(Message),
          Message.Request.SharedBody, true};
}

/// The same for a response.
inline transport::Frame makeFrame(FrameType Type,
                                  const CallResponseFrame &Message) {
  return {static_cast<std::uint8_t>(Type), base::encode(Message),
          Message.SharedBody};
}

/// Decodes the frame of a call. Returns no value if it is malformed.
inline std::optional<CallFrame> decodeCall(const transport::Frame &Received) {
  auto Message = base::decode<CallFrame>(Received.Body);
  if (Message && Received.Payload)
    Message->Request.SharedBody = Received.Payload;
  if (Message)
    Message->BodyDropped = Received.PayloadDropped;
  return Message;
}

/// The same for a response.
inline std::optional<CallResponseFrame>
decodeCallResponse(const transport::Frame &Received) {
  auto Message = base::decode<CallResponseFrame>(Received.Body);
  if (Message && Received.Payload)
    Message->Response.Body = *Received.Payload;
  return Message;
}

} // namespace relay

#endif // JACKDAW_RELAY_MESSAGES_H
