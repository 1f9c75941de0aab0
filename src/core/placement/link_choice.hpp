#ifndef HICKORYLATCH_CORE_PLACEMENT_LINK_CHOICE_HPP
#define HICKORYLATCH_CORE_PLACEMENT_LINK_CHOICE_HPP

#include "core/model/time.hpp"

#include <cstddef>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace hickorylatch::core
{

/// Chooses a bounded number of processes to keep links to. If a process can't
/// be reached for a while, the next one in order of preference substitutes for
/// it, while attempts to reach it continue.
class link_choice
{
public:
    explicit link_choice(std::size_t limit);

    /// Sets all candidates, in order of preference.
    auto set_candidates(std::vector<std::string> candidates) -> void;
    auto opened(std::string_view address) -> void;
    auto closed(time_point now, std::string_view address) -> void;

    /// Updates the choice.
    auto update(time_point now) -> void;
    /// Addresses to keep links to.
    [[nodiscard]] auto chosen() const
        -> std::set<std::string, std::less<>> const&;
    /// When the choice has to be updated next.
    [[nodiscard]] auto next_deadline() const -> time_point;

private:
    struct attempt
    {
        bool m_is_open = false;
        /// When the link was lost or first chosen.
        time_point m_since{0};
    };

    std::size_t m_limit;
    std::vector<std::string> m_candidates;
    std::map<std::string, attempt, std::less<>> m_attempts;
    std::set<std::string, std::less<>> m_chosen;
    time_point m_updated_at{0};
};

} // namespace hickorylatch::core

#endif
