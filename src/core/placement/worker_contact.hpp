#ifndef HICKORYLATCH_CORE_PLACEMENT_WORKER_CONTACT_HPP
#define HICKORYLATCH_CORE_PLACEMENT_WORKER_CONTACT_HPP

#include <cstdint>

namespace hickorylatch::core
{

/// What an entry knows of the workers that it has links to.
enum class worker_contact : std::uint8_t
{
    usable,
    silent,    ///< None is usable, and the last load of one is too old.
    evacuated, ///< All are in evacuated failure domains.
    departed   ///< There are none, or they accept no runs.
};

} // namespace hickorylatch::core

#endif
