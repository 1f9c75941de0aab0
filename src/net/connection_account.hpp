#ifndef HICKORYLATCH_NET_CONNECTION_ACCOUNT_HPP
#define HICKORYLATCH_NET_CONNECTION_ACCOUNT_HPP

#include "net/connection_ledger.hpp"
#include "net/event_loop.hpp"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>

struct bufferevent;
struct evbuffer_cb_entry;
struct evbuffer_cb_info;

namespace hickorylatch::net
{

struct connection_account_settings
{
    /// Bytes read from the connection and not yet handled at most; reading
    /// stops beyond. Must hold the largest request.
    std::size_t m_input_limit = 0;
    /// The same while a request is in process or a response is being sent.
    /// What arrives then are pipelined requests.
    std::size_t m_pipelined_limit = 0;
};

/// Enters what one connection holds in the ledger: its buffers, the headers of
/// its current request, and what the kernel holds for it.
class connection_account
{
public:
    /// Keeps a reference to the stream. `changed` is called when the bytes
    /// held have grown; it must not close the connection.
    connection_account(event_loop& loop, connection_ledger& ledger,
                       bufferevent* stream,
                       connection_account_settings settings,
                       std::function<void()> changed);
    connection_account(connection_account const&) = delete;
    auto operator=(connection_account const&) -> connection_account& = delete;
    ~connection_account();

    /// Adds the connection to the ledger. Called when its socket is known.
    auto open() -> void;
    /// Id in the ledger; 0 before `open`.
    [[nodiscard]] auto id() const -> std::uint64_t;
    [[nodiscard]] auto stream() const -> bufferevent*;
    /// A complete request was received and is processed now.
    auto request_received() -> void;
    /// The response was passed to the stream.
    auto response_started() -> void;
    /// The response was passed to the kernel.
    auto response_sent() -> void;
    /// Updates the bytes that the kernel holds for the connection.
    auto measure_kernel() -> void;
    /// When the first byte of an incomplete request arrived.
    [[nodiscard]] auto request_began_at() const
        -> std::optional<core::time_point>;
    /// When a part of the current response was last passed to the kernel.
    [[nodiscard]] auto progress_at() const -> core::time_point;

private:
    struct release
    {
        auto operator()(bufferevent* handle) const noexcept -> void;
    };

    auto input_changed(evbuffer_cb_info const& change) -> void;
    auto output_changed(evbuffer_cb_info const& change) -> void;
    auto update() -> void;

    event_loop& m_loop;
    connection_ledger& m_ledger;
    std::unique_ptr<bufferevent, release> m_stream;
    connection_account_settings m_settings;
    std::function<void()> m_changed;
    evbuffer_cb_entry* m_input_callback = nullptr;
    evbuffer_cb_entry* m_output_callback = nullptr;
    std::uint64_t m_id = 0;
    bool m_is_processing = false;
    std::size_t m_input = 0;
    std::size_t m_output = 0;
    /// Memory of the parsed headers and the body of the current request.
    std::size_t m_request = 0;
    std::size_t m_kernel = 0;
    std::size_t m_total = 0;
    std::optional<core::time_point> m_request_began_at;
    core::time_point m_progress_at{0};
};

} // namespace hickorylatch::net

#endif
