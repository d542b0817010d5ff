#ifndef JACKDAW_TRANSPORT_INTERNAL_FRAGMENTS_H
#define JACKDAW_TRANSPORT_INTERNAL_FRAGMENTS_H

#include "base/memorybudget.h"
#include "transport/types.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <string_view>

namespace transport {

/// Largest content of a fragment in bytes. Frames without a payload whose body
/// is not larger are not fragmented.
inline constexpr std::size_t kFragmentBytes = 64 << 10;

/// Frames that are fragmented at the same time in one direction of a
/// connection.
inline constexpr std::size_t kFragmentStreams = 4;

/// Types of the frames that carry fragments: the first of a message, which
/// states the sizes of its parts, and the others.
inline constexpr std::uint8_t kFirstFragmentType = kFirstReservedType + 10;
inline constexpr std::uint8_t kNextFragmentType = kFirstReservedType + 11;

/// Bytes of a fragment besides its content, at most.
inline constexpr std::size_t kFragmentHeaderBytes = 12;

/// Whether a frame is sent in fragments.
inline bool isFragmented(const Frame &Message) {
  return Message.Payload || Message.Body.size() > kFragmentBytes;
}

/// Large frames that wait to be sent, and those of which a part was sent. Up to
/// `kFragmentStreams` of them take turns, in the order in which they were
/// added. A frame is released when its last fragment has been taken.
class FragmentQueue {
public:
  bool empty() const { return Frames == 0; }

  /// Total size of the frames, including what was sent of them, in bytes.
  std::size_t queuedBytes() const { return Bytes; }

  void push(Frame Message);

  /// Appends the next fragment, with its frame type, to `Out`. The queue must
  /// not be empty.
  void appendNext(std::string &Out);

private:
  struct Outgoing {
    Frame Message;
    /// Bytes of both parts that were taken.
    std::size_t Taken = 0;
  };

  void appendContent(std::string &Out, Outgoing &Current);

  std::array<std::optional<Outgoing>, kFragmentStreams> Streams;
  std::deque<Frame> Waiting;
  /// The stream whose turn it is.
  std::size_t Turn = 0;
  std::size_t Frames = 0;
  std::size_t Bytes = 0;
};

/// Puts the frames together that a peer sends in fragments. Memory is used as
/// the fragments arrive, up to `kMaxQueuedBytes` for all frames.
class FragmentAssembler {
public:
  /// `Budget` is charged with the payloads; may be null.
  explicit FragmentAssembler(base::MemoryBudget *Budget = nullptr)
      : Budget(Budget) {}

  enum class Result { Incomplete, Complete, Malformed };

  /// Adds a fragment, without its frame type. `Completed` is set if the result
  /// is `Complete`. A fragment that exceeds a limit is malformed too; the
  /// assembler must not be used after that.
  Result addFirst(std::string_view Fragment, Frame &Completed);
  Result addNext(std::string_view Fragment, Frame &Completed);

private:
  struct Incoming {
    std::uint8_t Type = 0;
    std::size_t BodyBytes = 0;
    std::size_t PayloadBytes = 0;
    std::string Body;
    std::string Payload;
    base::MemoryReservation Memory;
    /// There is no memory for the payload, whose bytes are only counted.
    bool DropsPayload = false;
    std::size_t PayloadReceived = 0;
  };

  Result addContent(std::size_t Stream, std::string_view Content,
                    Frame &Completed);

  base::MemoryBudget *Budget;
  std::array<std::optional<Incoming>, kFragmentStreams> Streams;
  /// Total of the stated sizes.
  std::size_t Bytes = 0;
};

} // namespace transport

#endif // JACKDAW_TRANSPORT_INTERNAL_FRAGMENTS_H
