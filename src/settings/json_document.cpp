#include "settings/json_document.hpp"

#include <boost/json/basic_parser_impl.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/value.hpp>

#include <algorithm>
#include <cmath>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace hickorylatch::settings
{

namespace
{

/// Handler of parser events that reports what `boost::json::value` silently
/// changes: of duplicate keys in an object it keeps the last one, and numbers
/// out of range become infinite and can't be serialized again.
class json_validation_handler
{
public:
    static constexpr auto max_object_size = std::size_t(-1);
    static constexpr auto max_array_size = std::size_t(-1);
    static constexpr auto max_key_size = std::size_t(-1);
    static constexpr auto max_string_size = std::size_t(-1);

    using error_code = boost::json::error_code;
    using string_view = boost::json::string_view;

    explicit json_validation_handler(error_collector& errors)
        : m_errors(&errors)
    {
    }

    auto on_document_begin(error_code&) -> bool
    {
        return true;
    }
    auto on_document_end(error_code&) -> bool
    {
        return true;
    }
    auto on_object_begin(error_code&) -> bool
    {
        m_nesting.push_back({begin_nested_value(), {}, {}, false, 0});
        return true;
    }
    auto on_object_end(std::size_t, error_code&) -> bool
    {
        m_nesting.pop_back();
        return true;
    }
    auto on_array_begin(error_code&) -> bool
    {
        m_nesting.push_back({begin_nested_value(), {}, {}, true, 0});
        return true;
    }
    auto on_array_end(std::size_t, error_code&) -> bool
    {
        m_nesting.pop_back();
        return true;
    }
    auto on_key_part(string_view text, std::size_t, error_code&) -> bool
    {
        m_key.append(text.data(), text.size());
        return true;
    }
    auto on_key(string_view text, std::size_t, error_code&) -> bool
    {
        m_key.append(text.data(), text.size());
        auto& level = m_nesting.back();
        if (!level.m_keys.insert(m_key).second)
            m_errors->add(join_path(level.m_path, m_key), "duplicate key");
        level.m_key = std::exchange(m_key, {});
        return true;
    }
    auto on_string_part(string_view, std::size_t, error_code&) -> bool
    {
        return true;
    }
    auto on_string(string_view, std::size_t, error_code&) -> bool
    {
        return finish_value();
    }
    auto on_number_part(string_view, error_code&) -> bool
    {
        return true;
    }
    auto on_int64(std::int64_t, string_view, error_code&) -> bool
    {
        return finish_value();
    }
    auto on_uint64(std::uint64_t, string_view, error_code&) -> bool
    {
        return finish_value();
    }
    auto on_double(double number, string_view, error_code&) -> bool
    {
        if (!std::isfinite(number))
            m_errors->add(value_path(),
                          "number out of range (exponent overflow)");
        return finish_value();
    }
    auto on_bool(bool, error_code&) -> bool
    {
        return finish_value();
    }
    auto on_null(error_code&) -> bool
    {
        return finish_value();
    }
    auto on_comment_part(string_view, error_code&) -> bool
    {
        return true;
    }
    auto on_comment(string_view, error_code&) -> bool
    {
        return true;
    }

private:
    struct nesting_level
    {
        std::string m_path;
        std::set<std::string> m_keys;
        std::string m_key;
        bool m_is_array = false;
        std::size_t m_index = 0;
    };

    auto finish_value() -> bool
    {
        if (!m_nesting.empty())
            ++m_nesting.back().m_index;
        return true;
    }

    /// Path of the next value.
    [[nodiscard]] auto value_path() const -> std::string
    {
        if (m_nesting.empty())
            return {};
        auto const& parent = m_nesting.back();
        if (!parent.m_is_array)
            return join_path(parent.m_path, parent.m_key);
        return join_path(parent.m_path, parent.m_index);
    }

    /// Counts the nested object or array that begins, and returns its path.
    auto begin_nested_value() -> std::string
    {
        auto path = value_path();
        finish_value();
        return path;
    }

    error_collector* m_errors;
    std::vector<nesting_level> m_nesting;
    std::string m_key;
};

auto options(json_syntax syntax) -> boost::json::parse_options
{
    auto chosen = boost::json::parse_options{};
    chosen.allow_comments = syntax == json_syntax::with_comments;
    chosen.allow_trailing_commas = syntax == json_syntax::with_comments;
    return chosen;
}

auto position(std::string_view text, std::size_t offset) -> std::string
{
    auto const before = text.substr(0, offset);
    auto const line = std::ranges::count(before, '\n') + 1;
    auto const start = before.rfind('\n');
    auto const column =
        start == std::string_view::npos ? offset + 1 : offset - start;
    return "line " + std::to_string(line) + ", column " +
           std::to_string(column);
}

/// True if the syntax is valid.
auto check_syntax(std::string_view text, json_syntax syntax,
                  error_collector& errors) -> bool
{
    auto parser = boost::json::basic_parser<json_validation_handler>{
        options(syntax), errors};
    auto error = boost::json::error_code{};
    auto const read = parser.write_some(false, text.data(), text.size(), error);
    if (!error && read < text.size())
        error = boost::json::error::extra_data;
    if (!error)
        return true;
    errors.add(position(text, read), error.message());
    return false;
}

} // namespace

json_document::json_document(std::string_view text, json_syntax syntax,
                             error_collector& errors)
    : m_errors(&errors)
{
    if (!check_syntax(text, syntax, errors))
        return;
    auto error = boost::json::error_code{};
    auto value = boost::json::parse({text.data(), text.size()}, error, {},
                                    options(syntax));
    if (error)
    {
        errors.add({}, error.message());
        return;
    }
    if (!value.is_object())
    {
        errors.add({}, "expected an object");
        return;
    }
    m_value = std::make_unique<boost::json::value>(std::move(value));
}

json_document::~json_document() = default;

auto json_document::root() const -> std::optional<object_reader>
{
    if (m_value == nullptr)
        return std::nullopt;
    return object_reader{m_value->get_object(), {}, *m_errors};
}

} // namespace hickorylatch::settings
