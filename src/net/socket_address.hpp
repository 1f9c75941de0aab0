#ifndef HICKORYLATCH_NET_SOCKET_ADDRESS_HPP
#define HICKORYLATCH_NET_SOCKET_ADDRESS_HPP

#include <boost/leaf/result.hpp>

#include <sys/socket.h>

#include <cstdint>
#include <string>
#include <string_view>

namespace hickorylatch::net
{

/// An IP address and a port. Host names are not resolved.
class socket_address
{
public:
    socket_address() = default;
    socket_address(sockaddr const* address, socklen_t size);

    /// Parses "127.0.0.1:80" or "[::1]:80". Port 0 lets the kernel choose when
    /// listening. Fails with a `net::error` on any other form.
    [[nodiscard]] static auto parse(std::string_view text)
        -> boost::leaf::result<socket_address>;
    /// The local address of a bound socket; port 0 if it has none.
    [[nodiscard]] static auto of_socket(int socket) -> socket_address;

    [[nodiscard]] auto data() const -> sockaddr const*;
    [[nodiscard]] auto size() const -> socklen_t;
    [[nodiscard]] auto host() const -> std::string;
    [[nodiscard]] auto port() const -> std::uint16_t;
    /// Host and port, in the format that `parse` accepts.
    [[nodiscard]] auto text() const -> std::string;

private:
    sockaddr_storage m_storage{};
    socklen_t m_size = 0;
};

} // namespace hickorylatch::net

#endif
