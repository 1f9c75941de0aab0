#ifndef HICKORYLATCH_TESTS_SETTINGS_PARSE_RESULT_HPP
#define HICKORYLATCH_TESTS_SETTINGS_PARSE_RESULT_HPP

#include "settings/parse_errors.hpp"

#include <boost/leaf/handle_errors.hpp>

#include <optional>

namespace hickorylatch::settings
{

/// Result of a parse function: a value or its errors.
template <class Value>
struct parse_result
{
    std::optional<Value> m_value;
    parse_errors m_errors;
};

/// Runs a parse function and captures its errors.
template <class Parse>
auto run_parse(Parse parse) -> parse_result<std::decay_t<decltype(*parse())>>
{
    using result = parse_result<std::decay_t<decltype(*parse())>>;
    return boost::leaf::try_handle_all(
        [&]() -> boost::leaf::result<result>
        {
            BOOST_LEAF_AUTO(value, parse());
            return result{std::move(value), {}};
        },
        [](parse_errors const& errors)
        {
            return result{{}, errors};
        },
        []()
        {
            return result{};
        });
}

} // namespace hickorylatch::settings

#endif
