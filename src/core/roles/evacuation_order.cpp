#include "core/roles/evacuation_order.hpp"

#include <utility>

namespace hickorylatch::core
{

evacuation_order::evacuation_order(set_evacuation change)
    : m_change{std::move(change)}
{
}

auto evacuation_order::next_operation() const -> std::optional<operation>
{
    if (m_token)
        return fenced_evacuation{m_change, *m_token};
    if (m_unchecked_token)
        return std::nullopt;
    return issue_fencing_token{};
}

auto evacuation_order::take_due_check() -> std::optional<std::uint64_t>
{
    if (!std::exchange(m_is_check_due, false))
        return std::nullopt;
    return m_check;
}

auto evacuation_order::token_issued(fencing_token const& token) -> void
{
    if (has_token())
        return;
    m_unchecked_token = token;
    ++m_check;
    m_is_check_due = true;
}

auto evacuation_order::requester_waits(std::uint64_t check) -> bool
{
    if (check != m_check || !m_unchecked_token)
        return false;
    m_token = std::exchange(m_unchecked_token, std::nullopt);
    return true;
}

auto evacuation_order::restart() -> void
{
    m_token.reset();
    m_unchecked_token.reset();
    m_is_check_due = false;
}

auto evacuation_order::change() const -> set_evacuation const&
{
    return m_change;
}

auto evacuation_order::usable_token() const
    -> std::optional<fencing_token> const&
{
    return m_token;
}

auto evacuation_order::has_token() const -> bool
{
    return m_token.has_value() || m_unchecked_token.has_value();
}

} // namespace hickorylatch::core
