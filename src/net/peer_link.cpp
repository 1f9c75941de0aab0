#include "net/peer_link.hpp"

#include "net/error.hpp"

#include <boost/leaf/handle_errors.hpp>

#include <new>
#include <optional>
#include <string>
#include <utility>

namespace hickorylatch::net
{

namespace leaf = boost::leaf;

peer_link::peer_link(event_loop& loop, int socket, tls_context const* tls,
                     std::size_t frame_limit, peer_link_handlers handlers)
    : m_frames{frame_limit},
      m_handlers{std::move(handlers)}, m_stream{open_stream(loop, socket, tls)}
{
}

auto peer_link::open_stream(event_loop& loop, int socket,
                            tls_context const* tls) -> stream
{
    auto handlers = stream_handlers{
        .m_opened =
            [this]
        {
            m_handlers.m_opened();
        },
        .m_received =
            [this](std::string_view bytes)
        {
            received(bytes);
        },
        .m_failed =
            [this](std::string_view cause)
        {
            m_handlers.m_failed(m_frames.pending() == 0
                                    ? std::string{cause}
                                    : std::string{cause} + " in a frame");
        }};
    if (tls == nullptr)
        return std::make_unique<plain_stream>(loop, socket,
                                              std::move(handlers));
    auto connection = tls->open(loop, socket);
    if (!connection)
        throw std::bad_alloc{};
    return std::make_unique<tls_stream>(std::move(connection),
                                        std::move(handlers));
}

auto peer_link::connect(socket_address const& address,
                        socket_address const* source) -> void
{
    std::visit(
        [&](auto& stream)
        {
            stream->connect(address, source);
        },
        m_stream);
}

auto peer_link::start() -> void
{
    std::visit(
        [](auto& stream)
        {
            stream->start();
        },
        m_stream);
}

auto peer_link::set_frame_limit(std::size_t limit) -> void
{
    m_frames.set_limit(limit);
}

auto peer_link::send_frame(std::string_view body) -> void
{
    auto const header = frame_header(body.size());
    std::visit(
        [&](auto& stream)
        {
            stream->write({header.data(), header.size()});
            stream->write(body);
        },
        m_stream);
}

auto peer_link::unsent() const -> std::size_t
{
    return std::visit(
        [](auto const& stream)
        {
            return stream->unsent();
        },
        m_stream);
}

auto peer_link::close() -> void
{
    std::visit(
        [](auto& stream)
        {
            stream->close();
        },
        m_stream);
}

auto peer_link::is_closed() const -> bool
{
    return std::visit(
        [](auto const& stream)
        {
            return stream->is_closed();
        },
        m_stream);
}

auto peer_link::received(std::string_view bytes) -> void
{
    m_frames.append(bytes);
    auto const next_frame = [this]
    {
        return m_frames.next();
    };
    auto const report = [this](error const& failure)
    {
        close();
        m_handlers.m_failed(failure.m_text);
        return std::optional<std::string_view>{};
    };
    auto const report_unknown = []
    {
        return std::optional<std::string_view>{};
    };
    while (!is_closed())
    {
        auto const body =
            leaf::try_handle_all(next_frame, report, report_unknown);
        if (!body)
            return;
        m_handlers.m_frame_received(*body);
    }
}

} // namespace hickorylatch::net
