#ifndef HICKORYLATCH_PROCESS_DURABLE_LOG_HPP
#define HICKORYLATCH_PROCESS_DURABLE_LOG_HPP

#include "core/model/effect.hpp"
#include "core/replication/replica.hpp"
#include "net/storage_worker.hpp"
#include "storage/data_folder.hpp"
#include "storage/space_waiter.hpp"

#include <boost/leaf/result.hpp>
#include <sigc++/signal.h>

#include <cstdint>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <variant>
#include <vector>

namespace hickorylatch::process
{

/// Carries out `append_log` and `save_snapshot` on a storage thread. Writes
/// that wait together share one sync.
class durable_log
{
public:
    /// `space` is the one that the folder waits with.
    durable_log(net::event_loop& loop, storage::data_folder folder,
                std::shared_ptr<storage::space_waiter> space);
    durable_log(durable_log const&) = delete;
    auto operator=(durable_log const&) -> durable_log& = delete;
    /// Waits for what was queued, but not for space on a full disk.
    ~durable_log();

    auto append(core::append_log write) -> void;
    auto save(core::snapshot value) -> void;
    /// True if a write waited for space since the last call.
    auto take_waited_for_space() -> bool;

    auto log_synced() -> sigc::signal<void(core::log_synced const&)>&;
    auto snapshot_saved() -> sigc::signal<void(core::snapshot_saved const&)>&;
    /// A sync ended after this time.
    auto sync_measured() -> sigc::signal<void(core::duration)>&;
    /// The disk failed. Nothing written since the last completion is durable.
    auto failed() -> sigc::signal<void(std::string const&)>&;

private:
    struct job
    {
        std::variant<core::append_log, core::snapshot> m_work;
        std::string m_error;
        /// Set on the last job of each sync.
        std::optional<core::duration> m_sync_time;
    };

    auto run(std::span<job> batch) -> void;
    auto completed(std::vector<job> const& batch) -> void;

    net::event_loop& m_loop;
    storage::data_folder m_folder;
    std::shared_ptr<storage::space_waiter> m_space;
    std::uint64_t m_pauses = 0;
    sigc::signal<void(core::log_synced const&)> m_log_synced;
    sigc::signal<void(core::snapshot_saved const&)> m_snapshot_saved;
    sigc::signal<void(core::duration)> m_sync_measured;
    sigc::signal<void(std::string const&)> m_failed;
    /// Last, because its thread uses the members above.
    net::storage_worker<job> m_worker;
};

} // namespace hickorylatch::process

#endif
