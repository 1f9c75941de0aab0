#ifndef HICKORYLATCH_CORE_MODEL_EVACUATION_RECORD_HPP
#define HICKORYLATCH_CORE_MODEL_EVACUATION_RECORD_HPP

#include "core/model/command.hpp"
#include "core/model/evacuations.hpp"

#include <cstddef>
#include <cstdint>
#include <vector>

namespace hickorylatch::core
{

/// Maximum number of failure domains that are evacuated at the same time.
inline constexpr auto max_evacuated_domains = std::size_t{256};

/// The replicated record of evacuations.
struct evacuation_record
{
    evacuations m_current;
    /// Numbers of the commands applied last, oldest first.
    std::vector<std::uint64_t> m_recent_commands;

    /// Applies a committed command. Evacuates nothing while
    /// `max_evacuated_domains` are evacuated.
    auto apply(log_index index, set_evacuation const& change) -> void;
    /// True if a command with this number was among those applied last.
    [[nodiscard]] auto has_applied(std::uint64_t number) const -> bool;
    /// True if the domain is in the state that the command requests.
    [[nodiscard]] auto is_as_requested(set_evacuation const& change) const
        -> bool;
    /// True if no further domain can be evacuated.
    [[nodiscard]] auto is_full() const -> bool;
};
BOOST_DESCRIBE_STRUCT(evacuation_record, (), (m_current, m_recent_commands))

} // namespace hickorylatch::core

#endif
