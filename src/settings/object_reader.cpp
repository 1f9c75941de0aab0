#include "settings/object_reader.hpp"

#include "settings/canonical_json.hpp"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/value.hpp>

#include <algorithm>
#include <utility>

namespace hickorylatch::settings
{

namespace
{

constexpr auto max_name_bytes = std::size_t{128};
constexpr auto max_service_name_bytes = std::size_t{64};

auto to_integer(boost::json::value const& value) -> std::optional<std::int64_t>
{
    if (auto const* const number = value.if_int64())
        return *number;
    // Boost.JSON uses unsigned numbers only above the signed range, which
    // exceeds every range used here.
    return std::nullopt;
}

} // namespace

object_reader::object_reader(boost::json::object const& object,
                             std::string path, error_collector& errors)
    : m_object(&object), m_path(std::move(path)), m_errors(&errors)
{
}

auto object_reader::find(std::string_view key, presence needed)
    -> boost::json::value const*
{
    m_read_keys.emplace(key);
    auto const* const value = m_object->if_contains({key.data(), key.size()});
    if (value == nullptr && needed == presence::required)
        fail(key, "required, but missing");
    return value;
}

auto object_reader::read_string(std::string_view key, presence needed,
                                std::string& out) -> void
{
    auto const* const value = find(key, needed);
    if (value == nullptr)
        return;
    auto const* const text = value->if_string();
    if (text == nullptr)
    {
        fail(key, "expected a string");
        return;
    }
    out.assign(text->data(), text->size());
}

auto object_reader::read_name(std::string_view key, presence needed,
                              std::string& out) -> void
{
    auto const* const value = find(key, needed);
    if (value == nullptr)
        return;
    auto const* const text = value->if_string();
    if (text == nullptr || !is_name({text->data(), text->size()}))
    {
        fail(key, "expected a string of 1 to 128 bytes without control "
                  "characters or space at either end");
        return;
    }
    out.assign(text->data(), text->size());
}

auto object_reader::read_bool(std::string_view key, presence needed, bool& out)
    -> void
{
    auto const* const value = find(key, needed);
    if (value == nullptr)
        return;
    if (!value->is_bool())
    {
        fail(key, "expected true or false");
        return;
    }
    out = value->get_bool();
}

auto object_reader::read_integer(std::string_view key, presence needed,
                                 number_range range)
    -> std::optional<std::int64_t>
{
    auto const* const value = find(key, needed);
    if (value == nullptr)
        return std::nullopt;
    auto const number = to_integer(*value);
    if (!number || *number < range.m_lowest || *number > range.m_highest)
    {
        fail(key, "expected a number from " + std::to_string(range.m_lowest) +
                      " to " + std::to_string(range.m_highest));
        return std::nullopt;
    }
    return number;
}

auto object_reader::read_strings(std::string_view key, presence needed,
                                 std::vector<std::string>& out) -> void
{
    auto const* const value = find(key, needed);
    if (value == nullptr)
        return;
    auto const* const array = value->if_array();
    if (array == nullptr)
    {
        fail(key, "expected an array of strings");
        return;
    }
    out.clear();
    for (auto const& element : *array)
    {
        if (auto const* const text = element.if_string())
            out.emplace_back(text->data(), text->size());
        else
            m_errors->add(join_path(join_path(m_path, key),
                                    std::size_t(&element - array->begin())),
                          "expected a string");
    }
}

auto object_reader::read_object(std::string_view key, presence needed)
    -> std::optional<object_reader>
{
    auto const* const value = find(key, needed);
    if (value == nullptr)
        return std::nullopt;
    if (auto const* const object = value->if_object())
        return object_reader{*object, join_path(m_path, key), *m_errors};
    fail(key, "expected an object");
    return std::nullopt;
}

auto object_reader::read_objects(std::string_view key, presence needed)
    -> std::vector<object_reader>
{
    auto readers = std::vector<object_reader>{};
    auto const* const value = find(key, needed);
    if (value == nullptr)
        return readers;
    auto const* const array = value->if_array();
    if (array == nullptr)
    {
        fail(key, "expected an array of objects");
        return readers;
    }
    readers.reserve(array->size());
    for (auto index = std::size_t{0}; index < array->size(); ++index)
    {
        auto path = join_path(join_path(m_path, key), index);
        if (auto const* const object = (*array)[index].if_object())
            readers.emplace_back(*object, std::move(path), *m_errors);
        else
            m_errors->add(path, "expected an object");
    }
    return readers;
}

auto object_reader::reject_unknown_keys() -> void
{
    for (auto const& field : *m_object)
    {
        auto const key =
            std::string_view{field.key().data(), field.key().size()};
        if (!m_read_keys.contains(key))
            fail(key, "unknown key");
    }
}

auto object_reader::unknown_fields() const -> std::string
{
    auto unread = boost::json::object{};
    for (auto const& field : *m_object)
    {
        auto const key =
            std::string_view{field.key().data(), field.key().size()};
        if (!m_read_keys.contains(key))
            unread.insert(field);
    }
    return unread.empty() ? std::string{} : print_canonical(unread);
}

auto object_reader::fail(std::string_view key, std::string_view reason) -> void
{
    m_errors->add(join_path(m_path, key), reason);
}

auto object_reader::has(std::string_view key) const -> bool
{
    return m_object->contains({key.data(), key.size()});
}

auto object_reader::path() const -> std::string_view
{
    return m_path;
}

auto is_name(std::string_view text) -> bool
{
    if (text.empty() || text.size() > max_name_bytes)
        return false;
    if (text.front() == ' ' || text.back() == ' ')
        return false;
    return std::ranges::none_of(text,
                                [](char c)
                                {
                                    auto const byte =
                                        static_cast<unsigned char>(c);
                                    return byte < 0x20 || byte == 0x7f;
                                });
}

auto is_service_name(std::string_view text) -> bool
{
    constexpr auto allowed =
        std::string_view{"abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ"
                         "0123456789._-"};
    return !text.empty() && text.size() <= max_service_name_bytes &&
           text.find_first_not_of(allowed) == std::string_view::npos;
}

} // namespace hickorylatch::settings
