#include "net/frame_buffer.hpp"

#include "net/error.hpp"

#include <boost/leaf/error.hpp>

#include <cstdint>

namespace hickorylatch::net
{

namespace leaf = boost::leaf;

auto frame_header(std::size_t body_size) -> std::array<char, frame_header_size>
{
    auto header = std::array<char, frame_header_size>{};
    auto shift = 8 * frame_header_size;
    for (auto& byte : header)
    {
        shift -= 8;
        byte = static_cast<char>((body_size >> shift) & 0xFFU);
    }
    return header;
}

frame_buffer::frame_buffer(std::size_t limit) : m_limit{limit}
{
}

auto frame_buffer::set_limit(std::size_t limit) -> void
{
    m_limit = limit;
}

auto frame_buffer::append(std::string_view bytes) -> void
{
    // Compacting only when the unread part is at most half of the buffer keeps
    // the total cost linear.
    if (m_begin >= m_bytes.size() - m_begin)
    {
        m_bytes.erase(0, m_begin);
        m_begin = 0;
    }
    m_bytes.append(bytes);
}

auto frame_buffer::next() -> leaf::result<std::optional<std::string_view>>
{
    if (pending() < frame_header_size)
        return std::optional<std::string_view>{};
    auto const rest = std::string_view{m_bytes}.substr(m_begin);
    auto size = std::size_t{0};
    for (auto const byte : rest.substr(0, frame_header_size))
        size = (size << 8U) | static_cast<std::uint8_t>(byte);
    if (size > m_limit)
    {
        return leaf::new_error(error{"frame of " + std::to_string(size) +
                                     " bytes is over the limit of " +
                                     std::to_string(m_limit)});
    }
    if (rest.size() - frame_header_size < size)
        return std::optional<std::string_view>{};
    m_begin += frame_header_size + size;
    return std::optional{rest.substr(frame_header_size, size)};
}

auto frame_buffer::pending() const -> std::size_t
{
    return m_bytes.size() - m_begin;
}

} // namespace hickorylatch::net
