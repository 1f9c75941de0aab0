#ifndef HICKORYLATCH_CORE_ROLES_EVACUATION_FENCE_HPP
#define HICKORYLATCH_CORE_ROLES_EVACUATION_FENCE_HPP

#include "core/model/message.hpp"

#include <cstdint>

namespace hickorylatch::core
{

/// Issues and checks the fencing tokens of evacuation commands at the leader.
/// Leaders of other terms need not know the tokens: a leader has applied all
/// that earlier leaders have committed before it issues a token.
class evacuation_fence
{
public:
    /// A token of the leader of this term.
    [[nodiscard]] auto issue(term_number term) -> fencing_token;
    /// Admits a command. False if the token is from another term or another
    /// command was admitted after the token had been issued.
    [[nodiscard]] auto admit(term_number term, fencing_token const& token)
        -> bool;

private:
    auto enter(term_number term) -> void;

    term_number m_term = 0;
    std::uint64_t m_admitted = 0;
};

} // namespace hickorylatch::core

#endif
