#include "core/model/effect.hpp"

namespace hickorylatch::core
{

auto to_string(job_state state) -> std::string_view
{
    switch (state)
    {
    case job_state::queued:
        return "queued";
    case job_state::active:
        return "active";
    case job_state::completed:
        return "completed";
    case job_state::failed:
        return "failed";
    case job_state::cancelled:
        return "cancelled";
    }
    return "unknown";
}

auto count_refusal(verdict const& why) -> observe_metric
{
    return {"hickorylatch_refusals_total",
            {{"verdict", std::string{to_string(why.m_run)}},
             {"reason", std::string{to_string(why.m_reason)}}}};
}

} // namespace hickorylatch::core
