#ifndef HICKORYLATCH_CORE_ROLES_EVACUATION_ORDER_HPP
#define HICKORYLATCH_CORE_ROLES_EVACUATION_ORDER_HPP

#include "core/model/message.hpp"

#include <cstdint>
#include <optional>

namespace hickorylatch::core
{

/// An operator's evacuation command at the process that got it. The command is
/// sent to the leader only with a fencing token, and only if the operator still
/// waits for the answer after the token was issued. An operator that has given
/// up may have sent the opposite command elsewhere: the leader then refuses the
/// token, or the command comes before the opposite one.
class evacuation_order
{
public:
    explicit evacuation_order(set_evacuation change);

    /// The operation to send to the leader; none while the check of the
    /// operator's connection is outstanding.
    [[nodiscard]] auto next_operation() const -> std::optional<operation>;
    /// Number of the check of the operator's connection that is due; none if no
    /// check is due or the due one was taken.
    [[nodiscard]] auto take_due_check() -> std::optional<std::uint64_t>;
    /// Keeps the token, unless there is one already.
    auto token_issued(fencing_token const& token) -> void;
    /// The operator waited for the answer at this check. False if the check
    /// belongs to an earlier token.
    auto requester_waits(std::uint64_t check) -> bool;
    /// Discards the token. The next one needs a check of its own.
    auto restart() -> void;

    [[nodiscard]] auto change() const -> set_evacuation const&;
    /// The token to use; none before the operator's connection was checked.
    [[nodiscard]] auto usable_token() const
        -> std::optional<fencing_token> const&;
    [[nodiscard]] auto has_token() const -> bool;

private:
    set_evacuation m_change;
    /// The token whose check is due or outstanding.
    std::optional<fencing_token> m_unchecked_token;
    std::optional<fencing_token> m_token;
    std::uint64_t m_check = 0;
    bool m_is_check_due = false;
};

} // namespace hickorylatch::core

#endif
