#include "net/error.hpp"
#include "net/frame_buffer.hpp"
#include "net/loop_runner.hpp"
#include "net/peer_links.hpp"
#include "net/raw_socket.hpp"
#include "wire/codec.hpp"

#include <boost/leaf/handle_errors.hpp>
#include <boost/test/unit_test.hpp>

#include <memory>
#include <string>
#include <vector>

namespace core = hickorylatch::core;
namespace leaf = boost::leaf;
namespace net = hickorylatch::net;
namespace wire = hickorylatch::wire;

namespace
{

auto make_settings(std::uint64_t node) -> net::peer_links_settings
{
    auto result = net::peer_links_settings{};
    result.m_hello.m_node = core::node_id{node};
    result.m_hello.m_secret = "secret";
    return result;
}

/// Peer links that record the events they report.
struct node
{
    explicit node(net::event_loop& loop, net::peer_links_settings settings)
        : m_links{loop, std::move(settings)}
    {
        m_links.peer_connected().connect(
            [this](core::hello const& peer)
            {
                m_connected.push_back(peer.m_node);
            });
        m_links.peer_disconnected().connect(
            [this](core::node_id peer)
            {
                m_disconnected.push_back(peer);
            });
        m_links.message_received().connect(
            [this](core::node_id, core::message const& message)
            {
                m_received.push_back(
                    std::get<core::cancel>(message).m_sequence);
            });
        m_links.line_logged().connect(
            [this](core::log_line const& line)
            {
                m_causes.push_back(line.m_fields.at(1).second);
            });
        leaf::try_handle_all(
            [&]
            {
                return m_links.listen("127.0.0.1:0");
            },
            []
            {
                BOOST_FAIL("cannot listen");
            });
    }

    auto address() const -> std::string
    {
        return "127.0.0.1:" + std::to_string(m_links.port());
    }

    auto set_targets(std::vector<std::string> const& addresses) -> void
    {
        m_links.set_targets(addresses);
    }

    std::vector<core::node_id> m_connected;
    std::vector<core::node_id> m_disconnected;
    std::vector<std::uint64_t> m_received;
    std::vector<std::string> m_causes;
    net::peer_links m_links;
};

auto until_size(net::event_loop& loop, auto const& items, std::size_t size)
    -> bool
{
    return run_until(loop,
                     [&]
                     {
                         return items.size() == size;
                     });
}

auto frame(core::message const& message) -> std::string
{
    auto const body = wire::encode(message);
    auto const header = net::frame_header(body.size());
    return std::string{header.data(), header.size()} + body;
}

/// Sends bytes on a new connection and returns the logged cause of its closing.
auto cause_of_close(std::string_view bytes, bool is_closed_by_client = false)
    -> std::string
{
    auto loop = net::event_loop{};
    auto server = node{loop, make_settings(1)};
    auto client = raw_socket{server.m_links.port()};
    client.send(bytes);
    if (is_closed_by_client)
        client.close();
    BOOST_TEST(run_until(loop,
                         [&]
                         {
                             return !server.m_causes.empty();
                         }));
    BOOST_TEST(server.m_connected.empty());
    BOOST_TEST(server.m_causes.size() == 1U);
    return server.m_causes.empty() ? "" : server.m_causes.front();
}

} // namespace

// Guards against lost or misrouted messages between connected nodes.
BOOST_AUTO_TEST_CASE(messages_are_delivered_in_both_directions)
{
    auto loop = net::event_loop{};
    auto server = node{loop, make_settings(1)};
    auto client = node{loop, make_settings(2)};
    client.set_targets({server.address()});
    BOOST_TEST(run_until(loop,
                         [&]
                         {
                             return !server.m_connected.empty() &&
                                    !client.m_connected.empty();
                         }));
    for (auto number = std::uint64_t{1}; number <= 100; ++number)
    {
        client.m_links.send(core::node_id{1}, core::cancel{number});
        server.m_links.send(core::node_id{2}, core::cancel{number});
    }
    client.m_links.send(core::node_id{9}, core::cancel{1});
    BOOST_TEST(run_until(loop,
                         [&]
                         {
                             return server.m_received.size() == 100 &&
                                    client.m_received.size() == 100;
                         }));
    BOOST_TEST(server.m_received.back() == 100U);
}

// Guards against a link that is not opened again after its peer restarts.
BOOST_AUTO_TEST_CASE(broken_link_is_reported_and_reconnected)
{
    auto loop = net::event_loop{};
    auto client = node{loop, make_settings(2)};
    auto server = std::make_unique<node>(loop, make_settings(1));
    auto const address = server->address();
    client.set_targets({address});
    BOOST_TEST(run_until(loop,
                         [&]
                         {
                             return !client.m_connected.empty();
                         }));
    server.reset();
    BOOST_TEST(run_until(loop,
                         [&]
                         {
                             return !client.m_disconnected.empty();
                         }));
    auto restarted = net::peer_links{loop, make_settings(3)};
    leaf::try_handle_all(
        [&]
        {
            return restarted.listen(address);
        },
        []
        {
            BOOST_FAIL("cannot listen");
        });
    BOOST_TEST(run_until(loop,
                         [&]
                         {
                             return client.m_connected.size() == 2U;
                         }));
    BOOST_TEST((client.m_connected.back() == core::node_id{3}));
}

// Guards against two nodes that connect to each other at the same time and each
// close the link that the other one uses.
BOOST_AUTO_TEST_CASE(simultaneously_opened_links_leave_one_in_use)
{
    auto loop = net::event_loop{};
    auto first = node{loop, make_settings(1)};
    auto second = node{loop, make_settings(2)};
    first.set_targets({first.address(), second.address()});
    second.set_targets({first.address(), second.address()});
    auto sent = std::uint64_t{0};
    auto const exchanged = [&]
    {
        first.m_links.send(core::node_id{2}, core::cancel{++sent});
        second.m_links.send(core::node_id{1}, core::cancel{sent});
        return first.m_received.size() > 20 && second.m_received.size() > 20;
    };
    BOOST_TEST(run_until(loop, exchanged));
    BOOST_TEST(first.m_disconnected.empty());
    BOOST_TEST(second.m_disconnected.empty());
}

// Guards against an old link that prevents a restarted peer from connecting,
// and against a disconnect reported for a node that is still connected.
BOOST_AUTO_TEST_CASE(newer_link_replaces_the_older_one)
{
    auto loop = net::event_loop{};
    auto server = node{loop, make_settings(1)};
    auto const hello = frame(make_settings(2).m_hello);
    auto older = raw_socket{server.m_links.port()};
    older.send(hello);
    BOOST_TEST(run_until(loop,
                         [&]
                         {
                             return server.m_connected.size() == 1U;
                         }));
    auto newer = raw_socket{server.m_links.port()};
    newer.send(hello + frame(core::cancel{7}));
    BOOST_TEST(run_until(loop,
                         [&]
                         {
                             return !server.m_received.empty();
                         }));
    BOOST_TEST(run_until(loop,
                         [&]
                         {
                             older.poll();
                             return older.is_closed();
                         }));
    BOOST_TEST(server.m_connected.size() == 2U);
    BOOST_TEST(server.m_disconnected.empty());
    newer.close();
    BOOST_TEST(run_until(loop,
                         [&]
                         {
                             return !server.m_disconnected.empty();
                         }));
}

// Guards against unauthenticated or faulty peers that are accepted.
BOOST_AUTO_TEST_CASE(invalid_first_frame_closes_the_link_with_one_log_line)
{
    auto wrong_hello = make_settings(2).m_hello;
    wrong_hello.m_secret = "guess";
    BOOST_TEST(cause_of_close(frame(wrong_hello)) == "wrong secret");
    BOOST_TEST(cause_of_close(frame(core::cancel{1})) ==
               "first message is not a hello");
    auto const body = std::string{"\0\0\0\x05xxxxx", 9};
    BOOST_TEST(cause_of_close(body).starts_with("undecodable message"));
    BOOST_TEST(cause_of_close("GET / HTTP/1.1\r\n\r\n")
                   .ends_with("over the limit of 65536"));
    BOOST_TEST(cause_of_close(body.substr(0, 6), true) ==
               "closed by the peer in a frame");
}

// Guards against accepting a node of another control group, and against a group
// id that has no effect because it is set after the start.
BOOST_AUTO_TEST_CASE(node_of_another_cluster_is_rejected)
{
    auto loop = net::event_loop{};
    auto server = node{loop, make_settings(1)};
    auto client = node{loop, make_settings(2)};
    client.m_links.set_cluster(5);
    server.m_links.set_cluster(6);
    client.set_targets({server.address()});
    BOOST_TEST(run_until(loop,
                         [&]
                         {
                             return !server.m_causes.empty();
                         }));
    BOOST_TEST(server.m_causes.front() == "wrong cluster");
    server.m_links.set_cluster(0);
    BOOST_TEST(run_until(loop,
                         [&]
                         {
                             return !server.m_connected.empty();
                         }));
}

// Guards against a connection without a hello that stays open forever.
BOOST_AUTO_TEST_CASE(missing_hello_times_out)
{
    auto loop = net::event_loop{};
    auto node_settings = make_settings(1);
    node_settings.m_hello_timeout = std::chrono::milliseconds{30};
    auto server = node{loop, node_settings};
    auto const silent = raw_socket{server.m_links.port()};
    BOOST_TEST(run_until(loop,
                         [&]
                         {
                             return !server.m_causes.empty();
                         }));
    BOOST_TEST(server.m_causes.front() == "no hello in time");
}

// Guards against a link that stays open after its VM was lost: no new link to
// the address would be opened until the kernel's timeout.
BOOST_AUTO_TEST_CASE(silent_link_is_closed)
{
    auto loop = net::event_loop{};
    auto node_settings = make_settings(1);
    node_settings.m_work_liveness = {std::chrono::milliseconds{10},
                                     std::chrono::milliseconds{40}};
    auto server = node{loop, node_settings};
    auto silent = raw_socket{server.m_links.port()};
    silent.send(frame(make_settings(2).m_hello));
    BOOST_TEST(run_until(loop,
                         [&]
                         {
                             return !server.m_disconnected.empty();
                         }));
    BOOST_TEST(server.m_causes.back() == "silent");
}

// Guards against pings that do not reset the receive timeout, and against pings
// that are handled as messages.
BOOST_AUTO_TEST_CASE(pings_keep_an_idle_link_open)
{
    auto loop = net::event_loop{};
    auto node_settings = make_settings(1);
    node_settings.m_work_liveness = {std::chrono::milliseconds{10},
                                     std::chrono::milliseconds{200}};
    auto server = node{loop, node_settings};
    node_settings.m_hello.m_node = core::node_id{2};
    auto client = node{loop, node_settings};
    client.set_targets({server.address()});
    BOOST_TEST(until_size(loop, server.m_connected, 1));
    auto const until = loop.now() + std::chrono::milliseconds{500};
    run_until(loop,
              [&]
              {
                  return loop.now() >= until;
              });
    BOOST_TEST(server.m_disconnected.empty());
    BOOST_TEST(client.m_disconnected.empty());
    BOOST_TEST(server.m_received.empty());
}

// Guards against unlimited buffering for a peer that does not read.
BOOST_AUTO_TEST_CASE(link_over_its_output_limit_is_closed)
{
    auto loop = net::event_loop{};
    auto node_settings = make_settings(1);
    node_settings.m_output_limit = 1'000;
    node_settings.m_frame_limit = 3'000;
    auto server = node{loop, node_settings};
    auto peer = raw_socket{server.m_links.port()};
    peer.send(frame(make_settings(2).m_hello));
    BOOST_TEST(run_until(loop,
                         [&]
                         {
                             return !server.m_connected.empty();
                         }));
    auto const too_large =
        core::install_snapshot{.m_data = std::string(4'000, 'x')};
    server.m_links.send(core::node_id{2}, too_large);
    BOOST_TEST(server.m_disconnected.empty());
    auto const large =
        core::install_snapshot{.m_data = std::string(2'000, 'x')};
    server.m_links.send(core::node_id{2}, large);
    BOOST_TEST(server.m_disconnected.size() == 1U);
    BOOST_TEST(server.m_causes.size() == 2U);
}

// Guards against links that together exceed the memory of the process although
// each is within its limit.
BOOST_AUTO_TEST_CASE(links_over_their_common_limit_lose_the_largest)
{
    auto loop = net::event_loop{};
    auto node_settings = make_settings(1);
    node_settings.m_output_limit = 4'000;
    node_settings.m_total_output_limit = 5'000;
    auto server = node{loop, node_settings};
    auto first = raw_socket{server.m_links.port()};
    first.send(frame(make_settings(2).m_hello));
    auto second = raw_socket{server.m_links.port()};
    second.send(frame(make_settings(3).m_hello));
    BOOST_TEST(run_until(loop,
                         [&]
                         {
                             return server.m_connected.size() == 2U;
                         }));
    auto const large =
        core::install_snapshot{.m_data = std::string(3'500, 'x')};
    auto const small =
        core::install_snapshot{.m_data = std::string(2'000, 'x')};
    server.m_links.send(core::node_id{2}, large);
    BOOST_TEST(server.m_disconnected.empty());
    server.m_links.send(core::node_id{3}, small);
    BOOST_TEST(server.m_disconnected.size() == 1U);
    BOOST_TEST((server.m_disconnected.front() == core::node_id{2}));
}

// Guards against an unclear error message when a port is in use.
BOOST_AUTO_TEST_CASE(listen_error_contains_the_address)
{
    auto loop = net::event_loop{};
    auto const server = node{loop, make_settings(1)};
    auto other = net::peer_links{loop, make_settings(2)};
    auto const text = leaf::try_handle_all(
        [&]() -> leaf::result<std::string>
        {
            BOOST_LEAF_CHECK(other.listen(server.address()));
            return std::string{};
        },
        [](net::error const& failure)
        {
            return failure.m_text;
        },
        []
        {
            return std::string{};
        });
    BOOST_TEST(text == "cannot listen on " + server.address() +
                           ": Address already in use");
}

// Guards against a message to several nodes that reaches only some of them,
// for example because one of them is not connected.
BOOST_AUTO_TEST_CASE(message_to_several_nodes_reaches_each_connected_one)
{
    auto loop = net::event_loop{};
    auto first = node{loop, make_settings(1)};
    auto second = node{loop, make_settings(2)};
    auto third = node{loop, make_settings(3)};
    first.set_targets({second.address(), third.address()});
    BOOST_REQUIRE(until_size(loop, first.m_connected, 2));
    first.m_links.send(
        std::vector{core::node_id{2}, core::node_id{9}, core::node_id{3}},
        core::cancel{7});
    BOOST_TEST(until_size(loop, second.m_received, 1));
    BOOST_TEST(until_size(loop, third.m_received, 1));
}
