#ifndef JACKDAW_TRANSPORT_REPLAYWINDOW_H
#define JACKDAW_TRANSPORT_REPLAYWINDOW_H

#include <cstdint>

namespace transport {

/// Recognises datagrams of one sender that the network delivers more than once.
/// The sender numbers its datagrams upwards from 1; they may arrive in any
/// order. Numbers that are more than `kLength` below the highest one are taken
/// for duplicates.
class ReplayWindow {
public:
  static constexpr std::uint64_t kLength = 64;

  /// Records a number. Returns false if the datagram is, or may be, a
  /// duplicate.
  [[nodiscard]] bool accept(std::uint64_t Number);

private:
  std::uint64_t Highest = 0;
  /// Bit N is set if the number `Highest` - N was received.
  std::uint64_t Received = 0;
};

} // namespace transport

#endif // JACKDAW_TRANSPORT_REPLAYWINDOW_H
