#include "net/peer_links.hpp"

#include "net/error.hpp"
#include "net/tls_context.hpp"
#include "wire/codec.hpp"

#include <event2/listener.h>

#include <boost/leaf/handle_errors.hpp>

#include <openssl/crypto.h>

#include <algorithm>
#include <utility>

namespace hickorylatch::net
{

namespace leaf = boost::leaf;

namespace
{

// Bounds the memory that a peer can use before it has sent the secret.
constexpr auto hello_frame_limit = std::size_t{64} << 10U;

// If two nodes connect to each other at the same time, their links may become
// ready in a different order on each side. Within this time both nodes keep the
// link opened by the node with the smaller id instead of the newer link.
constexpr auto simultaneous_open_window =
    core::duration{std::chrono::seconds{2}};

auto is_same_secret(std::string_view left, std::string_view right) -> bool
{
    return left.size() == right.size() &&
           CRYPTO_memcmp(left.data(), right.data(), left.size()) == 0;
}

// Accepting fails when the process is out of file descriptors; retrying
// immediately would be a busy loop.
constexpr auto accept_retry_interval =
    core::duration{std::chrono::milliseconds{100}};

auto parse_address(std::string const& text) -> std::optional<socket_address>
{
    return leaf::try_handle_all(
        [&]() -> leaf::result<std::optional<socket_address>>
        {
            BOOST_LEAF_AUTO(parsed, socket_address::parse(text));
            return std::optional{parsed};
        },
        []
        {
            return std::optional<socket_address>{};
        });
}

/// Reason to reject a hello; empty if it is valid.
auto hello_rejection(core::hello const& own, core::hello const& peer)
    -> std::string_view
{
    if (!is_same_secret(own.m_secret, peer.m_secret))
        return "wrong secret";
    if (own.m_cluster != 0 && peer.m_cluster != 0 &&
        own.m_cluster != peer.m_cluster)
        return "wrong cluster";
    if (peer.m_node == core::no_node)
        return "hello without a node id";
    return {};
}

} // namespace

struct peer_links::link_state
{
    link_id m_id = 0;
    /// Address of the peer; for an outgoing link the address of its target.
    std::string m_remote;
    bool m_is_outgoing = false;
    /// The peer's hello, once it was accepted.
    std::optional<core::hello> m_peer = std::nullopt;
    core::time_point m_ready_at{0};
    core::time_point m_last_received_at{0};
    core::time_point m_last_sent_at{0};
    /// Another link to the same node is in use; the peer closes this one.
    bool m_is_superseded = false;
    std::unique_ptr<peer_link> m_link;
    timer m_hello_timer;
};

struct peer_links::target_state
{
    std::string m_address;
    link_id m_link = 0;
    /// Node whose hello was last received from this address.
    core::node_id m_node = core::no_node;
    /// The address is that of this process.
    bool m_is_self = false;
    bool m_is_failure_logged = false;
    core::duration m_backoff;
    timer m_redial;
};

peer_links::peer_links(event_loop& loop, peer_links_settings settings)
    : m_loop{loop}, m_settings{std::move(settings)},
      m_random{static_cast<std::uint64_t>(m_settings.m_hello.m_node)},
      m_accept_retry{loop,
                     [this]
                     {
                         evconnlistener_enable(m_listener.get());
                     }},
      m_cleanup{loop,
                [this]
                {
                    std::erase_if(m_links,
                                  [](auto const& item)
                                  {
                                      return item.second->m_link->is_closed();
                                  });
                }},
      m_liveness_timer{loop, [this]
                       {
                           check_liveness();
                       }}
{
    if (check_interval() > core::duration{0})
        m_liveness_timer.start(check_interval());
}

peer_links::~peer_links() = default;

auto peer_links::listen(std::string_view address) -> leaf::result<void>
{
    BOOST_LEAF_ASSIGN(m_listener, open_listener(m_loop, address));
    auto const accepted = [](evconnlistener*, evutil_socket_t socket,
                             sockaddr* remote, int size, void* self)
    {
        static_cast<peer_links*>(self)->accept(
            socket, {remote, static_cast<socklen_t>(size)});
    };
    evconnlistener_set_cb(m_listener.get(), accepted, this);
    auto const accept_failed = [](evconnlistener* listener, void* self)
    {
        evconnlistener_disable(listener);
        static_cast<peer_links*>(self)->m_accept_retry.start(
            accept_retry_interval);
    };
    evconnlistener_set_error_cb(m_listener.get(), accept_failed);
    return {};
}

auto peer_links::port() const -> std::uint16_t
{
    return m_listener ? bound_address(m_listener.get()).port() : 0;
}

auto peer_links::set_targets(std::span<std::string const> addresses) -> void
{
    auto removed = std::vector<link_id>{};
    for (auto const& [address, target] : m_targets)
    {
        if (std::ranges::find(addresses, address) == addresses.end())
            removed.push_back(target->m_link);
    }
    std::erase_if(m_targets,
                  [&](auto const& item)
                  {
                      return std::ranges::find(addresses, item.first) ==
                             addresses.end();
                  });
    for (auto const& address : addresses)
    {
        if (m_targets.contains(address))
            continue;
        auto target = std::unique_ptr<target_state>{
            new target_state{.m_address = address,
                             .m_backoff = m_settings.m_backoff_min,
                             .m_redial{m_loop, [this, address]
                                       {
                                           dial(address);
                                       }}}};
        target->m_redial.start(core::duration{0});
        m_targets.emplace(address, std::move(target));
    }
    for (auto const id : removed)
        fail(id, "no longer wanted");
}

auto peer_links::send(core::node_id to, core::message const& message) -> void
{
    if (m_by_node.contains(to))
        write(to, wire::encode(message));
}

auto peer_links::send(std::span<core::node_id const> to,
                      core::message const& message) -> void
{
    auto const body = wire::encode(message);
    for (auto const node : to)
        write(node, body);
}

auto peer_links::write(core::node_id to, std::string_view body) -> void
{
    auto const found = m_by_node.find(to);
    if (found == m_by_node.end())
        return;
    auto& link = *m_links.at(found->second)->m_link;
    // The peer would close the link, again after each retry.
    if (body.size() > m_settings.m_frame_limit)
    {
        return log(core::log_level::error, "message_lost",
                   m_links.at(found->second)->m_remote,
                   "message over the frame limit");
    }
    link.send_frame(body);
    m_links.at(found->second)->m_last_sent_at = m_loop.now();
    if (link.unsent() > m_settings.m_output_limit)
        return fail(found->second, "unsent bytes over the limit");
    // Counting all links for each message would cost too much. Links below this
    // share hold less than a quarter of the total together.
    if (link.unsent() > m_settings.m_total_output_limit / 4 / m_links.size())
        check_total_unsent();
}

auto peer_links::check_total_unsent() -> void
{
    if (unsent() <= m_settings.m_total_output_limit)
        return;
    auto const largest =
        std::ranges::max_element(m_links, {},
                                 [](auto const& item)
                                 {
                                     return item.second->m_link->unsent();
                                 });
    fail(largest->first, "unsent bytes of all links over the limit");
}

auto peer_links::set_cluster(std::uint64_t cluster) -> void
{
    m_settings.m_hello.m_cluster = cluster;
}

auto peer_links::unsent() const -> std::size_t
{
    auto total = std::size_t{0};
    for (auto const& [id, link] : m_links)
        total += link->m_link->unsent();
    return total;
}

auto peer_links::peer_connected() -> sigc::signal<void(core::hello const&)>&
{
    return m_peer_connected;
}

auto peer_links::peer_disconnected() -> sigc::signal<void(core::node_id)>&
{
    return m_peer_disconnected;
}

auto peer_links::message_received()
    -> sigc::signal<void(core::node_id, core::message const&)>&
{
    return m_message_received;
}

auto peer_links::line_logged() -> sigc::signal<void(core::log_line const&)>&
{
    return m_line_logged;
}

auto peer_links::accept(int socket, socket_address const& remote) -> void
{
    add_link(socket, remote.text(), false).m_link->start();
}

auto peer_links::dial(std::string const& address) -> void
{
    auto const found = m_targets.find(address);
    if (found == m_targets.end())
        return;
    auto& target = *found->second;
    if (target.m_link != 0 || target.m_is_self ||
        m_by_node.contains(target.m_node))
        return;
    auto const parsed = parse_address(address);
    if (!parsed)
    {
        return log(core::log_level::error, "link_failed", address,
                   "address is not of the form ip:port");
    }
    auto& link = add_link(-1, address, true);
    target.m_link = link.m_id;
    auto const source = m_settings.m_source_ip.empty()
                            ? std::nullopt
                            : parse_address(m_settings.m_source_ip + ":0");
    link.m_link->connect(*parsed, source ? &*source : nullptr);
}

auto peer_links::add_link(int socket, std::string remote, bool is_outgoing)
    -> link_state&
{
    auto const id = ++m_last_id;
    auto handlers = peer_link_handlers{.m_opened =
                                           [this, id]
                                       {
                                           opened(id);
                                       },
                                       .m_frame_received =
                                           [this, id](std::string_view body)
                                       {
                                           frame_received(id, body);
                                       },
                                       .m_failed =
                                           [this, id](std::string_view cause)
                                       {
                                           fail(id, cause);
                                       }};
    auto state = std::unique_ptr<link_state>{new link_state{
        .m_id = id,
        .m_remote = std::move(remote),
        .m_is_outgoing = is_outgoing,
        .m_link =
            std::make_unique<peer_link>(m_loop, socket, m_settings.m_tls.get(),
                                        hello_frame_limit, std::move(handlers)),
        .m_hello_timer{m_loop, [this, id]
                       {
                           fail(id, "no hello in time");
                       }}}};
    state->m_hello_timer.start(m_settings.m_hello_timeout);
    return *m_links.emplace(id, std::move(state)).first->second;
}

auto peer_links::opened(link_id id) -> void
{
    // The accepting side sends its hello second, so that it sends the secret to
    // authenticated peers only.
    auto& link = *m_links.at(id);
    if (link.m_is_outgoing)
        link.m_link->send_frame(wire::encode(m_settings.m_hello));
}

auto peer_links::frame_received(link_id id, std::string_view body) -> void
{
    auto& link = *m_links.at(id);
    link.m_last_received_at = m_loop.now();
    if (link.m_is_superseded || (link.m_peer && body.empty()))
        return;
    auto const decode = [body]() -> leaf::result<std::optional<core::message>>
    {
        BOOST_LEAF_AUTO(decoded, wire::decode_message(body));
        return std::optional{std::move(decoded)};
    };
    auto const report = [&](wire::decode_error const& failure)
    {
        fail(id, "undecodable message: " + failure.m_reason);
        return std::optional<core::message>{};
    };
    auto const report_unknown = [&]
    {
        fail(id, "undecodable message");
        return std::optional<core::message>{};
    };
    auto const message = leaf::try_handle_all(decode, report, report_unknown);
    if (!message)
        return;
    if (!link.m_peer)
        return hello_received(link, *message);
    if (std::holds_alternative<core::hello>(*message))
        return fail(id, "unexpected hello");
    m_message_received.emit(link.m_peer->m_node, *message);
}

auto peer_links::hello_received(link_state& link, core::message const& first)
    -> void
{
    auto const* const peer = std::get_if<core::hello>(&first);
    if (peer == nullptr)
        return fail(link.m_id, "first message is not a hello");
    if (auto const rejection = hello_rejection(m_settings.m_hello, *peer);
        !rejection.empty())
        return fail(link.m_id, rejection);
    if (!link.m_is_outgoing)
        link.m_link->send_frame(wire::encode(m_settings.m_hello));
    auto const target =
        m_targets.find(link.m_is_outgoing ? link.m_remote : peer->m_address);
    auto const is_self = peer->m_node == m_settings.m_hello.m_node;
    if (target != m_targets.end())
    {
        target->second->m_node = peer->m_node;
        target->second->m_is_self = is_self;
        target->second->m_backoff = m_settings.m_backoff_min;
        target->second->m_is_failure_logged = false;
    }
    if (is_self || !replace_older(link, peer->m_node))
    {
        // The side that opened the link closes it after reading the hello, from
        // which it learns that the link is redundant.
        if (is_self && link.m_is_outgoing)
            log(core::log_level::info, "link_closed", link.m_remote,
                "the peer has this process's node id");
        if (link.m_is_outgoing)
            close_link(link.m_id);
        link.m_is_superseded = true;
        return;
    }
    link.m_hello_timer.stop();
    link.m_link->set_frame_limit(m_settings.m_frame_limit);
    link.m_peer = *peer;
    link.m_ready_at = m_loop.now();
    link.m_last_sent_at = link.m_ready_at;
    m_by_node[peer->m_node] = link.m_id;
    m_peer_connected.emit(*peer);
}

auto peer_links::replace_older(link_state& link, core::node_id node) -> bool
{
    auto const found = m_by_node.find(node);
    if (found == m_by_node.end())
        return true;
    auto const& older = *m_links.at(found->second);
    auto const own = m_settings.m_hello.m_node;
    if (older.m_is_outgoing != link.m_is_outgoing &&
        m_loop.now() - older.m_ready_at < simultaneous_open_window &&
        (link.m_is_outgoing ? own : node) == std::max(own, node))
        return false;
    close_link(found->second);
    return true;
}

auto peer_links::fail(link_id id, std::string_view cause) -> void
{
    auto const found = m_links.find(id);
    if (found == m_links.end())
        return;
    auto& link = *found->second;
    auto const target = m_targets.find(link.m_remote);
    auto const is_repeated =
        link.m_is_outgoing && target != m_targets.end() &&
        std::exchange(target->second->m_is_failure_logged, true);
    if (!link.m_is_superseded)
    {
        log(is_repeated ? core::log_level::debug : core::log_level::warning,
            "link_closed", link.m_remote, cause);
    }
    close_link(id);
    auto const node = link.m_peer ? link.m_peer->m_node : core::no_node;
    auto const current = m_by_node.find(node);
    if (current == m_by_node.end() || current->second != id)
        return;
    m_by_node.erase(current);
    for (auto const& [address, other] : m_targets)
        schedule_dial(*other);
    m_peer_disconnected.emit(node);
}

auto peer_links::close_link(link_id id) -> void
{
    auto& link = *m_links.at(id);
    link.m_link->close();
    link.m_hello_timer.stop();
    m_cleanup.start(core::duration{0});
    if (link.m_is_outgoing)
        release_target(link);
}

auto peer_links::release_target(link_state const& link) -> void
{
    auto const target = m_targets.find(link.m_remote);
    if (target == m_targets.end() || target->second->m_link != link.m_id)
        return;
    target->second->m_link = 0;
    schedule_dial(*target->second);
}

auto peer_links::schedule_dial(target_state& target) -> void
{
    if (target.m_link != 0 || target.m_is_self || target.m_redial.is_running())
        return;
    auto jitter = std::uniform_int_distribution<core::duration::rep>{
        target.m_backoff.count() / 2, target.m_backoff.count()};
    target.m_redial.start(core::duration{jitter(m_random)});
    target.m_backoff = std::min(target.m_backoff * 2, m_settings.m_backoff_max);
}

auto peer_links::liveness_of(core::hello const& peer) const
    -> link_liveness const&
{
    auto const has_control = peer.m_role == core::role::control ||
                             m_settings.m_hello.m_role == core::role::control;
    return has_control ? m_settings.m_control_liveness
                       : m_settings.m_work_liveness;
}

auto peer_links::check_interval() const -> core::duration
{
    // Pings are late by at most half their interval.
    auto const work = m_settings.m_work_liveness.m_ping_interval / 2;
    auto const control = m_settings.m_control_liveness.m_ping_interval / 2;
    if (work == core::duration{0} ||
        m_settings.m_hello.m_role == core::role::control)
        return control;
    return control == core::duration{0} ? work : std::min(work, control);
}

auto peer_links::check_liveness() -> void
{
    auto const now = m_loop.now();
    auto const check_delay = now - m_checked_at - check_interval();
    m_checked_at = now;
    m_liveness_timer.start(check_interval());
    auto silent_links = std::vector<link_id>{};
    for (auto const& [id, link] : m_links)
    {
        if (!link->m_peer || link->m_link->is_closed())
            continue;
        auto const& limits = liveness_of(*link->m_peer);
        if (limits.m_ping_interval > core::duration{0} &&
            now - link->m_last_sent_at >= limits.m_ping_interval)
        {
            link->m_link->send_frame({});
            link->m_last_sent_at = now;
        }
        // If this process itself was paused, received data may still be unread
        // in the kernel.
        if (limits.m_receive_timeout > core::duration{0} &&
            now - link->m_last_received_at >= limits.m_receive_timeout &&
            check_delay < limits.m_receive_timeout / 2)
            silent_links.push_back(id);
    }
    for (auto const id : silent_links)
        fail(id, "silent");
}

auto peer_links::log(core::log_level level, std::string_view event,
                     std::string_view remote, std::string_view cause) -> void
{
    m_line_logged.emit(core::log_line{
        level,
        std::string{event},
        {{"remote", std::string{remote}}, {"cause", std::string{cause}}}});
}

} // namespace hickorylatch::net
