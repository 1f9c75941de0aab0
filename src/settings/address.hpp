#ifndef HICKORYLATCH_SETTINGS_ADDRESS_HPP
#define HICKORYLATCH_SETTINGS_ADDRESS_HPP

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace hickorylatch::settings
{

/// A numeric IP address and a TCP port.
struct address
{
    /// IPv4 or IPv6 address without brackets.
    std::string m_ip;
    std::uint16_t m_port = 0;

    auto operator==(address const&) const -> bool = default;
};

/// Parses an address such as "127.0.0.1:8080" or "[::1]:8080". Empty if the
/// text has another form; host names are not resolved.
[[nodiscard]] auto parse_address(std::string_view text)
    -> std::optional<address>;

/// True for 127.0.0.0/8 and ::1.
[[nodiscard]] auto is_loopback(address const& tested) -> bool;

} // namespace hickorylatch::settings

#endif
