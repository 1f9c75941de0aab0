#include "core/model/job.hpp"

#include <algorithm>

namespace hickorylatch::core
{

auto resources::operator+=(resources const& other) -> resources&
{
    m_millicores += other.m_millicores;
    m_memory_mb += other.m_memory_mb;
    m_accelerators += other.m_accelerators;
    return *this;
}

auto resources::operator-=(resources const& other) -> resources&
{
    m_millicores -= std::min(m_millicores, other.m_millicores);
    m_memory_mb -= std::min(m_memory_mb, other.m_memory_mb);
    m_accelerators -= std::min(m_accelerators, other.m_accelerators);
    return *this;
}

auto resources::fits(resources const& wanted) const -> bool
{
    return wanted.m_millicores <= m_millicores &&
           wanted.m_memory_mb <= m_memory_mb &&
           wanted.m_accelerators <= m_accelerators;
}

auto resources::fit_count(resources const& wanted) const -> std::uint32_t
{
    constexpr auto most = std::uint32_t{1'000'000};
    auto const copies = [](std::uint32_t room, std::uint32_t each)
    {
        return each == 0 ? most : room / each;
    };
    return std::min({most, copies(m_millicores, wanted.m_millicores),
                     copies(m_memory_mb, wanted.m_memory_mb),
                     copies(m_accelerators, wanted.m_accelerators)});
}

auto to_string(run_outcome outcome) -> std::string_view
{
    switch (outcome)
    {
    case run_outcome::succeeded:
        return "succeeded";
    case run_outcome::failed:
        return "failed";
    case run_outcome::stopped:
        return "stopped";
    case run_outcome::lapsed:
        return "lapsed";
    case run_outcome::refused:
        return "refused";
    }
    return "unknown";
}

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

} // namespace hickorylatch::core
