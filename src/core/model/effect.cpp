#include "core/model/effect.hpp"

namespace hickorylatch::core
{

auto count_refusal(verdict const& why) -> observe_metric
{
    return {"hickorylatch_refusals_total",
            {{"verdict", std::string{to_string(why.m_run)}},
             {"reason", std::string{to_string(why.m_reason)}}}};
}

} // namespace hickorylatch::core
