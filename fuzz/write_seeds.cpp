#include "fuzz/storage_checks.hpp"

#include "net/frame_buffer.hpp"
#include "wire/codec.hpp"

#include <filesystem>
#include <fstream>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

/// Writes the seed inputs of the binary formats to the folder given as the
/// first argument.

namespace core = hickorylatch::core;
namespace storage = hickorylatch::storage;
namespace wire = hickorylatch::wire;
namespace fs = std::filesystem;

namespace
{

auto write(fs::path const& path, std::string_view bytes) -> void
{
    fs::create_directories(path.parent_path());
    std::ofstream{path, std::ios::binary} << bytes;
}

auto sample_submission() -> core::submission
{
    auto submission = core::submission{};
    submission.m_kind = core::submission_kind::job;
    submission.m_customer = "Ipoh Cobblers";
    submission.m_key = "reel-17";
    submission.m_priority = core::priority{7};
    submission.m_tasks.resize(2);
    submission.m_tasks[0].m_body = "body";
    return submission;
}

/// One command of each type, in the order of the alternatives.
auto sample_commands() -> std::vector<core::command>
{
    auto answer = core::task_answer{};
    answer.m_body = "level 0.4 m";
    auto config = core::configuration{};
    config.m_version = 4;
    config.m_customers.push_back({"Ipoh Cobblers", "Aminah", 3, 10});
    config.m_services.push_back({"order-desk", {"/stock"}, 50, 500});
    auto accepted = core::accept_submission{};
    accepted.m_submission = sample_submission();
    accepted.m_allotted = {core::node_id{5}, core::node_id{6}};
    auto ended = core::end_submission{};
    ended.m_answers = {answer, answer};
    auto reallotted = core::reallot{};
    reallotted.m_allotments.push_back({1, core::node_id{5}});
    auto change = core::change_configuration{};
    change.m_request_id = "request-1";
    change.m_configuration = config;
    auto membership = core::change_membership{};
    membership.m_members.push_back({core::node_id{7}, "10.0.0.1:7000", true});
    return {core::begin_term{},    accepted,  reallotted, ended, change,
            core::expire_keys{11}, membership};
}

template <std::size_t Index = 0>
auto write_messages(fs::path const& folder) -> void
{
    if constexpr (Index < std::variant_size_v<core::message>)
    {
        auto value = core::message{};
        value.emplace<Index>();
        write(folder / std::to_string(Index), wire::encode(value));
        write_messages<Index + 1>(folder);
    }
}

} // namespace

auto main(int, char** argv) -> int
{
    auto const folder = fs::path{argv[1]};
    write_messages(folder / "message");
    auto const submit =
        wire::encode(core::message{core::submit{42, sample_submission()}});
    write(folder / "message" / "submit", submit);
    auto const header = hickorylatch::net::frame_header(submit.size());
    auto const frame = std::string{header.data(), header.size()} + submit;
    write(folder / "frames" / "two", "\x10" + frame + frame);
    write(folder / "frames" / "long", std::string{"\x05\xff\xff\xff\xff", 5});

    auto writes = std::vector<core::append_log>(2);
    writes[0].m_hard_state = core::hard_state{3, core::node_id{7}};
    auto index = core::log_index{0};
    for (auto& command : sample_commands())
        writes[0].m_entries.push_back({++index, 3, std::move(command)});
    writes[1].m_truncate_from = 5;
    writes[1].m_entries.push_back({5, 4, core::begin_term{}});
    auto payload = std::string{};
    for (auto const& each : writes)
        storage::append_write(payload, each);
    write(folder / "log" / "payload", payload);
    auto segment = storage::encode_segment_header(
        {hickorylatch::fuzz::identity, 1, false, 0, 0, {}});
    segment += storage::encode_record(
        {hickorylatch::fuzz::identity, 1, segment.size()}, payload);
    write(folder / "log" / "segment", segment);

    auto const snapshot = core::snapshot{
        4, 3, {{core::node_id{7}, "10.0.0.1:7000", true}}, 99, "state"};
    write(folder / "snapshot" / "payload", wire::encode(snapshot));
    write(
        folder / "snapshot" / "file",
        storage::encode_snapshot_file(hickorylatch::fuzz::identity, snapshot));
    return 0;
}
