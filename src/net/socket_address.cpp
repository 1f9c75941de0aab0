#include "net/socket_address.hpp"

#include "net/error.hpp"

#include <boost/leaf/error.hpp>

#include <arpa/inet.h>
#include <netinet/in.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <cstring>
#include <system_error>

namespace hickorylatch::net
{

namespace leaf = boost::leaf;

socket_address::socket_address(sockaddr const* address, socklen_t size)
    : m_size{std::min<socklen_t>(size, sizeof m_storage)}
{
    std::memcpy(&m_storage, address, m_size);
}

auto socket_address::parse(std::string_view text)
    -> leaf::result<socket_address>
{
    auto const malformed = [text]
    {
        return leaf::new_error(error{"address \"" + std::string{text} +
                                     "\" is not of the form ip:port"});
    };
    auto const colon = text.rfind(':');
    if (colon == std::string_view::npos)
        return malformed();
    auto const host = text.substr(0, colon);
    auto const digits = text.substr(colon + 1);
    auto port = std::uint16_t{0};
    auto const parsed =
        std::from_chars(digits.data(), digits.data() + digits.size(), port);
    if (parsed.ec != std::errc{} || parsed.ptr != digits.data() + digits.size())
        return malformed();
    auto address = socket_address{};
    if (host.starts_with('[') && host.ends_with(']'))
    {
        auto& v6 = reinterpret_cast<sockaddr_in6&>(address.m_storage);
        v6.sin6_family = AF_INET6;
        v6.sin6_port = htons(port);
        address.m_size = sizeof v6;
        auto const inner = std::string{host.substr(1, host.size() - 2)};
        if (inet_pton(AF_INET6, inner.c_str(), &v6.sin6_addr) != 1)
            return malformed();
        return address;
    }
    auto& v4 = reinterpret_cast<sockaddr_in&>(address.m_storage);
    v4.sin_family = AF_INET;
    v4.sin_port = htons(port);
    address.m_size = sizeof v4;
    if (inet_pton(AF_INET, std::string{host}.c_str(), &v4.sin_addr) != 1)
        return malformed();
    return address;
}

auto socket_address::of_socket(int socket) -> socket_address
{
    auto address = socket_address{};
    auto size = static_cast<socklen_t>(sizeof address.m_storage);
    auto* const storage = reinterpret_cast<sockaddr*>(&address.m_storage);
    if (getsockname(socket, storage, &size) == 0)
        address.m_size = size;
    return address;
}

auto socket_address::data() const -> sockaddr const*
{
    return reinterpret_cast<sockaddr const*>(&m_storage);
}

auto socket_address::size() const -> socklen_t
{
    return m_size;
}

auto socket_address::host() const -> std::string
{
    auto text = std::array<char, INET6_ADDRSTRLEN>{};
    auto const* address = static_cast<void const*>(
        &reinterpret_cast<sockaddr_in const*>(&m_storage)->sin_addr);
    if (m_storage.ss_family == AF_INET6)
        address = &reinterpret_cast<sockaddr_in6 const*>(&m_storage)->sin6_addr;
    if (inet_ntop(m_storage.ss_family, address, text.data(), text.size()) ==
        nullptr)
        return {};
    return text.data();
}

auto socket_address::port() const -> std::uint16_t
{
    if (m_storage.ss_family == AF_INET6)
        return ntohs(
            reinterpret_cast<sockaddr_in6 const*>(&m_storage)->sin6_port);
    return ntohs(reinterpret_cast<sockaddr_in const*>(&m_storage)->sin_port);
}

auto socket_address::text() const -> std::string
{
    auto const port_text = ":" + std::to_string(port());
    if (m_storage.ss_family == AF_INET6)
        return "[" + host() + "]" + port_text;
    return host() + port_text;
}

} // namespace hickorylatch::net
