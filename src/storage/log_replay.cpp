#include "storage/log_replay.hpp"

#include "storage/storage_error.hpp"

#include <algorithm>
#include <iterator>
#include <string>
#include <utility>

namespace hickorylatch::storage
{

log_replay::log_replay(core::node_id identity) : m_identity{identity}
{
}

auto log_replay::add_segment(std::filesystem::path const& path,
                             std::string_view bytes, bool is_last)
    -> boost::leaf::result<void>
{
    BOOST_LEAF_AUTO(decoded, decode_segment_header(path, bytes));
    BOOST_LEAF_CHECK(add_header(path, decoded.m_header));
    auto offset = decoded.m_size;
    // Preallocated space after the records reads as zeros.
    auto const end = bytes.find_last_not_of('\0') + 1;
    while (offset < end)
    {
        auto const sequence = decoded.m_header.m_sequence;
        auto const payload = record_payload({m_identity, sequence, offset},
                                            bytes.substr(offset));
        if (!payload)
        {
            if (!is_last)
                return fail(path, offset,
                            "damaged record in a segment that is not the last");
            if (auto const next =
                    find_record(m_identity, sequence, bytes, offset + 1))
                return fail(path, offset,
                            "damaged record before a valid one at offset " +
                                std::to_string(*next));
            m_torn = torn_tail{path, offset, end - offset};
            break;
        }
        BOOST_LEAF_AUTO(writes, decode_record_payload(path, offset, *payload));
        for (auto& write : writes)
            BOOST_LEAF_CHECK(add_write(path, offset, std::move(write)));
        offset += record_header_size + payload->size();
    }
    m_last_segment_size = offset;
    return {};
}

auto log_replay::hard_state() const -> core::hard_state const&
{
    return m_hard_state;
}

auto log_replay::terms() const -> log_terms const&
{
    return m_terms;
}

auto log_replay::base() const -> log_position
{
    return m_base;
}

auto log_replay::torn() const -> std::optional<torn_tail> const&
{
    return m_torn;
}

auto log_replay::last_segment_size() const -> std::uint64_t
{
    return m_last_segment_size;
}

auto log_replay::take_entries(core::log_index after)
    -> std::vector<core::log_entry>
{
    auto const first = std::ranges::upper_bound(m_entries, after, {},
                                                &core::log_entry::m_index);
    auto entries =
        std::vector<core::log_entry>(std::make_move_iterator(first),
                                     std::make_move_iterator(m_entries.end()));
    m_entries.clear();
    return entries;
}

auto log_replay::add_header(std::filesystem::path const& path,
                            segment_header const& header)
    -> boost::leaf::result<void>
{
    if (header.m_identity != m_identity)
        return fail(path, 0, "the segment belongs to another replica identity");
    auto const base = log_position{header.m_base_index, header.m_base_term};
    if (!m_is_first && !header.m_resets_log && base != m_terms.last())
        return fail(path, 0,
                    "the segment follows index " +
                        std::to_string(base.m_index) +
                        ", but the log before it ends at index " +
                        std::to_string(m_terms.last().m_index));
    if (m_is_first || header.m_resets_log)
        reset(base);
    m_is_first = false;
    m_hard_state = header.m_hard_state;
    return {};
}

auto log_replay::add_write(std::filesystem::path const& path,
                           std::uint64_t offset, core::append_log write)
    -> boost::leaf::result<void>
{
    if (write.m_hard_state)
        m_hard_state = *write.m_hard_state;
    if (write.m_truncate_from != 0)
    {
        m_terms.truncate(write.m_truncate_from);
        while (!m_entries.empty() &&
               m_entries.back().m_index >= write.m_truncate_from)
            m_entries.pop_back();
        // A truncation before the base removes every replayed entry.
        if (m_terms.last().m_index < m_base.m_index)
            m_base = m_terms.last();
    }
    for (auto& entry : write.m_entries)
    {
        auto const expected = m_terms.last().m_index + 1;
        if (entry.m_index != expected)
            return fail(path, offset,
                        "index " + std::to_string(entry.m_index) +
                            " where index " + std::to_string(expected) +
                            " was expected");
        m_terms.append(entry.m_term);
        m_entries.push_back(std::move(entry));
    }
    return {};
}

auto log_replay::reset(log_position base) -> void
{
    m_base = base;
    m_terms.reset(base);
    m_entries.clear();
}

} // namespace hickorylatch::storage
