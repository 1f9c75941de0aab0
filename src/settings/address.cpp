#include "settings/address.hpp"

#include <arpa/inet.h>
#include <netinet/in.h>

#include <array>
#include <charconv>

namespace hickorylatch::settings
{

namespace
{

auto parse_port(std::string_view text) -> std::optional<std::uint16_t>
{
    auto port = std::uint16_t{0};
    auto const* const end = text.data() + text.size();
    auto const [stopped, error] = std::from_chars(text.data(), end, port);
    if (text.empty() || error != std::errc{} || stopped != end)
        return std::nullopt;
    return port;
}

auto is_ip(int family, std::string const& text) -> bool
{
    auto binary = std::array<unsigned char, sizeof(in6_addr)>{};
    return inet_pton(family, text.c_str(), binary.data()) == 1;
}

} // namespace

auto parse_address(std::string_view text) -> std::optional<address>
{
    auto const colon = text.rfind(':');
    if (colon == std::string_view::npos)
        return std::nullopt;
    auto const port = parse_port(text.substr(colon + 1));
    if (!port)
        return std::nullopt;
    auto host = text.substr(0, colon);
    if (host.size() > 2 && host.front() == '[' && host.back() == ']')
    {
        auto const ip = std::string{host.substr(1, host.size() - 2)};
        if (!is_ip(AF_INET6, ip))
            return std::nullopt;
        return address{ip, *port};
    }
    auto const ip = std::string{host};
    if (!is_ip(AF_INET, ip))
        return std::nullopt;
    return address{ip, *port};
}

auto is_loopback(address const& tested) -> bool
{
    if (tested.m_ip.find(':') == std::string::npos)
        return tested.m_ip.starts_with("127.");
    auto binary = in6_addr{};
    return inet_pton(AF_INET6, tested.m_ip.c_str(), &binary) == 1 &&
           IN6_IS_ADDR_LOOPBACK(&binary);
}

} // namespace hickorylatch::settings
