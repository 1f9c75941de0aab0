#ifndef HICKORYLATCH_HICKORYLATCH_OPERATOR_CLIENT_HPP
#define HICKORYLATCH_HICKORYLATCH_OPERATOR_CLIENT_HPP

#include "net/event_loop.hpp"
#include "net/http_client.hpp"

#include <string>
#include <string_view>

namespace hickorylatch::program
{

/// Calls the operators' API of one process and waits for each answer.
class operator_client
{
public:
    /// `timeout` bounds the wait for each answer.
    operator_client(net::socket_address address, core::duration timeout);

    [[nodiscard]] auto get(std::string_view path) -> net::http_result;
    [[nodiscard]] auto post(std::string_view path, std::string_view body)
        -> net::http_result;

private:
    [[nodiscard]] auto call(net::http_call const& request) -> net::http_result;

    net::event_loop m_loop;
    net::http_client m_client;
    core::duration m_timeout;
};

} // namespace hickorylatch::program

#endif
