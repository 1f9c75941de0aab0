#ifndef HICKORYLATCH_PLATFORM_WORKER_API_HPP
#define HICKORYLATCH_PLATFORM_WORKER_API_HPP

#include "net/http_client.hpp"
#include "net/http_message.hpp"
#include "net/http_server.hpp"
#include "net/socket_address.hpp"
#include "process/process.hpp"

#include <boost/leaf/result.hpp>

#include <cstddef>
#include <memory>
#include <string_view>

namespace hickorylatch::platform
{

struct worker_reply;

/// The worker's answer to an order, from the HTTP result of the call and the
/// parsed body of the response.
[[nodiscard]] auto to_answer(net::http_result const& result,
                             worker_reply const& reply) -> core::worker_answer;

/// HTTP in both directions between an agent and its worker: receives the
/// worker's reports and sends orders and polls to it.
class worker_api
{
public:
    /// Errors: `net::error`.
    [[nodiscard]] static auto open(process::process& target,
                                   std::string_view reports_address,
                                   std::string_view worker_address)
        -> boost::leaf::result<std::unique_ptr<worker_api>>;

    worker_api(worker_api const&) = delete;
    auto operator=(worker_api const&) -> worker_api& = delete;

private:
    worker_api(process::process& target, net::socket_address worker);

    auto handle(net::http_request const& request) -> void;
    auto report(net::http_request const& request, std::string_view worker)
        -> void;
    auto start(core::start_run const& order) -> void;
    auto stop(core::stop_run const& order) -> void;
    auto poll(core::poll_runs const& order) -> void;
    auto check(core::check_worker const& order) -> void;
    /// Sends an order. It is sent again, up to a limit, while nothing shows
    /// which incarnation of the worker answers.
    auto send(net::http_client& client, net::http_call call,
              net::http_client::callback finished, std::size_t attempt = 0)
        -> void;
    auto handle_poll_result(core::poll_runs const& order,
                            net::http_result const& result) -> void;
    [[nodiscard]] static auto
    make_call(std::string_view path, core::worker_target const& target,
              std::string body, core::duration timeout) -> net::http_call;

    process::process& m_process;
    net::http_server* m_server = nullptr;
    /// Long polls occupy their connection, so orders use another one.
    net::http_client m_poll_client;
    net::http_client m_order_client;
    /// Opens a connection for each call.
    net::http_client m_check_client;
};

} // namespace hickorylatch::platform

#endif
