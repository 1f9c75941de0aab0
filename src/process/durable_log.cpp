#include "process/durable_log.hpp"

#include "storage/storage_error.hpp"

#include <boost/leaf/handle_errors.hpp>

#include <algorithm>
#include <iterator>
#include <utility>

namespace hickorylatch::process
{

namespace
{

template <typename Operation>
auto error_text(Operation&& operation) -> std::string
{
    return boost::leaf::try_handle_all(
        [&]() -> boost::leaf::result<std::string>
        {
            BOOST_LEAF_CHECK(operation());
            return std::string{};
        },
        [](storage::storage_error const& error)
        {
            return to_string(error);
        },
        []
        {
            return std::string{"storage failed for an unknown reason"};
        });
}

} // namespace

durable_log::durable_log(net::event_loop& loop, storage::data_folder folder,
                         std::shared_ptr<storage::space_waiter> space_waiter)
    : m_loop{loop}, m_folder{std::move(folder)}, m_space_waiter{std::move(
                                                     space_waiter)},
      m_storage_worker{loop,
                       [this](std::span<storage_request> batch)
                       {
                           run_batch(batch);
                       },
                       [this](std::vector<storage_request> const& batch)
                       {
                           complete_batch(batch);
                       }}
{
}

durable_log::~durable_log()
{
    m_space_waiter->stop();
}

auto durable_log::check_waited_for_space() -> bool
{
    auto const space_waits = m_space_waiter->wait_count();
    return std::exchange(m_seen_space_waits, space_waits) != space_waits;
}

auto durable_log::append(core::append_log write) -> void
{
    m_storage_worker.enqueue({std::move(write), {}, {}});
}

auto durable_log::save(core::snapshot value) -> void
{
    m_storage_worker.enqueue({std::move(value), {}, {}});
}

auto durable_log::log_synced() -> sigc::signal<void(core::log_synced const&)>&
{
    return m_log_synced;
}

auto durable_log::snapshot_saved()
    -> sigc::signal<void(core::snapshot_saved const&)>&
{
    return m_snapshot_saved;
}

auto durable_log::sync_measured() -> sigc::signal<void(core::duration)>&
{
    return m_sync_measured;
}

auto durable_log::failed() -> sigc::signal<void(std::string const&)>&
{
    return m_failed;
}

auto durable_log::run_batch(std::span<storage_request> batch) -> void
{
    auto first = batch.begin();
    while (first != batch.end())
    {
        auto const started_at = m_loop.now();
        if (auto const* snapshot =
                std::get_if<core::snapshot>(&first->m_operation))
        {
            first->m_error = error_text(
                [&]
                {
                    return m_folder.save_snapshot(*snapshot);
                });
            ++first;
            continue;
        }
        auto const last =
            std::find_if(first, batch.end(),
                         [](storage_request const& request)
                         {
                             return !std::holds_alternative<core::append_log>(
                                 request.m_operation);
                         });
        auto writes = std::vector<core::append_log>{};
        std::transform(first, last, std::back_inserter(writes),
                       [](storage_request& request)
                       {
                           return std::move(
                               std::get<core::append_log>(request.m_operation));
                       });
        auto const error = error_text(
            [&]
            {
                return m_folder.append(writes);
            });
        for (auto index = std::size_t{0}; first != last; ++first, ++index)
        {
            first->m_operation = core::append_log{};
            std::get<core::append_log>(first->m_operation).m_write =
                writes[index].m_write;
            first->m_error = error;
        }
        std::prev(last)->m_sync_time = m_loop.now() - started_at;
    }
}

auto durable_log::complete_batch(std::vector<storage_request> const& batch)
    -> void
{
    for (auto const& request : batch)
    {
        if (!request.m_error.empty())
        {
            m_failed.emit(request.m_error);
            return;
        }
        if (auto const* snapshot =
                std::get_if<core::snapshot>(&request.m_operation))
            m_snapshot_saved.emit({snapshot->m_last_index});
        // One completion covers all writes before it.
        else if (request.m_sync_time)
        {
            m_sync_measured.emit(*request.m_sync_time);
            m_log_synced.emit(
                {std::get<core::append_log>(request.m_operation).m_write});
        }
    }
}

} // namespace hickorylatch::process
