#ifndef JACKDAW_HTTP_INTERNAL_BLOCKBODY_H
#define JACKDAW_HTTP_INTERNAL_BLOCKBODY_H

#include <boost/asio/buffer.hpp>
#include <boost/beast/core/buffers_range.hpp>
#include <boost/beast/core/error.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/optional.hpp>

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace http {

/// A body that is being received, in blocks. A string that grows is copied to a
/// larger place each time, which takes up to three times its size.
class BlockList {
public:
  /// Prepares for a body of this length.
  void expect(std::uint64_t Length);

  void append(const char *Bytes, std::size_t Count);

  std::size_t size() const { return Size; }

  /// Moves the bytes out. Takes little more memory than their size.
  std::string take();

private:
  std::vector<std::string> Blocks;
  std::size_t Size = 0;
};

/// Makes the parser collect a body in a `BlockList`.
struct BlockBody {
  using value_type = BlockList;

  class Reader {
  public:
    template <bool IsRequest, class Fields>
    Reader(boost::beast::http::header<IsRequest, Fields> &, BlockList &Target)
        : Target(Target) {}

    void init(const boost::optional<std::uint64_t> &Length,
              boost::beast::error_code &Problem) {
      Problem = {};
      if (Length)
        Target.expect(*Length);
    }

    template <class Buffers>
    std::size_t put(const Buffers &Received,
                    boost::beast::error_code &Problem) {
      Problem = {};
      std::size_t Total = 0;
      for (const auto Each : boost::beast::buffers_range_ref(Received)) {
        Target.append(static_cast<const char *>(Each.data()), Each.size());
        Total += Each.size();
      }
      return Total;
    }

    void finish(boost::beast::error_code &Problem) { Problem = {}; }

  private:
    BlockList &Target;
  };
  using reader = Reader;
};

} // namespace http

#endif // JACKDAW_HTTP_INTERNAL_BLOCKBODY_H
