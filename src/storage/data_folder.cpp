#include "storage/data_folder.hpp"

#include "storage/envelope.hpp"
#include "storage/snapshot_file.hpp"

#include <fcntl.h>

#include <algorithm>
#include <random>
#include <system_error>
#include <utility>

namespace hickorylatch::storage
{

namespace
{

namespace fs = std::filesystem;

/// The newest snapshot and an older one to use if the newest is damaged.
constexpr auto retained_snapshots = std::size_t{2};

[[nodiscard]] auto random_identity() -> core::node_id
{
    auto device = std::random_device{};
    auto value = std::uint64_t{0};
    while (value == 0)
        value = (std::uint64_t{device()} << 32U) | device();
    return core::node_id{value};
}

[[nodiscard]] auto warnings(folder_contents const& contents)
    -> std::vector<core::log_line>
{
    using fields = decltype(core::log_line::m_fields);
    auto lines = std::vector<core::log_line>{};
    for (auto const& reason : contents.m_damaged_snapshots)
        lines.push_back({core::log_level::warning, "snapshot_damaged",
                         fields{{"reason", reason}}});
    if (auto const& torn = contents.m_torn_tail)
        lines.push_back({core::log_level::warning, "log_tail_cut",
                         fields{{"file", torn->m_file.string()},
                                {"offset", std::to_string(torn->m_offset)},
                                {"bytes", std::to_string(torn->m_bytes)}}});
    return lines;
}

/// Creates the folder and makes its directory entry durable.
[[nodiscard]] auto create_folder(fs::path const& path,
                                 storage_options const& options)
    -> boost::leaf::result<void>
{
    auto code = std::error_code{};
    if (!fs::create_directories(path, code) && !code)
        return {};
    if (code)
        return fail_with_code(path, "creation of the folder", code);
    return sync_folder(path / "..", options);
}

/// Removes files that a crash left incomplete.
[[nodiscard]] auto remove_temporary(fs::path const& folder)
    -> boost::leaf::result<void>
{
    auto code = std::error_code{};
    auto leftovers = std::vector<fs::path>{};
    for (auto file = fs::directory_iterator{folder, code};
         !code && file != fs::directory_iterator{}; file.increment(code))
    {
        if (file->path().extension() == temporary_suffix)
            leftovers.push_back(file->path());
    }
    for (auto const& leftover : leftovers)
    {
        if (!code)
            fs::remove(leftover, code);
    }
    if (code)
        return fail(folder, 0, "cannot clean the folder: " + code.message());
    return {};
}

} // namespace

data_folder::data_folder(fs::path path, storage_options options)
    : m_path{std::move(path)}, m_options{std::move(options)}
{
}

auto data_folder::open(fs::path path, storage_options options)
    -> boost::leaf::result<opened_folder>
{
    auto const waiter = options.m_space_waiter;
    BOOST_LEAF_CHECK(retry_while_full(waiter.get(),
                                      [&]
                                      {
                                          return create_folder(path, options);
                                      }));
    auto folder = data_folder{std::move(path), std::move(options)};
    auto const open_lock = [&]() -> boost::leaf::result<void>
    {
        BOOST_LEAF_ASSIGN(folder.m_lock,
                          file::open(folder.m_path / "lock", O_RDWR | O_CREAT));
        return {};
    };
    BOOST_LEAF_CHECK(retry_while_full(waiter.get(), open_lock));
    BOOST_LEAF_CHECK(folder.m_lock.lock());
    BOOST_LEAF_CHECK(remove_temporary(folder.m_path));
    BOOST_LEAF_AUTO(contents, read_folder(folder.m_path));
    if (contents.m_state.m_identity == core::no_node)
    {
        BOOST_LEAF_CHECK(folder.create());
        contents.m_state.m_identity = folder.m_identity;
    }
    else
        BOOST_LEAF_CHECK(folder.resume(contents));
    auto lines = warnings(contents);
    return opened_folder{std::move(folder), std::move(contents.m_state),
                         std::move(lines)};
}

auto data_folder::create() -> boost::leaf::result<void>
{
    m_identity = random_identity();
    BOOST_LEAF_CHECK(add_segment({}, false));
    auto payload = std::string{};
    put_u64(payload, static_cast<std::uint64_t>(m_identity));
    return create_file(identity_path(m_path),
                       encode_envelope(identity_magic, payload), m_options);
}

auto data_folder::resume(folder_contents& contents) -> boost::leaf::result<void>
{
    m_identity = contents.m_state.m_identity;
    m_hard_state = contents.m_state.m_hard_state;
    m_terms = contents.m_terms;
    m_segments = contents.m_segments;
    m_snapshots = contents.m_snapshots;
    m_snapshot_sequence = contents.m_snapshot_sequence;
    m_active_segment_size = contents.m_last_segment_size;
    BOOST_LEAF_ASSIGN(
        m_active_segment,
        file::open(segment_path(m_path, m_segments.back().m_sequence),
                   O_WRONLY));
    if (contents.m_torn_tail)
    {
        BOOST_LEAF_CHECK(m_active_segment.truncate(m_active_segment_size));
        BOOST_LEAF_CHECK(preallocate());
    }
    // The recovered state may exist only in the page cache after a crash of the
    // process. It must be durable before the replica relies on it.
    BOOST_LEAF_CHECK(m_active_segment.sync_all(m_options));
    BOOST_LEAF_CHECK(sync_folder(m_path, m_options));
    if (!contents.m_needs_log_reset)
        return {};
    return add_segment(m_snapshots.back().m_last, true);
}

auto data_folder::append(std::span<core::append_log const> writes)
    -> boost::leaf::result<void>
{
    BOOST_LEAF_CHECK(check_usable());
    auto last = m_terms.last().m_index;
    for (auto const& write : writes)
    {
        BOOST_LEAF_ASSIGN(last, check_continuity(write, last));
    }
    m_has_failed = true;
    BOOST_LEAF_CHECK(write_group(writes));
    m_has_failed = false;
    return {};
}

auto data_folder::save_snapshot(core::snapshot const& value)
    -> boost::leaf::result<void>
{
    BOOST_LEAF_CHECK(check_usable());
    if (!m_snapshots.empty() &&
        m_snapshots.back().m_last.m_index > value.m_last_index)
        return fail(m_path, 0,
                    "snapshot up to index " +
                        std::to_string(value.m_last_index) +
                        " is older than the last saved one");
    m_has_failed = true;
    BOOST_LEAF_CHECK(write_snapshot(value));
    m_has_failed = false;
    return {};
}

auto data_folder::identity() const -> core::node_id
{
    return m_identity;
}

auto data_folder::hard_state() const -> core::hard_state const&
{
    return m_hard_state;
}

auto data_folder::last_index() const -> core::log_index
{
    return m_terms.last().m_index;
}

auto data_folder::write_group(std::span<core::append_log const> writes)
    -> boost::leaf::result<void>
{
    auto payload = std::string{};
    auto first = writes.begin();
    for (auto next = writes.begin(); next != writes.end();)
    {
        append_write(payload, *next++);
        if (payload.size() < m_options.m_record_bytes && next != writes.end())
            continue;
        BOOST_LEAF_CHECK(write_record(payload));
        std::for_each(first, next,
                      [&](core::append_log const& write)
                      {
                          update_state(write);
                      });
        payload.clear();
        first = next;
    }
    return {};
}

auto data_folder::write_record(std::string_view payload)
    -> boost::leaf::result<void>
{
    if (payload.size() > maximum_record_size)
        return fail(m_path, 0,
                    "a record of " + std::to_string(payload.size()) +
                        " bytes is over the size limit");
    if (m_active_segment_size >= m_options.m_segment_bytes)
        BOOST_LEAF_CHECK(add_segment(m_terms.last(), false));
    auto const record = encode_record(
        {m_identity, m_segments.back().m_sequence, m_active_segment_size},
        payload);
    auto const write = [&]() -> boost::leaf::result<void>
    {
        BOOST_LEAF_CHECK(
            m_active_segment.write(m_active_segment_size, record, m_options));
        return m_active_segment.sync_data(m_options);
    };
    BOOST_LEAF_CHECK(retry_while_full(m_options.m_space_waiter.get(), write));
    m_active_segment_size += record.size();
    return {};
}

auto data_folder::write_snapshot(core::snapshot const& value)
    -> boost::leaf::result<void>
{
    ++m_snapshot_sequence;
    BOOST_LEAF_CHECK(create_file(snapshot_path(m_path, m_snapshot_sequence),
                                 encode_snapshot_file(m_identity, value),
                                 m_options));
    auto const last = log_position{value.m_last_index, value.m_last_term};
    m_snapshots.push_back({m_snapshot_sequence, last});
    if (m_terms.term_at(last.m_index) != last.m_term)
        BOOST_LEAF_CHECK(add_segment(last, true));
    return remove_obsolete_files();
}

auto data_folder::add_segment(log_position base, bool resets_log)
    -> boost::leaf::result<void>
{
    auto const sequence =
        m_segments.empty() ? 1 : m_segments.back().m_sequence + 1;
    auto const header =
        encode_segment_header({m_identity, sequence, resets_log, base.m_index,
                               base.m_term, m_hard_state});
    auto const path = segment_path(m_path, sequence);
    BOOST_LEAF_CHECK(create_file(path, header, m_options));
    BOOST_LEAF_ASSIGN(m_active_segment, file::open(path, O_WRONLY));
    BOOST_LEAF_CHECK(preallocate());
    m_active_segment_size = header.size();
    m_segments.push_back({sequence, base.m_index});
    if (resets_log)
        m_terms.reset(base);
    return {};
}

auto data_folder::preallocate() -> boost::leaf::result<void>
{
    if (!m_options.m_preallocate)
        return {};
    return retry_while_full(m_options.m_space_waiter.get(),
                            [&]
                            {
                                return m_active_segment.preallocate(
                                    m_options.m_segment_bytes);
                            });
}

auto data_folder::remove_obsolete_files() -> boost::leaf::result<void>
{
    while (m_snapshots.size() > retained_snapshots)
    {
        BOOST_LEAF_CHECK(
            remove(snapshot_path(m_path, m_snapshots.front().m_sequence)));
        m_snapshots.erase(m_snapshots.begin());
    }
    if (m_snapshots.size() < retained_snapshots)
        return {};
    auto const covered = m_snapshots.front().m_last.m_index;
    // Oldest first, so that a crash between removals leaves no gap.
    while (m_segments.size() > 1 && m_segments[1].m_base_index <= covered)
    {
        BOOST_LEAF_CHECK(
            remove(segment_path(m_path, m_segments.front().m_sequence)));
        m_segments.erase(m_segments.begin());
    }
    return sync_folder(m_path, m_options);
}

auto data_folder::remove(fs::path const& path) -> boost::leaf::result<void>
{
    auto code = std::error_code{};
    fs::remove(path, code);
    if (code)
        return fail(path, 0, "remove failed: " + code.message());
    return {};
}

auto data_folder::check_continuity(core::append_log const& write,
                                   core::log_index last) const
    -> boost::leaf::result<core::log_index>
{
    auto const covered =
        m_snapshots.empty() ? 0 : m_snapshots.back().m_last.m_index;
    auto const from = write.m_truncate_from;
    if (from != 0 && from <= covered)
        return fail(m_path, 0,
                    "truncation from index " + std::to_string(from) +
                        " is within the snapshot");
    if (from != 0)
        last = std::min(last, from - 1);
    for (auto const& entry : write.m_entries)
    {
        if (entry.m_index != ++last)
            return fail(m_path, 0,
                        "index " + std::to_string(entry.m_index) +
                            " where index " + std::to_string(last) +
                            " was expected");
    }
    return last;
}

auto data_folder::check_usable() const -> boost::leaf::result<void>
{
    if (m_has_failed)
        return fail(m_path, 0, "unusable after an earlier write failure");
    return {};
}

auto data_folder::update_state(core::append_log const& write) -> void
{
    if (write.m_hard_state)
        m_hard_state = *write.m_hard_state;
    if (write.m_truncate_from != 0)
        m_terms.truncate(write.m_truncate_from);
    for (auto const& entry : write.m_entries)
        m_terms.append(entry.m_term);
}

} // namespace hickorylatch::storage
