#ifndef HICKORYLATCH_CORE_PLACEMENT_KNOWN_EVACUATIONS_HPP
#define HICKORYLATCH_CORE_PLACEMENT_KNOWN_EVACUATIONS_HPP

#include "core/model/effect.hpp"
#include "core/model/evacuations.hpp"

#include <string_view>

namespace hickorylatch::core
{

/// The newest set of evacuated failure domains that a process has received.
class known_evacuations
{
public:
    /// Keeps the set if its revision is higher than that of the current one,
    /// and logs the change; otherwise returns false. Sets may arrive from
    /// several processes in any order.
    auto adopt(evacuations const& received, effects& out) -> bool;

    [[nodiscard]] auto current() const -> evacuations const&;
    [[nodiscard]] auto contains(std::string_view failure_domain) const -> bool;

private:
    evacuations m_current;
};

} // namespace hickorylatch::core

#endif
