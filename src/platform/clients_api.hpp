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

/// What clients of an entry and the platform's balancer call.
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
    auto ask(net::http_request const& request, core::job_query question,
             std::string_view id) -> void;
    auto answer(core::answer_job const& done) -> void;
    auto answer(core::answer_pending_count const& done) -> void;
    auto send(core::exchange_id exchange, std::uint16_t status,
              std::uint32_t retry_after_ms, std::string_view body) -> void;

    process::process& m_process;
    net::http_server* m_server = nullptr;
};

/// Status for a verdict on a job or a question: 200 if it is known, else one
/// that tells whether and when to come back.
[[nodiscard]] auto to_status(core::verdict const& outcome) -> std::uint16_t;

} // namespace hickorylatch::platform

#endif
