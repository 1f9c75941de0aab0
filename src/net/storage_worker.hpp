#ifndef HICKORYLATCH_NET_STORAGE_WORKER_HPP
#define HICKORYLATCH_NET_STORAGE_WORKER_HPP

#include "net/event_loop.hpp"

#include <condition_variable>
#include <functional>
#include <memory>
#include <mutex>
#include <span>
#include <thread>
#include <utility>
#include <vector>

namespace hickorylatch::net
{

/// Runs blocking jobs in order on a dedicated thread. All jobs that are queued
/// when the thread becomes free form one batch, so that they can be written
/// with one sync. The function that runs a batch may store the results in the
/// jobs.
template <typename Job>
class storage_worker
{
public:
    /// Runs a batch. Called on the worker's thread; must not throw.
    using batch_runner = std::function<void(std::span<Job>)>;
    /// Receives a batch that has run. Called on the loop's thread.
    using completion_handler = std::function<void(std::vector<Job>)>;

    storage_worker(event_loop& loop, batch_runner run,
                   completion_handler completed)
        : m_loop{loop}, m_run{std::move(run)},
          m_completed{
              std::make_shared<completion_handler>(std::move(completed))},
          m_thread{[this]
                   {
                       run_batches();
                   }}
    {
    }

    storage_worker(storage_worker const&) = delete;
    auto operator=(storage_worker const&) -> storage_worker& = delete;

    /// Waits until all queued jobs have run. Completions that the loop has not
    /// delivered yet are discarded.
    ~storage_worker()
    {
        {
            auto const lock = std::scoped_lock{m_mutex};
            m_is_stopping = true;
        }
        m_changed.notify_one();
        m_thread.join();
    }

    /// Queues a job. Callable from any thread.
    auto enqueue(Job job) -> void
    {
        {
            auto const lock = std::scoped_lock{m_mutex};
            m_queue.push_back(std::move(job));
        }
        m_changed.notify_one();
    }

private:
    auto run_batches() -> void
    {
        for (auto batch = next_batch(); !batch.empty(); batch = next_batch())
        {
            m_run(batch);
            auto const shared =
                std::make_shared<std::vector<Job>>(std::move(batch));
            auto const weak_handler = std::weak_ptr{m_completed};
            m_loop.post(
                [shared, weak_handler]
                {
                    if (auto const completed = weak_handler.lock())
                        (*completed)(std::move(*shared));
                });
        }
    }

    /// Waits for jobs; returns none if the queue is empty and the worker stops.
    auto next_batch() -> std::vector<Job>
    {
        auto lock = std::unique_lock{m_mutex};
        m_changed.wait(lock,
                       [this]
                       {
                           return !m_queue.empty() || m_is_stopping;
                       });
        return std::exchange(m_queue, {});
    }

    event_loop& m_loop;
    batch_runner m_run;
    std::shared_ptr<completion_handler> m_completed;
    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::vector<Job> m_queue;
    bool m_is_stopping = false;
    /// Declared last, because the thread uses the members above.
    std::thread m_thread;
};

} // namespace hickorylatch::net

#endif
