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

template <typename Work>
auto error_of(Work&& work) -> std::string
{
    return boost::leaf::try_handle_all(
        [&]() -> boost::leaf::result<std::string>
        {
            BOOST_LEAF_CHECK(work());
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
                         std::shared_ptr<storage::space_waiter> space)
    : m_loop{loop}, m_folder{std::move(folder)}, m_space{std::move(space)},
      m_worker{loop,
               [this](std::span<job> batch)
               {
                   run(batch);
               },
               [this](std::vector<job> const& batch)
               {
                   completed(batch);
               }}
{
}

durable_log::~durable_log()
{
    m_space->stop();
}

auto durable_log::take_waited_for_space() -> bool
{
    auto const pauses = m_space->wait_count();
    return std::exchange(m_pauses, pauses) != pauses;
}

auto durable_log::append(core::append_log write) -> void
{
    m_worker.enqueue({std::move(write), {}, {}});
}

auto durable_log::save(core::snapshot value) -> void
{
    m_worker.enqueue({std::move(value), {}, {}});
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

auto durable_log::run(std::span<job> batch) -> void
{
    auto first = batch.begin();
    while (first != batch.end())
    {
        auto const began = m_loop.now();
        if (auto const* saved = std::get_if<core::snapshot>(&first->m_work))
        {
            first->m_error = error_of(
                [&]
                {
                    return m_folder.save_snapshot(*saved);
                });
            ++first;
            continue;
        }
        auto const last = std::find_if(
            first, batch.end(),
            [](job const& each)
            {
                return !std::holds_alternative<core::append_log>(each.m_work);
            });
        auto writes = std::vector<core::append_log>{};
        std::transform(first, last, std::back_inserter(writes),
                       [](job& each)
                       {
                           return std::move(
                               std::get<core::append_log>(each.m_work));
                       });
        auto const error = error_of(
            [&]
            {
                return m_folder.append(writes);
            });
        for (auto index = std::size_t{0}; first != last; ++first, ++index)
        {
            first->m_work = core::append_log{};
            std::get<core::append_log>(first->m_work).m_write =
                writes[index].m_write;
            first->m_error = error;
        }
        std::prev(last)->m_sync_time = m_loop.now() - began;
    }
}

auto durable_log::completed(std::vector<job> const& batch) -> void
{
    for (auto const& done : batch)
    {
        if (!done.m_error.empty())
        {
            m_failed.emit(done.m_error);
            return;
        }
        if (auto const* saved = std::get_if<core::snapshot>(&done.m_work))
            m_snapshot_saved.emit({saved->m_last_index});
        // One completion tells of all writes before it.
        else if (done.m_sync_time)
        {
            m_sync_measured.emit(*done.m_sync_time);
            m_log_synced.emit(
                {std::get<core::append_log>(done.m_work).m_write});
        }
    }
}

} // namespace hickorylatch::process
