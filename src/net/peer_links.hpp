#ifndef HICKORYLATCH_NET_PEER_LINKS_HPP
#define HICKORYLATCH_NET_PEER_LINKS_HPP

#include "core/model/effect.hpp"
#include "core/model/message.hpp"
#include "net/event_loop.hpp"
#include "net/listener.hpp"
#include "net/peer_link.hpp"
#include "net/timer.hpp"

#include <boost/leaf/result.hpp>
#include <sigc++/signal.h>

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>

namespace hickorylatch::net
{

class tls_context;

/// Detection of links that are dead although they were never closed.
struct link_liveness
{
    /// An empty frame is sent after this time without another; 0 for never.
    core::duration m_ping_interval{0};
    /// A link that receives nothing for this long is closed; 0 for never.
    core::duration m_receive_timeout{0};
};

struct peer_links_settings
{
    /// Hello message that this process sends on each link.
    core::hello m_hello;
    /// Largest frame body in bytes.
    std::size_t m_frame_limit = std::size_t{64} << 20U;
    /// A link with more unsent bytes is closed.
    std::size_t m_output_limit = std::size_t{256} << 20U;
    /// With more unsent bytes of all links together, the link with the most is
    /// closed.
    std::size_t m_total_output_limit = std::size_t{1} << 30U;
    /// Limit from opening a connection to receiving the peer's hello.
    core::duration m_hello_timeout = std::chrono::seconds{5};
    /// Delay before reconnecting; doubles after each failure.
    core::duration m_backoff_min = std::chrono::milliseconds{50};
    core::duration m_backoff_max = std::chrono::seconds{1};
    /// For links to or from a control replica.
    link_liveness m_control_liveness;
    /// For all other links. They transfer submissions and runs.
    link_liveness m_work_liveness;
    /// Local IP address of outgoing links without TLS; empty lets the kernel
    /// choose.
    std::string m_source_ip;
    /// If set, TLS encrypts all links and authenticates both sides.
    std::shared_ptr<tls_context const> m_tls;
};

/// Links to other processes, addressed by `node_id`. At most one link to each
/// node is in use. Slots connected to the signals must not destroy this object.
class peer_links
{
public:
    peer_links(event_loop& loop, peer_links_settings settings);
    peer_links(peer_links const&) = delete;
    auto operator=(peer_links const&) -> peer_links& = delete;
    ~peer_links();

    /// Accepts links on an address; port 0 lets the kernel choose.
    [[nodiscard]] auto listen(std::string_view address)
        -> boost::leaf::result<void>;
    /// Port of the listening address; 0 before `listen`.
    [[nodiscard]] auto port() const -> std::uint16_t;
    /// Opens a link to each of these addresses, reconnects after failures, and
    /// closes outgoing links to all other addresses.
    auto set_targets(std::span<std::string const> addresses) -> void;
    /// Sends a message. It is discarded if there is no link to the node or if
    /// it is over the frame limit.
    auto send(core::node_id to, core::message const& message) -> void;
    /// Sends a message to several nodes; encodes it only once.
    auto send(std::span<core::node_id const> to, core::message const& message)
        -> void;
    /// Sets the control group's id that later hellos contain; 0 for none.
    auto set_cluster(std::uint64_t cluster) -> void;
    /// Bytes of all links that were not yet passed to the kernel.
    [[nodiscard]] auto unsent() const -> std::size_t;

    /// A link is ready for messages. Emitted again, without a disconnect before
    /// it, when a newer link to the same node replaces the older one.
    auto peer_connected() -> sigc::signal<void(core::hello const&)>&;
    auto peer_disconnected() -> sigc::signal<void(core::node_id)>&;
    auto message_received()
        -> sigc::signal<void(core::node_id, core::message const&)>&;
    auto line_logged() -> sigc::signal<void(core::log_line const&)>&;

private:
    using link_id = std::uint64_t;
    struct link_state;
    struct target_state;

    /// Writes an encoded message to the link of a node, if there is one.
    auto write(core::node_id to, std::string_view body) -> void;
    /// Closes the link with the most unsent bytes if all links together have
    /// too many.
    auto check_total_unsent() -> void;
    auto accept(int socket, socket_address const& remote) -> void;
    auto dial(std::string const& address) -> void;
    auto add_link(int socket, std::string remote, bool is_outgoing)
        -> link_state&;
    auto opened(link_id id) -> void;
    auto frame_received(link_id id, std::string_view body) -> void;
    auto hello_received(link_state& link, core::message const& first) -> void;
    auto replace_older(link_state& link, core::node_id node) -> bool;
    /// Closes a link, logs the cause and reports the node as disconnected if
    /// this was its link.
    auto fail(link_id id, std::string_view cause) -> void;
    /// Closes a link without a log line or signal. Schedules a reconnect if its
    /// address is still a target.
    auto close_link(link_id id) -> void;
    auto release_target(link_state const& link) -> void;
    auto schedule_dial(target_state& target) -> void;
    /// Sends pings and closes links that have received nothing in time.
    auto check_liveness() -> void;
    [[nodiscard]] auto liveness_of(core::hello const& peer) const
        -> link_liveness const&;
    /// Time between two liveness checks; 0 for none.
    [[nodiscard]] auto check_interval() const -> core::duration;
    auto log(core::log_level level, std::string_view event,
             std::string_view remote, std::string_view cause) -> void;

    event_loop& m_loop;
    peer_links_settings m_settings;
    std::mt19937_64 m_random;
    listener_handle m_listener;
    link_id m_last_id = 0;
    std::unordered_map<link_id, std::unique_ptr<link_state>> m_links;
    std::unordered_map<core::node_id, link_id> m_by_node;
    std::map<std::string, std::unique_ptr<target_state>, std::less<>> m_targets;
    timer m_accept_retry;
    /// Destroys closed links outside their own callbacks.
    timer m_cleanup;
    timer m_liveness_timer;
    core::time_point m_checked_at{0};

    sigc::signal<void(core::hello const&)> m_peer_connected;
    sigc::signal<void(core::node_id)> m_peer_disconnected;
    sigc::signal<void(core::node_id, core::message const&)> m_message_received;
    sigc::signal<void(core::log_line const&)> m_line_logged;
};

} // namespace hickorylatch::net

#endif
