#include "experiment/scenario.hpp"

namespace hickorylatch::experiment
{

auto to_string(policy_kind kind) -> std::string
{
    switch (kind)
    {
    case policy_kind::random:
        return "random";
    case policy_kind::round_robin:
        return "round_robin";
    case policy_kind::least_outstanding:
        return "least_outstanding";
    case policy_kind::two_choices:
        return "two_choices";
    case policy_kind::entry_credits:
        return "entry_credits";
    case policy_kind::central:
        return "central";
    }
    return "unknown";
}

} // namespace hickorylatch::experiment
