#include "emulator/endpoint_counts.hpp"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include <algorithm>

namespace hickorylatch::emulator
{

namespace json = boost::json;

namespace
{

constexpr auto max_printed_attempts = std::size_t{100};

} // namespace

auto endpoint_counts::add_start(std::string_view attempt, std::string_view path,
                                std::string_view digest) -> void
{
    ++m_started;
    ++m_running;
    m_most_running = std::max(m_most_running, m_running);
    if (!attempt.empty() && ++m_starts_by_attempt[std::string{attempt}] > 1)
        ++m_double_starts;
    if (++m_starts_by_digest[std::string{digest}] > 1)
        ++m_repeated_starts[std::string{path}];
}

auto endpoint_counts::add_end() -> void
{
    --m_running;
}

auto endpoint_counts::starts_of(std::string const& attempt) const
    -> std::uint32_t
{
    auto const found = m_starts_by_attempt.find(attempt);
    return found == m_starts_by_attempt.end() ? 0 : found->second;
}

auto endpoint_counts::double_starts() const -> std::uint64_t
{
    return m_double_starts;
}

auto endpoint_counts::print() const -> std::string
{
    auto doubled = json::object{};
    for (auto const& [attempt, starts] : m_starts_by_attempt)
    {
        if (starts > 1 && doubled.size() < max_printed_attempts)
            doubled.emplace(attempt, starts);
    }
    auto repeated = json::object{};
    for (auto const& [path, starts] : m_repeated_starts)
        repeated.emplace(path, starts);
    return json::serialize(
        json::object{{"started", m_started},
                     {"answered", m_answered},
                     {"refused", m_refused},
                     {"failed", m_failed},
                     {"stopped", m_stopped},
                     {"abandoned", m_abandoned},
                     {"running", m_running},
                     {"most_running", m_most_running},
                     {"attempts", m_starts_by_attempt.size()},
                     {"double_starts", m_double_starts},
                     {"doubled", std::move(doubled)},
                     {"repeated", std::move(repeated)}});
}

} // namespace hickorylatch::emulator
