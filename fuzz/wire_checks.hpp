#ifndef HICKORYLATCH_FUZZ_WIRE_CHECKS_HPP
#define HICKORYLATCH_FUZZ_WIRE_CHECKS_HPP

#include "fuzz/require.hpp"

#include "net/frame_buffer.hpp"
#include "wire/codec.hpp"

#include <algorithm>
#include <cstddef>
#include <string_view>

namespace hickorylatch::fuzz
{

/// Checks that a message that decodes is unchanged by encoding and decoding it
/// again.
inline auto check_message(std::string_view bytes) -> void
{
    auto const first = wire::decode_message(bytes);
    if (!first)
        return;
    auto const encoded = wire::encode(first.value());
    auto const second = wire::decode_message(encoded);
    require(second && wire::encode(second.value()) == encoded,
            "a message changes when it is encoded again");
}

/// Decodes the frames of a stream that arrives in chunks; the first byte sets
/// the chunk size.
inline auto check_frames(std::string_view bytes) -> void
{
    constexpr auto limit = std::size_t{4096};
    if (bytes.empty())
        return;
    auto const chunk_size =
        std::size_t{static_cast<unsigned char>(bytes[0])} + 1;
    bytes.remove_prefix(1);
    auto buffer = net::frame_buffer{limit};
    while (!bytes.empty())
    {
        buffer.append(bytes.substr(0, chunk_size));
        bytes.remove_prefix(std::min(chunk_size, bytes.size()));
        while (true)
        {
            auto const frame = buffer.next();
            if (!frame)
                return;
            if (!frame.value())
                break;
            require(frame.value()->size() <= limit, "a frame over the limit");
            check_message(*frame.value());
        }
    }
}

} // namespace hickorylatch::fuzz

#endif
