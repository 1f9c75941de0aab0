#ifndef HICKORYLATCH_TESTS_NET_RAW_SOCKET_HPP
#define HICKORYLATCH_TESTS_NET_RAW_SOCKET_HPP

#include <cstdint>
#include <string>
#include <string_view>

/// A blocking TCP client on loopback that sends arbitrary bytes.
class raw_socket
{
public:
    explicit raw_socket(std::uint16_t port);
    raw_socket(raw_socket const&) = delete;
    auto operator=(raw_socket const&) -> raw_socket& = delete;
    ~raw_socket();

    auto send(std::string_view bytes) -> void;
    /// Reads the available bytes without blocking.
    auto poll() -> void;
    auto close() -> void;
    /// Closes with a reset (RST), like a host that has restarted.
    auto reset() -> void;
    auto received() const -> std::string const&;
    /// The peer closed or reset the connection.
    auto is_closed() const -> bool;

private:
    int m_socket;
    std::string m_received;
    bool m_is_closed = false;
};

#endif
