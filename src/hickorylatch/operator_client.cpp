#include "hickorylatch/operator_client.hpp"

#include <utility>

namespace hickorylatch::program
{

operator_client::operator_client(net::socket_address address,
                                 core::duration timeout)
    : m_client{m_loop, address, {}}, m_timeout{timeout}
{
}

auto operator_client::get(std::string_view path) -> net::http_result
{
    return call({"GET", std::string{path}, {}, {}, m_timeout});
}

auto operator_client::post(std::string_view path, std::string_view body)
    -> net::http_result
{
    return call({"POST",
                 std::string{path},
                 {{"Content-Type", "application/json"}},
                 std::string{body},
                 m_timeout});
}

auto operator_client::call(net::http_call const& request) -> net::http_result
{
    auto answer = net::http_result{};
    m_client.start(request,
                   [&](net::http_result result)
                   {
                       answer = std::move(result);
                       m_loop.stop();
                   });
    m_loop.run();
    return answer;
}

} // namespace hickorylatch::program
