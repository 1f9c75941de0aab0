#include "core/model/command.hpp"

namespace hickorylatch::core
{

auto content_size(command const& content) -> std::size_t
{
    auto total = std::size_t{0};
    if (auto const* accepted = std::get_if<accept_submission>(&content))
        for (auto const& each : accepted->m_submission.m_tasks)
            total += each.m_body.size();
    if (auto const* ended = std::get_if<end_submission>(&content))
        for (auto const& each : ended->m_answers)
            total += each.m_body.size();
    if (auto const* installed = std::get_if<install_configuration>(&content))
        total += installed->m_configuration.m_document.size();
    if (auto const* accepted = std::get_if<accept_job>(&content))
        total += accepted->m_job.m_body.size();
    return total;
}

} // namespace hickorylatch::core
