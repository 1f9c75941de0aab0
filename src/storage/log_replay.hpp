#ifndef HICKORYLATCH_STORAGE_LOG_REPLAY_HPP
#define HICKORYLATCH_STORAGE_LOG_REPLAY_HPP

#include "storage/log_position.hpp"
#include "storage/log_record.hpp"
#include "storage/recovery.hpp"

#include "core/model/effect.hpp"

#include <boost/leaf/result.hpp>

#include <cstdint>
#include <deque>
#include <filesystem>
#include <optional>
#include <string_view>
#include <vector>

namespace hickorylatch::storage
{

/// Rebuilds hard state and entries from log segments, which are added oldest
/// first. Errors are `storage_error`.
class log_replay
{
public:
    explicit log_replay(core::node_id identity);

    /// Only the last segment may have a torn tail.
    [[nodiscard]] auto add_segment(std::filesystem::path const& path,
                                   std::string_view bytes, bool is_last)
        -> boost::leaf::result<void>;

    [[nodiscard]] auto hard_state() const -> core::hard_state const&;
    [[nodiscard]] auto terms() const -> log_terms const&;
    /// Position of the last entry before the first replayed one.
    [[nodiscard]] auto base() const -> log_position;
    [[nodiscard]] auto torn() const -> std::optional<torn_tail> const&;
    /// Size of the last segment without a torn tail.
    [[nodiscard]] auto last_segment_size() const -> std::uint64_t;
    /// Moves out the entries after the given index and clears the others.
    [[nodiscard]] auto take_entries(core::log_index after)
        -> std::vector<core::log_entry>;

private:
    [[nodiscard]] auto add_header(std::filesystem::path const& path,
                                  segment_header const& header)
        -> boost::leaf::result<void>;
    [[nodiscard]] auto add_write(std::filesystem::path const& path,
                                 std::uint64_t offset, core::append_log write)
        -> boost::leaf::result<void>;
    auto reset(log_position base) -> void;

    core::node_id m_identity;
    bool m_is_first = true;
    core::hard_state m_hard_state;
    log_position m_base;
    log_terms m_terms;
    std::deque<core::log_entry> m_entries;
    std::optional<torn_tail> m_torn;
    std::uint64_t m_last_segment_size = 0;
};

} // namespace hickorylatch::storage

#endif
