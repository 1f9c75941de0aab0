#include "core/roles/evacuation_fence.hpp"

namespace hickorylatch::core
{

auto evacuation_fence::issue(term_number term) -> fencing_token
{
    enter(term);
    return {m_term, m_admitted};
}

auto evacuation_fence::admit(term_number term, fencing_token const& token)
    -> bool
{
    enter(term);
    if (token != fencing_token{m_term, m_admitted})
        return false;
    ++m_admitted;
    return true;
}

auto evacuation_fence::enter(term_number term) -> void
{
    if (term == m_term)
        return;
    m_term = term;
    m_admitted = 0;
}

} // namespace hickorylatch::core
