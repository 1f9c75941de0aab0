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

/// Bytes of the length in front of each frame.
inline constexpr auto frame_header_size = std::size_t{4};

/// The big-endian length that precedes a frame's body.
[[nodiscard]] auto frame_header(std::size_t body_size)
    -> std::array<char, frame_header_size>;

/// Splits a stream of bytes into length-prefixed frames.
class frame_buffer
{
public:
    /// Limit of a frame's body in bytes.
    explicit frame_buffer(std::size_t limit);

    auto append(std::string_view bytes) -> void;
    /// Replaces the limit for the frames that `next` has not returned yet.
    auto set_limit(std::size_t limit) -> void;
    /// Removes the next whole frame and returns its body, valid until the next
    /// `append`; empty if more bytes are needed. An announced length over the
    /// limit is a `net::error`, and the stream can't be read any further.
    [[nodiscard]] auto next()
        -> boost::leaf::result<std::optional<std::string_view>>;
    /// Bytes that are not yet part of a whole frame.
    [[nodiscard]] auto pending() const -> std::size_t;

private:
    std::size_t m_limit;
    std::size_t m_begin = 0;
    std::string m_bytes;
};

} // namespace hickorylatch::net

#endif
