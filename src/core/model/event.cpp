#include "core/model/event.hpp"

#include <array>

namespace hickorylatch::core
{

auto to_string(worker_answer answer) -> std::string_view
{
    static constexpr auto names = std::to_array<std::string_view>(
        {"accepted", "fenced", "outdated", "late", "no_room", "unhealthy",
         "other_lifetime", "invalid", "unreachable", "unknown", "restarted"});
    auto const index = static_cast<std::size_t>(answer);
    return index < names.size() ? names.at(index) : "unknown";
}

auto is_rejection(worker_answer answer) -> bool
{
    return answer != worker_answer::accepted &&
           answer != worker_answer::unknown;
}

} // namespace hickorylatch::core
