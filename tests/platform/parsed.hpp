#ifndef HICKORYLATCH_TESTS_PLATFORM_PARSED_HPP
#define HICKORYLATCH_TESTS_PLATFORM_PARSED_HPP

#include "platform/json_reader.hpp"
#include "platform/settings.hpp"

#include <boost/leaf/handle_errors.hpp>

#include <optional>
#include <string>
#include <type_traits>

/// Value that a parse function returned, or the text of its error.
template <typename T>
struct parsed
{
    std::optional<T> m_value;
    std::string m_error;
};

template <typename Parse>
auto try_parse(Parse const& parse)
{
    using value = std::decay_t<decltype(*parse())>;
    using result = parsed<value>;
    return boost::leaf::try_handle_all(
        [&]() -> boost::leaf::result<result>
        {
            BOOST_LEAF_AUTO(parsed_value, parse());
            return result{std::move(parsed_value), {}};
        },
        [](hickorylatch::platform::body_error const& error)
        {
            return result{std::nullopt, error.m_text};
        },
        [](hickorylatch::platform::settings_error const& error)
        {
            return result{std::nullopt, error.m_text};
        },
        []
        {
            return result{std::nullopt, "unknown error"};
        });
}

#endif
