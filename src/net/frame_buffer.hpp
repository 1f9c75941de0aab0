#ifndef HICKORYLATCH_NET_FRAME_BUFFER_HPP
#define HICKORYLATCH_NET_FRAME_BUFFER_HPP

#include <boost/leaf/result.hpp>

#include <array>
#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace hickorylatch::net
{

/// Size in bytes of the length field that precedes each frame.
inline constexpr auto frame_header_size = std::size_t{4};

/// The big-endian length that precedes a frame's body.
[[nodiscard]] auto frame_header(std::size_t body_size)
    -> std::array<char, frame_header_size>;

/// Splits a stream of bytes into length-prefixed frames.
class frame_buffer
{
public:
    /// `limit` is the largest accepted frame body in bytes.
    explicit frame_buffer(std::size_t limit);

    auto append(std::string_view bytes) -> void;
    /// Changes the limit for frames that `next` has not returned yet.
    auto set_limit(std::size_t limit) -> void;
    /// Removes the next complete frame and returns its body, valid until the
    /// next `append`; empty if more bytes are needed. Fails with a `net::error`
    /// if a length field is over the limit; the rest of the stream can't be
    /// decoded then.
    [[nodiscard]] auto next()
        -> boost::leaf::result<std::optional<std::string_view>>;
    /// Buffered bytes that `next` has not returned yet.
    [[nodiscard]] auto pending() const -> std::size_t;

private:
    std::size_t m_limit;
    std::size_t m_begin = 0;
    std::string m_bytes;
};

} // namespace hickorylatch::net

#endif
