#ifndef HICKORYLATCH_NET_HTTP_MESSAGE_HPP
#define HICKORYLATCH_NET_HTTP_MESSAGE_HPP

#include "core/model/event.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace hickorylatch::net
{

/// Names and values in order of appearance.
using http_headers = std::vector<std::pair<std::string, std::string>>;

/// The first value of a header. Names are case-insensitive. Valid as long as
/// the headers are.
[[nodiscard]] auto find_header(http_headers const& headers,
                               std::string_view name)
    -> std::optional<std::string_view>;

/// A request received by a server.
struct http_request
{
    core::exchange_id m_exchange = 0;
    /// In upper case, such as "POST".
    std::string m_method;
    /// Path without percent-decoding.
    std::string m_path;
    /// Query string without percent-decoding; empty if there is none.
    std::string m_query;
    http_headers m_headers;
    std::string m_body;
    /// Remote address as ip:port.
    std::string m_remote;
    /// This is the first request on its connection.
    bool m_is_first_on_connection = false;
};

/// A complete answer received by a client.
struct http_answer
{
    std::uint16_t m_status = 0;
    http_headers m_headers;
    std::string m_body;
};

} // namespace hickorylatch::net

#endif
