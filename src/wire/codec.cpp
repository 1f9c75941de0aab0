#include "wire/codec.hpp"

#include "wire/described_codec.hpp"

#include <boost/leaf/error.hpp>

#include <exception>

namespace hickorylatch::wire
{

namespace
{

template <typename T>
[[nodiscard]] auto decode(std::string_view bytes) -> boost::leaf::result<T>
{
    try
    {
        return described::from_bytes<T>(bytes);
    }
    catch (std::exception const& error)
    {
        return boost::leaf::new_error(decode_error{error.what()});
    }
}

} // namespace

auto encode(core::message const& value) -> std::string
{
    return described::to_bytes(value);
}

auto encode(core::log_entry const& value) -> std::string
{
    return described::to_bytes(value);
}

auto encode(core::snapshot const& value) -> std::string
{
    return described::to_bytes(value);
}

auto encode(core::hard_state const& value) -> std::string
{
    return described::to_bytes(value);
}

auto encode(core::control_image const& value) -> std::string
{
    return described::to_bytes(value);
}

auto decode_control_image(std::string_view bytes)
    -> boost::leaf::result<core::control_image>
{
    return decode<core::control_image>(bytes);
}

auto decode_message(std::string_view bytes)
    -> boost::leaf::result<core::message>
{
    return decode<core::message>(bytes);
}

auto decode_log_entry(std::string_view bytes)
    -> boost::leaf::result<core::log_entry>
{
    return decode<core::log_entry>(bytes);
}

auto decode_snapshot(std::string_view bytes)
    -> boost::leaf::result<core::snapshot>
{
    return decode<core::snapshot>(bytes);
}

auto decode_hard_state(std::string_view bytes)
    -> boost::leaf::result<core::hard_state>
{
    return decode<core::hard_state>(bytes);
}

} // namespace hickorylatch::wire
