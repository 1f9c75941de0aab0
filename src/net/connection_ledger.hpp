#ifndef HICKORYLATCH_NET_CONNECTION_LEDGER_HPP
#define HICKORYLATCH_NET_CONNECTION_LEDGER_HPP

#include "core/model/time.hpp"

#include <sigc++/signal.h>

#include <array>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>

namespace hickorylatch::net
{

/// Bounds on the HTTP connections of a process, for all its servers together.
struct connection_bounds
{
    /// Bytes held for all connections. Must leave room for the largest
    /// request.
    std::size_t m_bytes = std::size_t{256} << 20U;
    /// Connections that are served.
    std::size_t m_connections = 4'096;
    /// Connections over `m_connections` that stay open to get a 503.
    std::size_t m_refused_connections = 64;
    /// Connections with a request in process make room for another address only
    /// if their own address has more connections than this.
    std::size_t m_address_share = 64;
};

/// Why a connection is closed although its client did not end it.
enum class close_cause : std::uint8_t
{
    memory,          ///< `connection_bounds::m_bytes` was exceeded.
    connections,     ///< Its address had more than others, at the bound.
    refused,         ///< Refused, and too many refused ones were open.
    slow_request,    ///< A request was not complete in time.
    unread_response, ///< The client stopped reading a response.
    count
};

[[nodiscard]] auto to_string(close_cause cause) -> std::string_view;

/// A connection that must be closed.
struct connection_closing
{
    std::uint64_t m_connection = 0;
    close_cause m_cause = close_cause::memory;
};

/// What the HTTP connections of a process hold, and which of them must be
/// closed when a bound is exceeded. Does no I/O. Shared by the servers of a
/// process; each closes the connections that it added.
class connection_ledger
{
public:
    explicit connection_ledger(connection_bounds bounds = {});

    /// Adds a connection from an IP address and returns its id. At the bound, a
    /// connection of an address that has more connections than the new one's
    /// makes room; otherwise the new connection is refused.
    auto add(std::string_view address, core::time_point now) -> std::uint64_t;
    /// Removes a connection. Does nothing if it is not known.
    auto remove(std::uint64_t connection) -> void;
    auto set_bytes(std::uint64_t connection, std::size_t bytes) -> void;
    /// The client read a part of its response or began a request.
    auto set_progress(std::uint64_t connection, core::time_point now) -> void;
    /// While a request is processed, its connection is closed only if no other
    /// one can be.
    auto set_processing(std::uint64_t connection, bool is_processing) -> void;
    [[nodiscard]] auto is_refused(std::uint64_t connection) const -> bool;

    /// Removes the next connection that must be closed, and returns it. Among
    /// those without a request in process, the one with the largest product of
    /// bytes and time without progress comes first, so that a client that
    /// reads slowly is closed later than one that does not read.
    [[nodiscard]] auto take_closing(core::time_point now)
        -> std::optional<connection_closing>;
    /// Like `take_closing`, but makes room for bytes to be added, and never
    /// returns a connection with a request in process.
    [[nodiscard]] auto take_closing_for(std::size_t added, core::time_point now)
        -> std::optional<connection_closing>;
    /// Counts a connection that is closed by a timeout.
    auto count_closed(close_cause cause) -> void;

    [[nodiscard]] auto bounds() const -> connection_bounds const&;
    [[nodiscard]] auto bytes() const -> std::size_t;
    /// Number of connections, including refused ones.
    [[nodiscard]] auto connections() const -> std::size_t;
    /// Connections closed since the start.
    [[nodiscard]] auto closed(close_cause cause) const -> std::uint64_t;

    /// Emitted by a server for each connection from `take_closing`.
    auto close_requested() -> sigc::signal<void(connection_closing)>&;

private:
    struct entry
    {
        std::string m_address;
        std::size_t m_bytes = 0;
        core::time_point m_progress_at{0};
        bool m_is_processing = false;
        bool m_is_refused = false;
    };
    using entries = std::unordered_map<std::uint64_t, entry>;

    /// Schedules the closing of a connection of an address with more
    /// connections than `address` would have; false if there is none.
    /// Connections without a request in process come first, then those of the
    /// address with the most, then those without progress for the longest time.
    auto evict_for(std::string const& address) -> bool;
    [[nodiscard]] auto largest(core::time_point now,
                               bool may_be_processing) const
        -> std::optional<std::uint64_t>;
    auto take(connection_closing closing) -> connection_closing;

    connection_bounds m_bounds;
    std::uint64_t m_last_id = 0;
    entries m_entries;
    /// Served connections of each address.
    std::map<std::string, std::size_t, std::less<>> m_served;
    std::size_t m_served_count = 0;
    /// Refused connections, oldest first.
    std::deque<std::uint64_t> m_refused;
    std::deque<connection_closing> m_evicted;
    std::size_t m_bytes = 0;
    std::array<std::uint64_t, static_cast<std::size_t>(close_cause::count)>
        m_closed{};
    sigc::signal<void(connection_closing)> m_close_requested;
};

} // namespace hickorylatch::net

#endif
