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

json_reader::json_reader(json::object const& object) : m_object{object}
{
}

auto json_reader::string(std::string_view name) -> std::string
{
    auto const* member = m_object.if_contains(name);
    if (member == nullptr || member->is_null())
        return {};
    if (!member->is_string())
    {
        add_error(name, "is not a string");
        return {};
    }
    return std::string{member->as_string()};
}

auto json_reader::boolean(std::string_view name) -> bool
{
    auto const* member = m_object.if_contains(name);
    if (member == nullptr || member->is_null())
        return false;
    if (!member->is_bool())
    {
        add_error(name, "is not true or false");
        return false;
    }
    return member->as_bool();
}

auto json_reader::number(std::string_view name, double fallback) -> double
{
    auto const* member = m_object.if_contains(name);
    if (member == nullptr || member->is_null())
        return fallback;
    if (!member->is_number())
    {
        add_error(name, "is not a number");
        return fallback;
    }
    return member->to_number<double>();
}

auto json_reader::integer(std::string_view name, std::int64_t fallback)
    -> std::int64_t
{
    auto const* member = m_object.if_contains(name);
    if (member == nullptr || member->is_null())
        return fallback;
    auto error = boost::system::error_code{};
    auto const value = member->is_number()
                           ? member->to_number<std::int64_t>(error)
                           : std::int64_t{0};
    if (!member->is_number() || error)
    {
        add_error(name, "is not a whole number");
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
        add_error(name, "is out of range");
        return fallback;
    }
    return static_cast<std::uint32_t>(value);
}

auto json_reader::strings(std::string_view name) -> std::vector<std::string>
{
    auto values = std::vector<std::string>{};
    auto const* items = array(name);
    if (items == nullptr)
        return values;
    for (auto const& item : *items)
    {
        if (!item.is_string())
        {
            add_error(name, "holds something else than strings");
            return {};
        }
        values.emplace_back(item.as_string());
    }
    return values;
}

auto json_reader::counts(std::string_view name) -> std::vector<std::uint32_t>
{
    auto values = std::vector<std::uint32_t>{};
    auto const* items = array(name);
    if (items == nullptr)
        return values;
    for (auto const& item : *items)
    {
        auto error = boost::system::error_code{};
        auto const value =
            item.is_number() ? item.to_number<std::uint32_t>(error) : 0U;
        if (!item.is_number() || error)
        {
            add_error(name, "holds something else than counts");
            return {};
        }
        values.push_back(value);
    }
    return values;
}

auto json_reader::array(std::string_view name) -> json::array const*
{
    auto const* member = m_object.if_contains(name);
    if (member == nullptr || member->is_null())
        return nullptr;
    if (!member->is_array())
        add_error(name, "is not a list");
    return member->if_array();
}

auto json_reader::object(std::string_view name) -> json::object const*
{
    auto const* member = m_object.if_contains(name);
    if (member == nullptr || member->is_null())
        return nullptr;
    if (!member->is_object())
        add_error(name, "is not an object");
    return member->if_object();
}

auto json_reader::has(std::string_view name) const -> bool
{
    return m_object.contains(name);
}

auto json_reader::add_error(std::string_view name, std::string_view problem)
    -> void
{
    if (!m_first_error)
        m_first_error = std::string{name} + " " + std::string{problem};
}

auto json_reader::first_error() const -> std::optional<std::string> const&
{
    return m_first_error;
}

} // namespace hickorylatch::platform
