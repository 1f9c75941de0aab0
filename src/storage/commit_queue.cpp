#include "storage/commit_queue.hpp"

#include <algorithm>
#include <iterator>
#include <span>
#include <utility>

namespace hickorylatch::storage
{

commit_queue::commit_queue(data_folder& folder, std::size_t largest_group)
    : m_folder{folder}, m_largest_group{largest_group},
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
    auto answer = std::future<bool>{};
    {
        auto const lock = std::lock_guard{m_mutex};
        auto& write = m_waiting.emplace_back();
        write.m_entries.push_back({++m_last_index, 1, std::move(command)});
        answer = m_answers.emplace_back().get_future();
    }
    m_appended.notify_one();
    return answer.get();
}

auto commit_queue::run() -> void
{
    while (true)
    {
        auto lock = std::unique_lock{m_mutex};
        m_appended.wait(lock,
                        [&]
                        {
                            return m_is_stopping || !m_waiting.empty();
                        });
        if (m_waiting.empty())
            return;
        auto const taken = std::exchange(m_waiting, {});
        auto answers = std::exchange(m_answers, {});
        lock.unlock();
        for (auto done = std::size_t{0}; done < taken.size();)
        {
            auto const size = std::min(taken.size() - done, m_largest_group);
            auto const is_written =
                !!m_folder.apply(std::span{taken}.subspan(done, size));
            for (auto const end = done + size; done < end; ++done)
                answers[done].set_value(is_written);
        }
    }
}

} // namespace hickorylatch::storage
