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

/// Lets many threads append to one data folder, for measurements. Its own
/// thread writes what is waiting as one group.
class commit_queue
{
public:
    /// Takes at most `largest_group` entries into one sync. The folder must
    /// outlive the queue.
    commit_queue(data_folder& folder, std::size_t largest_group);
    commit_queue(commit_queue const&) = delete;
    auto operator=(commit_queue const&) -> commit_queue& = delete;
    /// Waits for what was appended.
    ~commit_queue();

    /// Appends an entry and waits until it is durable; false if the folder
    /// failed.
    [[nodiscard]] auto append(core::command command) -> bool;

private:
    auto run() -> void;

    data_folder& m_folder;
    std::size_t m_largest_group;
    std::mutex m_mutex;
    std::condition_variable m_appended;
    std::vector<core::append_log> m_waiting;
    /// One for each waiting write. Wakes only its own caller.
    std::vector<std::promise<bool>> m_answers;
    core::log_index m_last_index;
    bool m_is_stopping = false;
    std::thread m_thread;
};

} // namespace hickorylatch::storage

#endif
