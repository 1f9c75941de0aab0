#ifndef HICKORYLATCH_PLATFORM_OPERATORS_API_HPP
#define HICKORYLATCH_PLATFORM_OPERATORS_API_HPP

#include "net/http_message.hpp"
#include "net/http_server.hpp"
#include "platform/configuration_reads.hpp"
#include "process/process.hpp"

#include <boost/leaf/result.hpp>

#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>

namespace hickorylatch::platform
{

/// HTTP API of a control process for operators.
class operators_api
{
public:
    /// Errors: `net::error`.
    [[nodiscard]] static auto open(process::process& target,
                                   std::string_view address)
        -> boost::leaf::result<std::unique_ptr<operators_api>>;

    operators_api(operators_api const&) = delete;
    auto operator=(operators_api const&) -> operators_api& = delete;

private:
    explicit operators_api(process::process& target);

    auto handle(net::http_request const& request) -> void;
    auto install(net::http_request const& request) -> void;
    /// Evacuates or restores a failure domain.
    auto evacuate(net::http_request const& request) -> void;
    auto read(net::http_request const& request) -> void;
    auto start_read() -> void;
    auto submit_operation(net::http_request const& request,
                          core::operation operation) -> void;
    auto check_waiting(core::check_exchange const& check) -> void;
    /// The client of this exchange of the server has closed its connection.
    auto abandon(core::exchange_id exchange) -> void;
    auto answer(core::reply_operator const& reply) -> void;
    auto answer(core::exchange_id exchange, core::operate_result const& result)
        -> void;
    auto send(core::exchange_id exchange, std::uint16_t status,
              std::string_view body) -> void;
    auto send(core::exchange_id exchange, net::http_answer const& answer)
        -> void;

    struct pending_exchange
    {
        /// Exchange id of the server.
        core::exchange_id m_exchange = 0;
        bool m_is_evacuation = false;
    };

    process::process& m_process;
    net::http_server* m_server = nullptr;
    /// By the exchange id of their operation.
    std::unordered_map<core::exchange_id, pending_exchange> m_pending_exchanges;
    configuration_reads m_reads;
    /// Operation of the read in progress; 0 for none.
    core::exchange_id m_read_operation = 0;
};

} // namespace hickorylatch::platform

#endif
