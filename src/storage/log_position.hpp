#ifndef HICKORYLATCH_STORAGE_LOG_POSITION_HPP
#define HICKORYLATCH_STORAGE_LOG_POSITION_HPP

#include "core/model/ids.hpp"

#include <optional>
#include <vector>

namespace hickorylatch::storage
{

/// Index and term of a log entry.
struct log_position
{
    core::log_index m_index = 0;
    core::term_number m_term = 0;

    auto operator==(log_position const&) const -> bool = default;
};

/// Terms of the entries of a log, stored as runs of equal terms.
class log_terms
{
public:
    /// Removes all entries; the next one follows the base.
    auto reset(log_position base) -> void;
    /// Adds an entry after the last one.
    auto append(core::term_number term) -> void;
    /// Removes entries from this index on.
    auto truncate(core::log_index from) -> void;

    [[nodiscard]] auto last() const -> log_position;
    /// Empty if the index is before the base or after the last entry.
    [[nodiscard]] auto term_at(core::log_index index) const
        -> std::optional<core::term_number>;

private:
    /// First index of each run; the first run is the base itself.
    std::vector<log_position> m_runs{log_position{}};
    core::log_index m_last = 0;
};

} // namespace hickorylatch::storage

#endif
