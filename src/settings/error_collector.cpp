#include "settings/error_collector.hpp"

#include <utility>

namespace hickorylatch::settings
{

namespace
{

// A record of 1,400 invalid tasks must not produce an answer larger than
// itself.
constexpr auto max_error_messages = std::size_t{100};

} // namespace

error_collector::error_collector(std::string_view source) : m_source(source)
{
}

auto error_collector::add(std::string_view path, std::string_view reason)
    -> void
{
    if (m_errors.m_messages.size() >= max_error_messages)
    {
        ++m_omitted;
        return;
    }
    auto message = m_source + ": ";
    if (!path.empty())
        message.append(path).append(": ");
    m_errors.m_messages.push_back(message.append(reason));
}

auto error_collector::add_retryable(std::string_view path,
                                    std::string_view reason) -> void
{
    ++m_retryable;
    add(path, reason);
}

auto error_collector::has_errors() const -> bool
{
    return !m_errors.m_messages.empty();
}

auto error_collector::take() -> parse_errors
{
    m_errors.m_may_retry =
        m_retryable > 0 && m_errors.m_messages.size() == m_retryable;
    if (m_omitted > 0)
        m_errors.m_messages.push_back(m_source + ": " +
                                      std::to_string(m_omitted) +
                                      " more errors omitted");
    return std::move(m_errors);
}

auto join_path(std::string_view object, std::string_view key) -> std::string
{
    auto path = std::string{object};
    if (!path.empty())
        path += '.';
    return path.append(key);
}

auto join_path(std::string_view array, std::size_t index) -> std::string
{
    return std::string{array} + "[" + std::to_string(index) + "]";
}

} // namespace hickorylatch::settings
