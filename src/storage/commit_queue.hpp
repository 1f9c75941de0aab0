#ifndef HICKORYLATCH_STORAGE_COMMIT_QUEUE_HPP
#define HICKORYLATCH_STORAGE_COMMIT_QUEUE_HPP

#include "storage/data_folder.hpp"

#include "core/model/command.hpp"

#include <condition_variable>
#include <cstddef>
#include <future>
#include <mutex>
#include <thread>
#include <vector>

namespace hickorylatch::storage
{

/// Lets many threads append to one data folder, for benchmarks. A writer thread
/// commits all pending entries as one group.
class commit_queue
{
public:
    /// Commits at most `max_group_size` entries with one sync. The folder must
    /// outlive the queue.
    commit_queue(data_folder& folder, std::size_t max_group_size);
    commit_queue(commit_queue const&) = delete;
    auto operator=(commit_queue const&) -> commit_queue& = delete;
    /// Waits until all pending entries are written.
    ~commit_queue();

    /// Appends an entry and waits until it is durable. Returns false if the
    /// write failed.
    [[nodiscard]] auto append(core::command command) -> bool;

private:
    auto run() -> void;

    data_folder& m_folder;
    std::size_t m_max_group_size;
    std::mutex m_mutex;
    std::condition_variable m_appended;
    std::vector<core::append_log> m_pending;
    /// One for each pending write, so that only its caller is woken.
    std::vector<std::promise<bool>> m_results;
    core::log_index m_last_index;
    bool m_is_stopping = false;
    std::thread m_thread;
};

} // namespace hickorylatch::storage

#endif
