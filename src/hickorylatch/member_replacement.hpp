#ifndef HICKORYLATCH_HICKORYLATCH_MEMBER_REPLACEMENT_HPP
#define HICKORYLATCH_HICKORYLATCH_MEMBER_REPLACEMENT_HPP

#include "hickorylatch/operator_client.hpp"

#include <string>
#include <string_view>

namespace hickorylatch::program
{

/// Replaces one control member by another, in steps that each change at most
/// one voter: the new member joins as a learner, is promoted to voter, and the
/// old member is removed.
class member_replacement
{
public:
    /// `leader_client` calls a process that reaches the control leader,
    /// `new_replica_client` the new replica itself.
    member_replacement(operator_client& leader_client,
                       operator_client& new_replica_client);

    /// Runs all steps; a repeated call resumes where an earlier one failed.
    /// Returns an empty text on success, else the error.
    [[nodiscard]] auto run(std::string_view old_node,
                           std::string_view request_id) -> std::string;

private:
    /// Makes one membership change. Returns an empty text on success, else the
    /// error.
    [[nodiscard]] auto change_members(std::string_view step,
                                      std::string_view members) -> std::string;

    operator_client& m_leader_client;
    operator_client& m_new_replica_client;
    std::string m_request_id;
};

} // namespace hickorylatch::program

#endif
