#ifndef HICKORYLATCH_WIRE_DESCRIBED_CODEC_HPP
#define HICKORYLATCH_WIRE_DESCRIBED_CODEC_HPP

#include "core/model/time.hpp"

#include <boost/describe.hpp>
#include <boost/mp11.hpp>

#include <thrift/TConfiguration.h>
#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/transport/TBufferTransports.h>

#include <concepts>
#include <cstdint>
#include <limits>
#include <memory>
#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>
#include <type_traits>
#include <utility>
#include <variant>
#include <vector>

/// Encodes aggregates with a Boost.Describe description in the Thrift compact
/// protocol. The field id of a member is its position in the description, that
/// of a variant's alternative its position in the variant; both start at 1.
namespace hickorylatch::wire::described
{

namespace thrift = apache::thrift;

using protocol =
    thrift::protocol::TCompactProtocolT<thrift::transport::TMemoryBuffer>;

template <typename T>
concept aggregate = boost::describe::has_describe_members<T>::value;

template <typename T>
inline constexpr auto is_vector = false;
template <typename T>
inline constexpr auto is_vector<std::vector<T>> = true;

template <typename T>
inline constexpr auto is_optional = false;
template <typename T>
inline constexpr auto is_optional<std::optional<T>> = true;

template <typename T>
inline constexpr auto is_variant = false;
template <typename... T>
inline constexpr auto is_variant<std::variant<T...>> = true;

/// Thrift type of a C++ type. Integers and enumerations are encoded as I64,
/// which the compact protocol writes as a variable-length integer.
template <typename T>
constexpr auto wire_type() -> thrift::protocol::TType
{
    if constexpr (std::same_as<T, bool>)
        return thrift::protocol::T_BOOL;
    else if constexpr (std::same_as<T, std::string>)
        return thrift::protocol::T_STRING;
    else if constexpr (std::same_as<T, double>)
        return thrift::protocol::T_DOUBLE;
    else if constexpr (is_vector<T>)
        return thrift::protocol::T_LIST;
    else if constexpr (is_optional<T>)
        return wire_type<typename T::value_type>();
    else if constexpr (aggregate<T> || is_variant<T>)
        return thrift::protocol::T_STRUCT;
    else
        return thrift::protocol::T_I64;
}

template <typename T>
auto write(protocol& out, T const& value) -> void;

template <typename T>
auto write_field(protocol& out, std::int16_t field_id, T const& value) -> void
{
    if constexpr (is_optional<T>)
    {
        if (!value)
            return;
    }
    out.writeFieldBegin("", wire_type<T>(), field_id);
    write(out, value);
    out.writeFieldEnd();
}

template <aggregate T>
auto write_members(protocol& out, T const& value) -> void
{
    using members =
        boost::describe::describe_members<T, boost::describe::mod_public>;
    auto field_id = std::int16_t{0};
    out.writeStructBegin("");
    boost::mp11::mp_for_each<members>(
        [&](auto member)
        {
            write_field(out, ++field_id, value.*member.pointer);
        });
    out.writeFieldStop();
    out.writeStructEnd();
}

template <typename T>
auto write(protocol& out, T const& value) -> void
{
    if constexpr (std::same_as<T, bool>)
        out.writeBool(value);
    else if constexpr (std::same_as<T, std::string>)
        out.writeBinary(value);
    else if constexpr (std::same_as<T, double>)
        out.writeDouble(value);
    else if constexpr (std::same_as<T, core::duration>)
        out.writeI64(value.count());
    else if constexpr (is_optional<T>)
        write(out, *value);
    else if constexpr (is_vector<T>)
    {
        out.writeListBegin(wire_type<typename T::value_type>(),
                           static_cast<std::uint32_t>(value.size()));
        for (auto const& element : value)
            write(out, element);
        out.writeListEnd();
    }
    else if constexpr (is_variant<T>)
    {
        out.writeStructBegin("");
        std::visit(
            [&](auto const& alternative)
            {
                write_field(out, static_cast<std::int16_t>(value.index() + 1),
                            alternative);
            },
            value);
        out.writeFieldStop();
        out.writeStructEnd();
    }
    else if constexpr (aggregate<T>)
        write_members(out, value);
    else
        out.writeI64(static_cast<std::int64_t>(value));
}

template <typename T>
auto read(protocol& in, T& value) -> void;

template <typename T>
auto read_integer(protocol& in, T& value) -> void
{
    auto wide = std::int64_t{0};
    in.readI64(wide);
    if constexpr (std::is_enum_v<T>)
    {
        auto narrow = std::underlying_type_t<T>{};
        if (!std::in_range<std::underlying_type_t<T>>(wide) &&
            sizeof(narrow) < sizeof(wide))
            throw std::out_of_range{"enumeration value out of range"};
        value = static_cast<T>(wide);
    }
    else
    {
        if (sizeof(T) < sizeof(wide) && !std::in_range<T>(wide))
            throw std::out_of_range{"integer out of range"};
        value = static_cast<T>(wide);
    }
}

template <typename T>
auto read_list(protocol& in, std::vector<T>& value) -> void
{
    auto type = thrift::protocol::T_STOP;
    auto count = std::uint32_t{0};
    in.readListBegin(type, count);
    if (count > 0 && type != wire_type<T>())
        throw std::invalid_argument{"list of another element type"};
    // Grows with the elements that are read, so that a false count does not
    // allocate memory.
    value.clear();
    for (auto index = 0U; index < count; ++index)
        read(in, value.emplace_back());
    in.readListEnd();
}

template <typename Field>
auto read_fields(protocol& in, Field&& read_field) -> void
{
    auto name = std::string{};
    in.readStructBegin(name);
    while (true)
    {
        auto type = thrift::protocol::T_STOP;
        auto field_id = std::int16_t{0};
        in.readFieldBegin(name, type, field_id);
        if (type == thrift::protocol::T_STOP)
            break;
        if (!read_field(type, field_id))
            in.skip(type);
        in.readFieldEnd();
    }
    in.readStructEnd();
}

template <aggregate T>
auto read_members(protocol& in, T& value) -> void
{
    using members =
        boost::describe::describe_members<T, boost::describe::mod_public>;
    read_fields(in,
                [&](thrift::protocol::TType type, std::int16_t field_id) -> bool
                {
                    auto position = std::int16_t{0};
                    auto is_known = false;
                    boost::mp11::mp_for_each<members>(
                        [&](auto member)
                        {
                            auto& target = value.*member.pointer;
                            using target_type =
                                std::remove_reference_t<decltype(target)>;
                            if (++position != field_id)
                                return;
                            if (type != wire_type<target_type>())
                                throw std::invalid_argument{
                                    "field of another type"};
                            read(in, target);
                            is_known = true;
                        });
                    return is_known;
                });
}

template <typename... Alternatives>
auto read_variant(protocol& in, std::variant<Alternatives...>& value) -> void
{
    auto count = 0;
    read_fields(in,
                [&](thrift::protocol::TType type, std::int16_t field_id) -> bool
                {
                    if (type != thrift::protocol::T_STRUCT || field_id < 1 ||
                        static_cast<std::size_t>(field_id) >
                            sizeof...(Alternatives))
                        throw std::invalid_argument{"unknown alternative"};
                    ++count;
                    boost::mp11::mp_with_index<sizeof...(Alternatives)>(
                        static_cast<std::size_t>(field_id - 1),
                        [&](auto index)
                        {
                            read(in, value.template emplace<index>());
                        });
                    return true;
                });
    if (count != 1)
        throw std::invalid_argument{"not exactly one alternative"};
}

template <typename T>
auto read(protocol& in, T& value) -> void
{
    if constexpr (std::same_as<T, bool>)
        in.readBool(value);
    else if constexpr (std::same_as<T, std::string>)
        in.readBinary(value);
    else if constexpr (std::same_as<T, double>)
        in.readDouble(value);
    else if constexpr (std::same_as<T, core::duration>)
    {
        auto count = std::int64_t{0};
        in.readI64(count);
        value = core::duration{count};
    }
    else if constexpr (is_optional<T>)
        read(in, value.emplace());
    else if constexpr (is_vector<T>)
        read_list(in, value);
    else if constexpr (is_variant<T>)
        read_variant(in, value);
    else if constexpr (aggregate<T>)
        read_members(in, value);
    else
        read_integer(in, value);
}

/// Largest buffer that the encoder keeps for the next value, in bytes.
inline constexpr auto max_retained_buffer_size = std::uint32_t{64} << 10U;

template <typename T>
[[nodiscard]] auto to_bytes(T const& value) -> std::string
{
    // Reused for the next value, because creating both takes longer than
    // encoding most messages.
    thread_local auto const buffer =
        std::make_shared<thrift::transport::TMemoryBuffer>();
    thread_local auto out = protocol{buffer};
    buffer->resetBuffer();
    write(out, value);
    auto bytes = buffer->getBufferAsString();
    // Frees the buffer of a large value, such as a snapshot. Otherwise it would
    // stay allocated until the thread ends, beside the bytes that are returned.
    if (buffer->getBufferSize() > max_retained_buffer_size)
        buffer->resetBuffer(thrift::transport::TMemoryBuffer::defaultSize);
    return bytes;
}

/// Throws a standard or Thrift exception if the bytes are not exactly one
/// value.
template <typename T>
[[nodiscard]] auto from_bytes(std::string_view bytes) -> T
{
    using thrift::transport::TMemoryBuffer;
    auto const size = static_cast<std::uint32_t>(bytes.size());
    static auto const limits = std::make_shared<thrift::TConfiguration>(
        std::numeric_limits<int>::max());
    auto buffer = std::make_shared<TMemoryBuffer>(
        // With OBSERVE the buffer neither writes, copies nor frees the bytes.
        reinterpret_cast<std::uint8_t*>(const_cast<char*>(bytes.data())), size,
        TMemoryBuffer::OBSERVE, limits);
    auto const limit = static_cast<std::int32_t>(size);
    auto in = protocol{buffer, limit, limit};
    auto value = T{};
    read(in, value);
    if (buffer->available_read() != 0)
        throw std::invalid_argument{"bytes after the end of the value"};
    return value;
}

} // namespace hickorylatch::wire::described

#endif
