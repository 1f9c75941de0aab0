#ifndef HICKORYLATCH_EMULATOR_ENDPOINT_SERVER_HPP
#define HICKORYLATCH_EMULATOR_ENDPOINT_SERVER_HPP

#include "core/model/event.hpp"
#include "emulator/endpoint_counts.hpp"
#include "emulator/run_time_distribution.hpp"
#include "net/event_loop.hpp"
#include "net/http_server.hpp"
#include "net/timer.hpp"

#include <boost/leaf/result.hpp>
#include <sigc++/signal.h>

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>

namespace hickorylatch::emulator
{

/// How an emulated endpoint fails.
enum class failure_mode : std::uint8_t
{
    none,
    fail,    ///< Answers every request 500 immediately.
    hang,    ///< Starts tasks and never answers.
    close,   ///< Runs tasks, then closes the connection within the headers.
    truncate ///< Runs tasks, then closes the connection within the body.
};

[[nodiscard]] auto parse_failure_mode(std::string_view name)
    -> std::optional<failure_mode>;

struct endpoint_settings
{
    /// Maximum number of concurrent tasks; further ones are refused with 503.
    std::uint32_t m_slots = 8;
    failure_mode m_mode = failure_mode::none;
    /// Multiplies every run time.
    double m_straggler_factor = 1;
    run_time_bounds m_run_times;
    std::uint64_t m_seed = 1;
    /// Maximum age of the figures of `GET /usage`.
    core::duration m_usage_lag = std::chrono::seconds{1};
};

/// Emulates an endpoint of a service or a worker.
///
/// - `POST` to any path not listed below runs a task and answers its `echo`.
///   The run time is random unless the header `Emulate-Run-Ms` or the body
///   sets it.
/// - `POST /attempts/{id}/stop` ends the task whose header
///   `Hickorylatch-Attempt` has this value; it is answered 410.
/// - `POST /emulate/mode` changes the failure mode to the one in the body.
/// - `GET /counts`, `GET /counts?{attempt}` and `GET /usage` answer JSON.
class endpoint_server
{
public:
    endpoint_server(net::event_loop& loop, endpoint_settings const& settings);
    endpoint_server(endpoint_server const&) = delete;
    auto operator=(endpoint_server const&) -> endpoint_server& = delete;
    ~endpoint_server();

    /// Listens on an address and returns the bound port.
    [[nodiscard]] auto listen(std::string_view address)
        -> boost::leaf::result<std::uint16_t>;
    /// Accepts no new task and emits `stopped` once every running task has
    /// ended.
    auto stop() -> void;
    [[nodiscard]] auto counts() const -> endpoint_counts const&;

    /// Emitted when the last task has ended after `stop`.
    auto stopped() -> sigc::signal<void()>&;

private:
    struct running_task;

    auto handle(net::http_request const& request) -> void;
    auto handle_get(net::http_request const& request) -> void;
    auto start_task(net::http_request const& request) -> void;
    auto stop_attempt(net::http_request const& request) -> void;
    auto run_time(net::http_request const& request) -> core::duration;
    /// Answers a task as the failure mode demands and removes it.
    auto finish_task(core::exchange_id exchange) -> void;
    auto remove_task(core::exchange_id exchange) -> void;
    auto emit_stopped_if_idle() -> void;
    auto answer(core::exchange_id exchange, std::uint16_t status,
                std::string_view body) -> void;

    net::event_loop& m_loop;
    endpoint_settings m_settings;
    run_time_distribution m_run_times;
    endpoint_counts m_counts;
    net::http_server m_server;
    std::unordered_map<core::exchange_id, std::unique_ptr<running_task>>
        m_running;
    std::size_t m_reported_running = 0;
    net::timer m_usage_timer;
    net::timer m_stopped_timer;
    bool m_is_stopping = false;
    bool m_has_stopped = false;
    sigc::signal<void()> m_stopped;
};

} // namespace hickorylatch::emulator

#endif
