#include "net/socket_address.hpp"

#include "net/error.hpp"
#include "settings/address.hpp"

#include <boost/leaf/error.hpp>

#include <arpa/inet.h>
#include <netinet/in.h>

#include <algorithm>
#include <array>
#include <cstring>

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
    auto const parsed = settings::parse_address(text);
    if (!parsed)
    {
        return leaf::new_error(error{"address \"" + std::string{text} +
                                     "\" is not of the form ip:port"});
    }
    auto address = socket_address{};
    auto& v6 = reinterpret_cast<sockaddr_in6&>(address.m_storage);
    if (inet_pton(AF_INET6, parsed->m_ip.c_str(), &v6.sin6_addr) == 1)
    {
        v6.sin6_family = AF_INET6;
        v6.sin6_port = htons(parsed->m_port);
        address.m_size = sizeof v6;
        return address;
    }
    auto& v4 = reinterpret_cast<sockaddr_in&>(address.m_storage);
    inet_pton(AF_INET, parsed->m_ip.c_str(), &v4.sin_addr);
    v4.sin_family = AF_INET;
    v4.sin_port = htons(parsed->m_port);
    address.m_size = sizeof v4;
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
    auto const is_v6 = m_storage.ss_family == AF_INET6;
    auto text = std::string{is_v6 ? "[" : ""};
    text += host();
    text += is_v6 ? "]:" : ":";
    return text + std::to_string(port());
}

} // namespace hickorylatch::net
