#include "core/placement/link_choice.hpp"

#include <algorithm>
#include <utility>

namespace hickorylatch::core
{

namespace
{

// A killed process restarts within about half a second, and a silent link is
// closed after 0.36 s. A substitute that was chosen sooner would often be
// dropped again at once.
constexpr auto substitution_delay = duration{std::chrono::seconds{1}};

// A process that is isolated itself must not try to reach all others at once.
constexpr auto attempt_limit_factor = std::size_t{2};

} // namespace

link_choice::link_choice(std::size_t limit) : m_limit{limit}
{
}

auto link_choice::set_candidates(std::vector<std::string> candidates) -> void
{
    m_candidates = std::move(candidates);
}

auto link_choice::opened(std::string_view address) -> void
{
    if (auto const found = m_attempts.find(address); found != m_attempts.end())
        found->second.m_is_open = true;
}

auto link_choice::closed(time_point now, std::string_view address) -> void
{
    if (auto const found = m_attempts.find(address); found != m_attempts.end())
        found->second = {false, now};
}

auto link_choice::update(time_point now) -> void
{
    m_updated_at = now;
    m_chosen.clear();
    auto usable = std::size_t{0};
    for (auto const& address : m_candidates)
    {
        if (usable == m_limit ||
            m_chosen.size() == m_limit * attempt_limit_factor)
            break;
        auto const& tried =
            m_attempts.try_emplace(address, attempt{false, now}).first->second;
        m_chosen.insert(address);
        if (tried.m_is_open || now < tried.m_since + substitution_delay)
            ++usable;
    }
    std::erase_if(m_attempts,
                  [this](auto const& each)
                  {
                      return !each.second.m_is_open &&
                             !m_chosen.contains(each.first);
                  });
}

auto link_choice::chosen() const -> std::set<std::string, std::less<>> const&
{
    return m_chosen;
}

auto link_choice::next_deadline() const -> time_point
{
    auto first = never;
    for (auto const& [address, tried] : m_attempts)
        if (!tried.m_is_open &&
            tried.m_since + substitution_delay > m_updated_at)
            first = std::min(first, tried.m_since + substitution_delay);
    return first;
}

} // namespace hickorylatch::core
