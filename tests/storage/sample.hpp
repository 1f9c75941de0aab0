#ifndef HICKORYLATCH_TESTS_STORAGE_SAMPLE_HPP
#define HICKORYLATCH_TESTS_STORAGE_SAMPLE_HPP

#include "storage/data_folder.hpp"
#include "storage/storage_error.hpp"

#include <boost/leaf/handle_errors.hpp>

#include <cstdlib>
#include <filesystem>
#include <optional>
#include <sstream>
#include <stdexcept>
#include <string>
#include <utility>
#include <vector>

namespace hickorylatch::tests
{

/// A folder that is removed at the end of a test.
class scratch_folder
{
public:
    scratch_folder()
        : m_path{std::filesystem::temp_directory_path() / "hickorylatch-XXXXXX"}
    {
        auto name = m_path.string();
        if (::mkdtemp(name.data()) == nullptr)
            throw std::runtime_error{"cannot create a scratch folder"};
        m_path = name;
    }
    scratch_folder(scratch_folder const&) = delete;
    auto operator=(scratch_folder const&) -> scratch_folder& = delete;
    ~scratch_folder()
    {
        std::filesystem::remove_all(m_path);
    }

    [[nodiscard]] auto path() const -> std::filesystem::path const&
    {
        return m_path;
    }

private:
    std::filesystem::path m_path;
};

[[nodiscard]] inline auto unsynced_options() -> storage::storage_options
{
    auto options = storage::storage_options{};
    options.m_fsync = false;
    // Without preallocation, the file size is the end of the last record.
    options.m_preallocate = false;
    return options;
}

/// An entry with index and term in its key.
[[nodiscard]] inline auto sample_entry(core::log_index index,
                                       core::term_number term)
    -> core::log_entry
{
    auto accepted = core::accept_submission{};
    accepted.m_submission.m_customer = "Ipoh Cobblers";
    accepted.m_submission.m_key =
        "key-" + std::to_string(index) + "-" + std::to_string(term);
    accepted.m_submission.m_tasks.resize(1);
    accepted.m_allotted = {core::node_id{77}};
    return {index, term, std::move(accepted)};
}

/// Entries from `first` to `last` in one write.
[[nodiscard]] inline auto sample_write(core::log_index first,
                                       core::log_index last,
                                       core::term_number term)
    -> core::append_log
{
    auto write = core::append_log{};
    for (auto index = first; index <= last; ++index)
        write.m_entries.push_back(sample_entry(index, term));
    return write;
}

[[nodiscard]] inline auto sample_snapshot(core::log_index index,
                                          core::term_number term)
    -> core::snapshot
{
    return {index,
            term,
            {{core::node_id{5}, "10.0.0.1:7000", true}},
            99,
            "state up to " + std::to_string(index)};
}

/// Index and term of each entry, such as "1-1 2-1 ".
[[nodiscard]] inline auto
list_entries(std::vector<core::log_entry> const& entries) -> std::string
{
    auto text = std::ostringstream{};
    for (auto const& entry : entries)
    {
        auto const& accepted =
            std::get<core::accept_submission>(entry.m_command);
        text << accepted.m_submission.m_key.substr(4) << ' ';
    }
    return text.str();
}

/// An opened folder, or the error message.
struct open_result
{
    std::optional<storage::opened_folder> m_value;
    std::string m_error;
};

[[nodiscard]] inline auto
open_folder(std::filesystem::path const& path,
            storage::storage_options const& options = unsynced_options())
    -> open_result
{
    return boost::leaf::try_handle_all(
        [&]() -> boost::leaf::result<open_result>
        {
            BOOST_LEAF_AUTO(opened, storage::data_folder::open(path, options));
            return open_result{std::move(opened), {}};
        },
        [](storage::storage_error const& error) -> open_result
        {
            return {std::nullopt, storage::to_string(error)};
        },
        []() -> open_result
        {
            return {std::nullopt, "unknown error"};
        });
}

} // namespace hickorylatch::tests

#endif
