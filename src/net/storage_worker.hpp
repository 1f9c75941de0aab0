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

/// Runs blocking jobs on a thread of its own, in order. The function that runs
/// them gets all jobs that are queued at that moment as one batch, so that it
/// can write them with one sync. It may store a job's outcome in the job.
template <typename Job>
class storage_worker
{
public:
    /// Runs a batch; called on the worker's thread and must not throw.
    using batch_runner = std::function<void(std::span<Job>)>;
    /// Takes back a batch that has run; called on the loop's thread.
    using batch_taker = std::function<void(std::vector<Job>)>;

    storage_worker(event_loop& loop, batch_runner run, batch_taker completed)
        : m_loop{loop}, m_run{std::move(run)},
          m_completed{std::make_shared<batch_taker>(std::move(completed))},
          m_thread{[this]
                   {
                       work();
                   }}
    {
    }

    storage_worker(storage_worker const&) = delete;
    auto operator=(storage_worker const&) -> storage_worker& = delete;

    /// Waits until everything queued has run. Completions that the loop has
    /// not delivered yet are lost.
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
    auto work() -> void
    {
        for (auto batch = next_batch(); !batch.empty(); batch = next_batch())
        {
            m_run(batch);
            auto const shared =
                std::make_shared<std::vector<Job>>(std::move(batch));
            auto const taker = std::weak_ptr{m_completed};
            m_loop.post(
                [shared, taker]
                {
                    if (auto const completed = taker.lock())
                        (*completed)(std::move(*shared));
                });
        }
    }

    /// Waits for jobs; empty if there are none and the worker stops.
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
    std::shared_ptr<batch_taker> m_completed;
    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::vector<Job> m_queue;
    bool m_is_stopping = false;
    /// Last, because it uses the members above.
    std::thread m_thread;
};

} // namespace hickorylatch::net

#endif
