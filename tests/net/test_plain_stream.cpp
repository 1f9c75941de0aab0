#include "net/loop_runner.hpp"
#include "net/plain_stream.hpp"

#include <boost/leaf/handle_errors.hpp>
#include <boost/test/unit_test.hpp>

#include <sys/socket.h>

#include <array>
#include <memory>
#include <string>
#include <vector>

namespace leaf = boost::leaf;
namespace net = hickorylatch::net;

namespace
{

/// Two connected streams on one loop, and the events of the second one.
struct stream_pair
{
    stream_pair()
    {
        auto sockets = std::array<int, 2>{};
        BOOST_REQUIRE(socketpair(AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK, 0,
                                 sockets.data()) == 0);
        auto no_op_handlers = net::stream_handlers{
            [] {}, [](std::string_view) {}, [](std::string_view) {}};
        m_writer = std::make_unique<net::plain_stream>(m_loop, sockets[0],
                                                       no_op_handlers);
        auto handlers = net::stream_handlers{[] {},
                                             [this](std::string_view bytes)
                                             {
                                                 m_received.emplace_back(bytes);
                                                 if (m_closes_when_received)
                                                     m_reader->close();
                                             },
                                             [this](std::string_view cause)
                                             {
                                                 m_cause = cause;
                                             }};
        m_reader = std::make_unique<net::plain_stream>(m_loop, sockets[1],
                                                       std::move(handlers));
        m_writer->start();
        m_reader->start();
    }

    [[nodiscard]] auto received_size() const -> std::size_t
    {
        auto total = std::size_t{0};
        for (auto const& chunk : m_received)
            total += chunk.size();
        return total;
    }

    net::event_loop m_loop;
    std::unique_ptr<net::plain_stream> m_writer;
    std::unique_ptr<net::plain_stream> m_reader;
    std::vector<std::string> m_received;
    std::string m_cause;
    bool m_closes_when_received = false;
};

} // namespace

// Guards against a system call for each message, which would be most of the
// processor time of a process that sends thousands of small messages a second.
BOOST_AUTO_TEST_CASE(writes_of_one_loop_iteration_are_sent_together)
{
    auto pair = stream_pair{};
    for (auto const* word : {"one ", "two ", "three"})
        pair.m_writer->write(word);
    BOOST_TEST(run_until(pair.m_loop,
                         [&]
                         {
                             return !pair.m_received.empty();
                         }));
    BOOST_TEST(pair.m_received == std::vector<std::string>{"one two three"},
               boost::test_tools::per_element());
    BOOST_TEST(pair.m_writer->unsent() == 0U);
}

// Guards against bytes that are lost or reordered when the kernel accepts only
// a part of a write.
BOOST_AUTO_TEST_CASE(write_larger_than_the_socket_buffer_is_received_completely)
{
    auto pair = stream_pair{};
    auto sent = std::string{};
    for (auto number = 0; sent.size() < (std::size_t{4} << 20U); ++number)
        sent += std::to_string(number) + ",";
    pair.m_writer->write(sent);
    BOOST_TEST(run_until(pair.m_loop,
                         [&]
                         {
                             return pair.received_size() >= sent.size();
                         }));
    auto all = std::string{};
    for (auto const& chunk : pair.m_received)
        all += chunk;
    BOOST_TEST((all == sent));
}

// Guards against a stream that stays active after its handler has closed it.
BOOST_AUTO_TEST_CASE(handler_can_close_the_stream)
{
    auto pair = stream_pair{};
    pair.m_closes_when_received = true;
    pair.m_writer->write("bytes");
    BOOST_TEST(run_until(pair.m_loop,
                         [&]
                         {
                             return pair.m_reader->is_closed();
                         }));
    pair.m_reader->write("lost");
    BOOST_TEST(pair.m_reader->unsent() == 0U);
    // `m_failed` is not called after `close`.
    BOOST_TEST(pair.m_cause.empty());
}

// Guards against a link that stays open after its peer has closed it.
BOOST_AUTO_TEST_CASE(close_by_the_peer_is_reported)
{
    auto pair = stream_pair{};
    pair.m_writer->close();
    BOOST_TEST(run_until(pair.m_loop,
                         [&]
                         {
                             return !pair.m_cause.empty();
                         }));
    BOOST_TEST(pair.m_cause == "closed by the peer");
}

// Guards against a refused connection that is never reported.
BOOST_AUTO_TEST_CASE(refused_connection_is_reported)
{
    auto loop = net::event_loop{};
    auto cause = std::string{};
    auto handlers = net::stream_handlers{[] {}, [](std::string_view) {},
                                         [&](std::string_view why)
                                         {
                                             cause = why;
                                         }};
    auto stream = net::plain_stream{loop, -1, std::move(handlers)};
    leaf::try_handle_all(
        [&]() -> leaf::result<void>
        {
            // Nothing listens on port 1.
            BOOST_LEAF_AUTO(address, net::socket_address::parse("127.0.0.1:1"));
            stream.connect(address, nullptr);
            return {};
        },
        []
        {
            BOOST_FAIL("the address is valid");
        });
    BOOST_TEST(run_until(loop,
                         [&]
                         {
                             return !cause.empty();
                         }));
    BOOST_TEST(cause == "Connection refused");
    BOOST_TEST(stream.is_closed());
}
