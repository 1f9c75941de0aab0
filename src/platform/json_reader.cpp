#include "platform/json_reader.hpp"

#include <boost/json.hpp>

#include <utility>

namespace hickorylatch::platform
{

namespace json = boost::json;

auto parse_object(std::string_view text) -> boost::leaf::result<json::object>
{
    auto error = boost::system::error_code{};
    auto value = json::parse(text, error);
    if (error)
        return boost::leaf::new_error(body_error{error.message()});
    if (!value.is_object())
        return boost::leaf::new_error(body_error{"not an object"});
    return std::move(value.as_object());
}

json_reader::json_reader(json::object const& from) : m_from{from}
{
}

auto json_reader::text(std::string_view name) -> std::string
{
    auto const* member = m_from.if_contains(name);
    if (member == nullptr || member->is_null())
        return {};
    if (!member->is_string())
    {
        fail(name, "is not a string");
        return {};
    }
    return std::string{member->as_string()};
}

auto json_reader::flag(std::string_view name) -> bool
{
    auto const* member = m_from.if_contains(name);
    if (member == nullptr || member->is_null())
        return false;
    if (!member->is_bool())
    {
        fail(name, "is not true or false");
        return false;
    }
    return member->as_bool();
}

auto json_reader::fraction(std::string_view name, double fallback) -> double
{
    auto const* member = m_from.if_contains(name);
    if (member == nullptr || member->is_null())
        return fallback;
    if (!member->is_number())
    {
        fail(name, "is not a number");
        return fallback;
    }
    return member->to_number<double>();
}

auto json_reader::integer(std::string_view name, std::int64_t fallback)
    -> std::int64_t
{
    auto const* member = m_from.if_contains(name);
    if (member == nullptr || member->is_null())
        return fallback;
    auto error = boost::system::error_code{};
    auto const value = member->is_number()
                           ? member->to_number<std::int64_t>(error)
                           : std::int64_t{0};
    if (!member->is_number() || error)
    {
        fail(name, "is not a whole number");
        return fallback;
    }
    return value;
}

auto json_reader::count(std::string_view name, std::uint32_t fallback)
    -> std::uint32_t
{
    auto const value = integer(name, fallback);
    if (!std::in_range<std::uint32_t>(value))
    {
        fail(name, "is out of range");
        return fallback;
    }
    return static_cast<std::uint32_t>(value);
}

auto json_reader::texts(std::string_view name) -> std::vector<std::string>
{
    auto all = std::vector<std::string>{};
    auto const* list = array(name);
    if (list == nullptr)
        return all;
    for (auto const& each : *list)
    {
        if (!each.is_string())
        {
            fail(name, "holds something else than strings");
            return {};
        }
        all.emplace_back(each.as_string());
    }
    return all;
}

auto json_reader::counts(std::string_view name) -> std::vector<std::uint32_t>
{
    auto all = std::vector<std::uint32_t>{};
    auto const* list = array(name);
    if (list == nullptr)
        return all;
    for (auto const& each : *list)
    {
        auto error = boost::system::error_code{};
        auto const value =
            each.is_number() ? each.to_number<std::uint32_t>(error) : 0U;
        if (!each.is_number() || error)
        {
            fail(name, "holds something else than counts");
            return {};
        }
        all.push_back(value);
    }
    return all;
}

auto json_reader::array(std::string_view name) -> json::array const*
{
    auto const* member = m_from.if_contains(name);
    if (member == nullptr || member->is_null())
        return nullptr;
    if (!member->is_array())
        fail(name, "is not a list");
    return member->if_array();
}

auto json_reader::object(std::string_view name) -> json::object const*
{
    auto const* member = m_from.if_contains(name);
    if (member == nullptr || member->is_null())
        return nullptr;
    if (!member->is_object())
        fail(name, "is not an object");
    return member->if_object();
}

auto json_reader::has(std::string_view name) const -> bool
{
    return m_from.contains(name);
}

auto json_reader::fail(std::string_view name, std::string_view what) -> void
{
    if (!m_fault)
        m_fault = std::string{name} + " " + std::string{what};
}

auto json_reader::fault() const -> std::optional<std::string> const&
{
    return m_fault;
}

} // namespace hickorylatch::platform
