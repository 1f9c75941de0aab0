#include "storage/log_position.hpp"

#include <algorithm>

namespace hickorylatch::storage
{

auto log_terms::reset(log_position base) -> void
{
    m_runs.assign(1, base);
    m_last = base.m_index;
}

auto log_terms::append(core::term_number term) -> void
{
    ++m_last;
    if (m_runs.back().m_term != term)
        m_runs.push_back({m_last, term});
}

auto log_terms::truncate(core::log_index from) -> void
{
    if (from > m_last)
        return;
    while (m_runs.size() > 1 && m_runs.back().m_index >= from)
        m_runs.pop_back();
    m_last = from - 1;
    // The terms of entries before the base are unknown, so only the base index
    // moves.
    m_runs.front().m_index = std::min(m_runs.front().m_index, m_last);
}

auto log_terms::last() const -> log_position
{
    return {m_last, m_runs.back().m_term};
}

auto log_terms::term_at(core::log_index index) const
    -> std::optional<core::term_number>
{
    if (index < m_runs.front().m_index || index > m_last)
        return std::nullopt;
    auto const after =
        std::ranges::upper_bound(m_runs, index, {}, &log_position::m_index);
    return std::prev(after)->m_term;
}

} // namespace hickorylatch::storage
