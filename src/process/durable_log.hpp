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

/// Executes `append_log` and `save_snapshot` on a storage thread. Writes that
/// are queued at the same time share one sync.
class durable_log
{
public:
    /// `space_waiter` must be the one that `folder` uses.
    durable_log(net::event_loop& loop, storage::data_folder folder,
                std::shared_ptr<storage::space_waiter> space_waiter);
    durable_log(durable_log const&) = delete;
    auto operator=(durable_log const&) -> durable_log& = delete;
    /// Waits for queued requests, but not for space on a full disk.
    ~durable_log();

    auto append(core::append_log write) -> void;
    auto save(core::snapshot value) -> void;
    /// True if a write waited for disk space since the last call.
    auto check_waited_for_space() -> bool;

    auto log_synced() -> sigc::signal<void(core::log_synced const&)>&;
    auto snapshot_saved() -> sigc::signal<void(core::snapshot_saved const&)>&;
    /// Duration of a completed sync.
    auto sync_measured() -> sigc::signal<void(core::duration)>&;
    /// Storage failed. Nothing written since the last completion is durable.
    auto failed() -> sigc::signal<void(std::string const&)>&;

private:
    struct storage_request
    {
        std::variant<core::append_log, core::snapshot> m_operation;
        std::string m_error;
        /// Set on the last request of each sync.
        std::optional<core::duration> m_sync_time;
    };

    auto run_batch(std::span<storage_request> batch) -> void;
    auto complete_batch(std::vector<storage_request> const& batch) -> void;

    net::event_loop& m_loop;
    storage::data_folder m_folder;
    std::shared_ptr<storage::space_waiter> m_space_waiter;
    std::uint64_t m_seen_space_waits = 0;
    sigc::signal<void(core::log_synced const&)> m_log_synced;
    sigc::signal<void(core::snapshot_saved const&)> m_snapshot_saved;
    sigc::signal<void(core::duration)> m_sync_measured;
    sigc::signal<void(std::string const&)> m_failed;
    /// Declared last, because its thread uses the members above.
    net::storage_worker<storage_request> m_storage_worker;
};

} // namespace hickorylatch::process

#endif
