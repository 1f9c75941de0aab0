#include "storage/commit_queue.hpp"

#include <algorithm>
#include <iterator>
#include <span>
#include <utility>

namespace hickorylatch::storage
{

commit_queue::commit_queue(data_folder& folder, std::size_t max_group_size)
    : m_folder{folder}, m_max_group_size{max_group_size},
      m_last_index{folder.last_index()}, m_thread{[this]
                                                  {
                                                      run();
                                                  }}
{
}

commit_queue::~commit_queue()
{
    {
        auto const lock = std::lock_guard{m_mutex};
        m_is_stopping = true;
    }
    m_appended.notify_one();
    m_thread.join();
}

auto commit_queue::append(core::command command) -> bool
{
    auto result = std::future<bool>{};
    {
        auto const lock = std::lock_guard{m_mutex};
        auto& write = m_pending.emplace_back();
        write.m_entries.push_back({++m_last_index, 1, std::move(command)});
        result = m_results.emplace_back().get_future();
    }
    m_appended.notify_one();
    return result.get();
}

auto commit_queue::run() -> void
{
    while (true)
    {
        auto lock = std::unique_lock{m_mutex};
        m_appended.wait(lock,
                        [&]
                        {
                            return m_is_stopping || !m_pending.empty();
                        });
        if (m_pending.empty())
            return;
        auto const batch = std::exchange(m_pending, {});
        auto results = std::exchange(m_results, {});
        lock.unlock();
        for (auto done = std::size_t{0}; done < batch.size();)
        {
            auto const size = std::min(batch.size() - done, m_max_group_size);
            auto const is_written =
                !!m_folder.append(std::span{batch}.subspan(done, size));
            for (auto const end = done + size; done < end; ++done)
                results[done].set_value(is_written);
        }
    }
}

} // namespace hickorylatch::storage
