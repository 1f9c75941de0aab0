#include "storage/inspect.hpp"

#include "storage/recovery.hpp"
#include "storage/storage_error.hpp"

#include <array>
#include <ostream>
#include <string_view>
#include <system_error>

namespace hickorylatch::storage
{

namespace
{

/// In the order of the alternatives of `core::command`.
constexpr auto command_names = std::to_array<std::string_view>(
    {"begin_term", "accept_submission", "reallot", "end_submission",
     "change_configuration", "expire_keys", "change_membership",
     "install_configuration", "accept_job", "record_ends", "drop_job",
     "forget_jobs", "change_agents", "set_evacuation"});
static_assert(command_names.size() == std::variant_size_v<core::command>);

auto print_command(std::ostream& out, core::command const& value) -> void
{
    out << " command=" << command_names[value.index()];
    if (auto const* accepted = std::get_if<core::accept_submission>(&value))
        out << " customer=\"" << accepted->m_submission.m_customer
            << "\" key=\"" << accepted->m_submission.m_key
            << "\" tasks=" << accepted->m_submission.m_tasks.size();
    if (auto const* reallotted = std::get_if<core::reallot>(&value))
        out << " origin=" << reallotted->m_submission_id
            << " tasks=" << reallotted->m_allotments.size();
    if (auto const* ended = std::get_if<core::end_submission>(&value))
        out << " origin=" << ended->m_submission_id
            << " answers=" << ended->m_answers.size();
    if (auto const* change = std::get_if<core::change_configuration>(&value))
        out << " request=\"" << change->m_request_id
            << "\" version=" << change->m_configuration.m_version;
    if (auto const* change = std::get_if<core::change_membership>(&value))
        out << " request=\"" << change->m_request_id
            << "\" members=" << change->m_members.size();
    if (auto const* installed =
            std::get_if<core::install_configuration>(&value))
        out << " version=" << installed->m_configuration.m_version;
    if (auto const* change = std::get_if<core::set_evacuation>(&value))
        out << " failure_domain=\"" << change->m_failure_domain
            << "\" evacuated=" << (change->m_is_evacuated ? "yes" : "no");
}

auto print_members(std::ostream& out, std::vector<core::member> const& members)
    -> void
{
    for (auto const& member : members)
        out << "member node=" << static_cast<std::uint64_t>(member.m_node)
            << " address=" << member.m_address
            << " votes=" << (member.m_votes ? "yes" : "no") << '\n';
}

} // namespace

auto inspect(std::filesystem::path const& folder, std::ostream& out)
    -> boost::leaf::result<void>
{
    auto code = std::error_code{};
    if (!std::filesystem::is_directory(folder, code))
        return fail(folder, 0, "not a folder");
    BOOST_LEAF_AUTO(contents, read_folder(folder));
    auto const& state = contents.m_state;
    out << "identity node=" << static_cast<std::uint64_t>(state.m_identity)
        << '\n'
        << "hard_state term=" << state.m_hard_state.m_term << " voted_for="
        << static_cast<std::uint64_t>(state.m_hard_state.m_voted_for) << '\n';
    for (auto const& reason : contents.m_damaged_snapshots)
        out << "damaged_snapshot reason=\"" << reason << "\"\n";
    if (!contents.m_snapshots.empty())
        out << "snapshot last_index=" << state.m_snapshot.m_last_index
            << " last_term=" << state.m_snapshot.m_last_term
            << " cluster=" << state.m_snapshot.m_cluster
            << " bytes=" << state.m_snapshot.m_data.size() << '\n';
    print_members(out, state.m_snapshot.m_members);
    for (auto const& entry : state.m_entries)
    {
        out << "entry index=" << entry.m_index << " term=" << entry.m_term;
        print_command(out, entry.m_command);
        out << '\n';
    }
    if (auto const& torn = contents.m_torn_tail)
        out << "torn_tail file=" << torn->m_file.string()
            << " offset=" << torn->m_offset << " bytes=" << torn->m_bytes
            << '\n';
    return {};
}

} // namespace hickorylatch::storage
