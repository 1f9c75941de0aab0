#ifndef HICKORYLATCH_HICKORYLATCH_MEMBER_REPLACEMENT_HPP
#define HICKORYLATCH_HICKORYLATCH_MEMBER_REPLACEMENT_HPP

#include "hickorylatch/operator_client.hpp"

#include <string>
#include <string_view>

namespace hickorylatch::program
{

/// Replaces one control member by another, in steps that each change at most
/// one voter: the new one joins as a learner, gets a vote, the old one leaves.
class member_replacement
{
public:
    /// `leader_side` reaches the control leader; `newcomer` is the new replica
    /// itself.
    member_replacement(operator_client& leader_side, operator_client& newcomer);

    /// Runs all steps; a repeated call goes on where an earlier one stopped.
    /// Returns an empty text or why it stopped.
    [[nodiscard]] auto run(std::string_view old_node,
                           std::string_view request_id) -> std::string;

private:
    /// One membership change. Empty if it was made.
    [[nodiscard]] auto change(std::string_view step, std::string_view members)
        -> std::string;

    operator_client& m_leader_side;
    operator_client& m_newcomer;
    std::string m_request_id;
};

} // namespace hickorylatch::program

#endif
