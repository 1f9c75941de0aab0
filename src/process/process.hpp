#ifndef HICKORYLATCH_PROCESS_PROCESS_HPP
#define HICKORYLATCH_PROCESS_PROCESS_HPP

#include "core/roles/node.hpp"
#include "net/arrival_bound.hpp"
#include "net/event_loop.hpp"
#include "net/http_server.hpp"
#include "net/peer_links.hpp"
#include "net/process_signals.hpp"
#include "net/timer.hpp"
#include "observe/logger.hpp"
#include "observe/metrics.hpp"
#include "observe/span_writer.hpp"
#include "process/agent_calls.hpp"
#include "process/durable_log.hpp"
#include "settings/settings.hpp"

#include <boost/json/fwd.hpp>
#include <boost/leaf/result.hpp>

#include <array>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace hickorylatch::process
{

/// Why a process could not start. Carried as a LEAF error object.
struct start_error
{
    std::string m_text;
};

/// One `hickorylatch serve` process: passes events to the reducer and executes
/// its effects.
class process
{
public:
    /// Opens files, listeners and links. Errors: `start_error`.
    [[nodiscard]] static auto open(settings::settings options)
        -> boost::leaf::result<std::unique_ptr<process>>;

    process(process const&) = delete;
    auto operator=(process const&) -> process& = delete;
    ~process();

    /// Runs until a graceful shutdown. Returns the exit code.
    auto run() -> int;

    // For adapters that serve other protocols.

    /// Passes an event to the reducer and executes its effects.
    auto handle_event(core::event const& event) -> void;
    /// Does the same in a later loop iteration.
    auto handle_event_later(core::event event) -> void;
    /// Allocates the id of an exchange that an adapter answers itself.
    [[nodiscard]] auto allocate_exchange_id() -> core::exchange_id;
    [[nodiscard]] auto loop() -> net::event_loop&;
    [[nodiscard]] auto node() const -> core::node const&;
    auto log(core::log_line const& line) -> void;
    auto observe(core::observe_metric const& sample) -> void;
    /// Settings of a further HTTP server, within the bounds on all of them.
    [[nodiscard]] auto server_settings() const -> net::http_server_settings;
    /// Adds a server whose answers must be written before the process exits.
    auto add_server(std::unique_ptr<net::http_server> server)
        -> net::http_server&;

    auto job_answered() -> sigc::signal<void(core::answer_job const&)>&;
    auto pending_count_answered()
        -> sigc::signal<void(core::answer_pending_count const&)>&;
    /// Answer to an operation with an id from `allocate_exchange_id`.
    auto operation_answered()
        -> sigc::signal<void(core::reply_operator const&)>&;
    /// Check of the exchange of such an operation. `exchange_checked` must
    /// follow if its client still waits.
    auto exchange_check_requested()
        -> sigc::signal<void(core::check_exchange const&)>&;
    /// Upper bound of the time that a request which is handled now has waited
    /// in the sockets of this process.
    [[nodiscard]] auto request_wait() const -> core::duration;
    auto run_start_requested() -> sigc::signal<void(core::start_run const&)>&;
    auto run_stop_requested() -> sigc::signal<void(core::stop_run const&)>&;
    auto poll_requested() -> sigc::signal<void(core::poll_runs const&)>&;
    auto worker_check_requested()
        -> sigc::signal<void(core::check_worker const&)>&;
    /// SIGHUP was received.
    auto reload_requested() -> sigc::signal<void()>&;

private:
    enum class client_kind : std::uint8_t
    {
        callers,
        operators
    };

    /// An open HTTP exchange and the server that answers it.
    struct open_exchange
    {
        net::http_server* m_server = nullptr;
        core::exchange_id m_server_exchange = 0;
        std::uint32_t m_schema_version = 0;
    };

    process(settings::settings options, observe::logger log);

    [[nodiscard]] auto open_control() -> boost::leaf::result<void>;
    [[nodiscard]] auto open_storage()
        -> boost::leaf::result<core::recovered_state>;
    [[nodiscard]] auto open_agent() -> boost::leaf::result<void>;
    auto open_placement_roles() -> void;
    [[nodiscard]] auto open_links() -> boost::leaf::result<void>;
    [[nodiscard]] auto open_servers() -> boost::leaf::result<void>;
    [[nodiscard]] auto open_server(std::string const& address,
                                   client_kind client,
                                   net::http_server_settings limits)
        -> boost::leaf::result<void>;
    auto connect_signals() -> void;

    auto execute(core::effect& effect) -> void;
    auto execute(core::send& effect) -> void;
    auto execute(core::send_copies& effect) -> void;
    auto execute(core::append_log& effect) -> void;
    auto execute(core::save_snapshot& effect) -> void;
    auto execute(core::reply& effect) -> void;
    auto execute(core::reply_operator& effect) -> void;
    auto execute(core::start_call& effect) -> void;
    auto execute(core::cancel_call& effect) -> void;
    auto execute(core::set_timer& effect) -> void;
    auto execute(core::keep_links& effect) -> void;
    auto execute(core::log_line& effect) -> void;
    auto execute(core::record_span& effect) -> void;
    auto execute(core::observe_metric& effect) -> void;
    auto execute(core::exit_process& effect) -> void;
    auto execute(core::answer_job& effect) -> void;
    auto execute(core::answer_pending_count& effect) -> void;
    auto execute(core::start_run& effect) -> void;
    auto execute(core::stop_run& effect) -> void;
    auto execute(core::poll_runs& effect) -> void;
    auto execute(core::close_idle_callers& effect) -> void;
    auto execute(core::check_worker& effect) -> void;
    auto execute(core::check_exchange& effect) -> void;

    auto handle_caller(net::http_server& server,
                       net::http_request const& request) -> void;
    auto handle_operator(net::http_server& server,
                         net::http_request const& request) -> void;
    /// Answers paths that every process serves. False for other paths.
    auto handle_common(net::http_server& server,
                       net::http_request const& request) -> bool;
    auto handle_job(net::http_server& server, net::http_request const& request)
        -> void;
    auto handle_evacuation(net::http_server& server,
                           net::http_request const& request) -> void;
    auto handle_operator_change(net::http_server& server,
                                net::http_request const& request) -> void;
    auto handle_members(net::http_server& server,
                        net::http_request const& request,
                        boost::json::object const& body) -> void;
    auto submit_operation(net::http_server& server,
                          net::http_request const& request,
                          core::operation operation) -> void;
    auto add_exchange(net::http_server& server, core::exchange_id exchange,
                      std::uint32_t schema_version = 0) -> core::exchange_id;
    auto abandon_exchange(net::http_server& server, core::exchange_id exchange)
        -> void;
    auto refuse(net::http_server& server, core::exchange_id exchange,
                std::uint16_t status, std::string_view text) -> void;
    auto answer(core::exchange_id exchange, net::http_answer const& answer)
        -> void;
    auto handle_snapshot_saved(core::snapshot_saved const& done) -> void;
    auto arm_timer() -> void;
    auto timer_fired() -> void;
    /// Notifies the reducer if the machine was suspended since the last check.
    auto check_suspension(core::time_point now) -> void;
    auto reduce(core::time_point now, core::event const& event) -> void;
    /// Passes the wall clock to the reducer, updates periodic metrics and
    /// flushes spans.
    auto handle_clock_tick() -> void;
    /// Updates the metrics of HTTP connections and logs which were closed
    /// because of a limit since the last call.
    auto report_connections() -> void;
    /// Adds the messages sent since the last call to the metrics.
    auto count_messages() -> void;
    /// Logs when the disk becomes full and when it has space again.
    auto log_disk_space_change() -> void;
    auto finish_when_flushed() -> void;
    auto stop_accepting() -> void;
    [[nodiscard]] auto current_config() const -> core::configuration const&;

    settings::settings m_settings;
    observe::logger m_log;
    observe::metrics m_metrics;
    std::optional<observe::span_writer> m_spans;
    net::event_loop m_loop;
    net::arrival_bound m_arrival_bound;
    net::process_signals m_signals;
    core::node m_node;
    std::unique_ptr<net::peer_links> m_links;
    /// Null unless this is a control replica with a disk.
    std::unique_ptr<durable_log> m_durable_log;
    std::unique_ptr<agent_calls> m_agent_calls;
    std::shared_ptr<net::connection_ledger> m_ledger;
    /// Closings that were reported, by cause.
    std::array<std::uint64_t, static_cast<std::size_t>(net::close_cause::count)>
        m_reported_closings{};
    std::vector<std::unique_ptr<net::http_server>> m_servers;
    net::timer m_timer;
    /// Time of the last event.
    core::time_point m_last_event_at{0};
    /// Total suspension time of the machine at the last check.
    core::duration m_suspended_total{0};
    /// When the reducer's timer is due.
    core::time_point m_wake_at = core::never;
    /// When `m_timer` fires; not later than `m_wake_at`. `never` if it is not
    /// armed.
    core::time_point m_armed_for = core::never;
    net::timer m_clock_timer;
    net::timer m_flush_timer;
    std::map<core::exchange_id, open_exchange> m_exchanges;
    core::exchange_id m_last_exchange = 0;
    /// Messages sent since the metrics were last updated, by type.
    std::array<std::uint64_t, std::variant_size_v<core::message>>
        m_sent_messages{};
    sigc::signal<void(core::answer_job const&)> m_job_answered;
    sigc::signal<void(core::answer_pending_count const&)>
        m_pending_count_answered;
    sigc::signal<void(core::reply_operator const&)> m_operation_answered;
    sigc::signal<void(core::check_exchange const&)> m_exchange_check_requested;
    sigc::signal<void(core::start_run const&)> m_run_start_requested;
    sigc::signal<void(core::stop_run const&)> m_run_stop_requested;
    sigc::signal<void(core::poll_runs const&)> m_poll_requested;
    sigc::signal<void(core::check_worker const&)> m_worker_check_requested;
    bool m_is_disk_full = false;
    int m_exit_code = 0;
    unsigned m_flush_rounds = 0;
};

} // namespace hickorylatch::process

#endif
