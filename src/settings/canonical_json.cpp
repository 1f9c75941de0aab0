#include "settings/canonical_json.hpp"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <boost/json/value.hpp>

#include <array>
#include <charconv>
#include <map>
#include <string_view>

namespace hickorylatch::settings
{

namespace
{

auto print(boost::json::value const& value, std::string& out) -> void;

auto print(boost::json::object const& object, std::string& out) -> void
{
    auto sorted = std::map<std::string_view, boost::json::value const*>{};
    for (auto const& field : object)
        sorted.emplace(std::string_view{field.key().data(), field.key().size()},
                       &field.value());
    out += '{';
    for (auto const& [key, value] : sorted)
    {
        if (out.back() != '{')
            out += ',';
        out += boost::json::serialize(
            boost::json::string_view{key.data(), key.size()});
        out += ':';
        print(*value, out);
    }
    out += '}';
}

auto print(boost::json::array const& array, std::string& out) -> void
{
    out += '[';
    for (auto const& value : array)
    {
        if (out.back() != '[')
            out += ',';
        print(value, out);
    }
    out += ']';
}

auto print(boost::json::value const& value, std::string& out) -> void
{
    if (auto const* const object = value.if_object())
        return print(*object, out);
    if (auto const* const array = value.if_array())
        return print(*array, out);
    if (auto const* const number = value.if_double())
    {
        // The shortest form that parses to the same number. Unlike the form of
        // Boost.JSON it does not depend on the version of the library.
        auto text = std::array<char, 32>{};
        auto const end =
            std::to_chars(text.data(), text.data() + text.size(), *number).ptr;
        out.append(text.data(), end);
        return;
    }
    out += boost::json::serialize(value);
}

} // namespace

auto print_canonical(boost::json::object const& object) -> std::string
{
    auto text = std::string{};
    print(object, text);
    return text;
}

} // namespace hickorylatch::settings
