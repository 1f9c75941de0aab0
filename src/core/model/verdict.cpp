#include "core/model/verdict.hpp"

#include <array>

namespace hickorylatch::core
{

auto to_string(run_state state) -> std::string_view
{
    switch (state)
    {
    case run_state::ran:
        return "ran";
    case run_state::not_run:
        return "not_run";
    case run_state::may_have_run:
        return "may_have_run";
    }
    return "unknown";
}

auto to_string(reason why) -> std::string_view
{
    static constexpr auto names =
        std::to_array<std::string_view>({"none",
                                         "queue_full",
                                         "deadline",
                                         "no_leader",
                                         "no_capacity",
                                         "key_conflict",
                                         "key_forgotten",
                                         "keys_full",
                                         "unknown_customer",
                                         "unknown_service",
                                         "quota",
                                         "cancelled",
                                         "agent_lost",
                                         "call_failed",
                                         "draining",
                                         "lease_expired",
                                         "invalid",
                                         "version_conflict",
                                         "missing_submitted_at",
                                         "superseded"});
    auto const index = static_cast<std::size_t>(why);
    return index < names.size() ? names.at(index) : "unknown";
}

auto refused(reason why, std::string_view detail, std::uint32_t retry_after_ms)
    -> verdict
{
    return {run_state::not_run, why, std::string{detail}, retry_after_ms};
}

auto uncertain(reason why, std::string_view detail) -> verdict
{
    return {run_state::may_have_run, why, std::string{detail}, 0};
}

auto after_resend(verdict const& answer) -> verdict
{
    if (answer.m_run != run_state::not_run ||
        answer.m_reason == reason::key_forgotten)
        return answer;
    return uncertain(answer.m_reason, answer.m_detail);
}

} // namespace hickorylatch::core
