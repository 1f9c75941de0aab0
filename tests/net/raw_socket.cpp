#include "net/raw_socket.hpp"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <stdexcept>
#include <utility>

raw_socket::raw_socket(std::uint16_t port)
    : m_socket{::socket(AF_INET, SOCK_STREAM, 0)}
{
    auto address = sockaddr_in{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    if (::connect(m_socket, reinterpret_cast<sockaddr*>(&address),
                  sizeof address) != 0)
        throw std::runtime_error{"connect failed"};
}

raw_socket::~raw_socket()
{
    close();
}

auto raw_socket::send(std::string_view bytes) -> void
{
    while (!bytes.empty())
    {
        auto const sent =
            ::send(m_socket, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        if (sent < 0)
            return;
        bytes.remove_prefix(static_cast<std::size_t>(sent));
    }
}

auto raw_socket::poll() -> void
{
    auto bytes = std::array<char, 4096>{};
    auto size = ::recv(m_socket, bytes.data(), bytes.size(), MSG_DONTWAIT);
    for (; size > 0;
         size = ::recv(m_socket, bytes.data(), bytes.size(), MSG_DONTWAIT))
        m_received.append(bytes.data(), static_cast<std::size_t>(size));
    if (size == 0 || (errno != EAGAIN && errno != EWOULDBLOCK))
        m_is_closed = true;
}

auto raw_socket::close() -> void
{
    if (auto const socket = std::exchange(m_socket, -1); socket >= 0)
        ::close(socket);
}

auto raw_socket::reset() -> void
{
    auto const zero_linger = linger{1, 0};
    ::setsockopt(m_socket, SOL_SOCKET, SO_LINGER, &zero_linger,
                 sizeof zero_linger);
    close();
}

auto raw_socket::received() const -> std::string const&
{
    return m_received;
}

auto raw_socket::is_closed() const -> bool
{
    return m_is_closed;
}
