#ifndef HICKORYLATCH_PLATFORM_CLIENTS_API_HPP
#define HICKORYLATCH_PLATFORM_CLIENTS_API_HPP

#include "net/http_message.hpp"
#include "net/http_server.hpp"
#include "process/process.hpp"

#include <boost/leaf/result.hpp>

#include <string>
#include <string_view>
#include <unordered_map>

namespace hickorylatch::platform
{

/// HTTP API of an entry for clients and for the platform's load balancer.
class clients_api
{
public:
    /// Errors: `net::error`.
    [[nodiscard]] static auto open(process::process& target,
                                   std::string_view clients_address,
                                   std::string_view readiness_address)
        -> boost::leaf::result<std::unique_ptr<clients_api>>;

    clients_api(clients_api const&) = delete;
    auto operator=(clients_api const&) -> clients_api& = delete;

private:
    explicit clients_api(process::process& target);

    auto handle(net::http_request const& request) -> void;
    auto handle_readiness(net::http_server& server,
                          net::http_request const& request) -> void;
    auto submit(net::http_request const& request, std::string_view id) -> void;
    auto query(net::http_request const& request, core::job_query kind,
               std::string_view id) -> void;
    auto answer(core::answer_job const& result) -> void;
    auto answer(core::answer_pending_count const& result) -> void;
    auto send(core::exchange_id exchange, std::uint16_t status,
              std::uint32_t retry_after_ms, std::string_view body) -> void;

    process::process& m_process;
    net::http_server* m_clients_server = nullptr;
};

/// HTTP status for the verdict on a job or a query: 200 if there is a result,
/// else one that tells the client whether and when to retry.
[[nodiscard]] auto to_status(core::verdict const& verdict) -> std::uint16_t;

} // namespace hickorylatch::platform

#endif
