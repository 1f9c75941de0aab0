#ifndef HICKORYLATCH_PROCESS_PROCESS_HPP
#define HICKORYLATCH_PROCESS_PROCESS_HPP

#include "core/roles/node.hpp"
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

/// One `hickorylatch serve` process: feeds the reducer with events and carries
/// out its effects.
class process
{
public:
    /// Opens files, addresses and links. Errors: `start_error`.
    [[nodiscard]] static auto open(settings::settings wanted)
        -> boost::leaf::result<std::unique_ptr<process>>;

    process(process const&) = delete;
    auto operator=(process const&) -> process& = delete;
    ~process();

    /// Runs until a graceful shutdown. Returns the exit code.
    auto run() -> int;

    // For adapters, which have protocols of their own.

    /// Passes an event to the reducer and carries out its effects.
    auto feed(core::event const& incoming) -> void;
    /// Number for an exchange that an adapter answers.
    [[nodiscard]] auto next_exchange() -> core::exchange_id;
    [[nodiscard]] auto loop() -> net::event_loop&;
    [[nodiscard]] auto node() const -> core::node const&;
    auto log(core::log_line const& line) -> void;
    auto observe(core::observe_metric const& sample) -> void;
    /// A server whose answers must be written before the process ends.
    auto add_server(std::unique_ptr<net::http_server> server)
        -> net::http_server&;

    auto job_answered() -> sigc::signal<void(core::answer_job const&)>&;
    auto pending_answered()
        -> sigc::signal<void(core::answer_pending_count const&)>&;
    /// Of an operation with a number from `next_exchange`.
    auto operation_answered()
        -> sigc::signal<void(core::reply_operator const&)>&;
    auto run_start_wanted() -> sigc::signal<void(core::start_run const&)>&;
    auto run_stop_wanted() -> sigc::signal<void(core::stop_run const&)>&;
    auto poll_wanted() -> sigc::signal<void(core::poll_runs const&)>&;
    /// SIGHUP.
    auto reload_requested() -> sigc::signal<void()>&;

private:
    enum class audience : std::uint8_t
    {
        callers,
        operators
    };

    /// An open HTTP exchange and where its answer goes.
    struct open_exchange
    {
        net::http_server* m_server = nullptr;
        core::exchange_id m_exchange = 0;
        std::uint32_t m_schema_version = 0;
    };

    process(settings::settings wanted, observe::logger log);

    [[nodiscard]] auto open_control() -> boost::leaf::result<void>;
    [[nodiscard]] auto open_disk()
        -> boost::leaf::result<core::recovered_state>;
    [[nodiscard]] auto open_agent() -> boost::leaf::result<void>;
    auto open_placement() -> void;
    [[nodiscard]] auto open_links() -> boost::leaf::result<void>;
    [[nodiscard]] auto open_servers() -> boost::leaf::result<void>;
    [[nodiscard]] auto open_server(std::string const& address, audience who,
                                   net::http_server_settings limits)
        -> boost::leaf::result<void>;
    auto connect_signals() -> void;

    auto carry_out(core::effect& wanted) -> void;
    auto carry_out(core::send& wanted) -> void;
    auto carry_out(core::send_copies& wanted) -> void;
    auto carry_out(core::append_log& wanted) -> void;
    auto carry_out(core::save_snapshot& wanted) -> void;
    auto carry_out(core::reply& wanted) -> void;
    auto carry_out(core::reply_operator& wanted) -> void;
    auto carry_out(core::start_call& wanted) -> void;
    auto carry_out(core::cancel_call& wanted) -> void;
    auto carry_out(core::set_timer& wanted) -> void;
    auto carry_out(core::keep_links& wanted) -> void;
    auto carry_out(core::log_line& wanted) -> void;
    auto carry_out(core::record_span& wanted) -> void;
    auto carry_out(core::observe_metric& wanted) -> void;
    auto carry_out(core::exit_process& wanted) -> void;
    auto carry_out(core::answer_job& wanted) -> void;
    auto carry_out(core::answer_pending_count& wanted) -> void;
    auto carry_out(core::start_run& wanted) -> void;
    auto carry_out(core::stop_run& wanted) -> void;
    auto carry_out(core::poll_runs& wanted) -> void;
    auto carry_out(core::close_idle_callers& wanted) -> void;

    auto handle_caller(net::http_server& server,
                       net::http_request const& request) -> void;
    auto handle_operator(net::http_server& server,
                         net::http_request const& request) -> void;
    /// Answers paths that every process has. False if it is not one of them.
    auto handle_common(net::http_server& server,
                       net::http_request const& request) -> bool;
    auto handle_job(net::http_server& server, net::http_request const& request)
        -> void;
    auto handle_change(net::http_server& server,
                       net::http_request const& request) -> void;
    auto handle_members(net::http_server& server,
                        net::http_request const& request,
                        boost::json::object const& body) -> void;
    auto ask(net::http_server& server, net::http_request const& request,
             core::operation asked) -> void;
    auto add_exchange(net::http_server& server, core::exchange_id exchange,
                      std::uint32_t schema_version = 0) -> core::exchange_id;
    auto abandon(net::http_server& server, core::exchange_id exchange) -> void;
    auto refuse(net::http_server& server, core::exchange_id exchange,
                std::uint16_t status, std::string_view text) -> void;
    auto answer(core::exchange_id exchange, net::http_answer const& answer)
        -> void;
    auto snapshot_saved(core::snapshot_saved const& done) -> void;
    auto arm_timer() -> void;
    auto timer_fired() -> void;
    /// Tells the reducer if the machine was suspended since the last event.
    auto notice_suspension(core::time_point now) -> void;
    auto reduce(core::time_point now, core::event const& incoming) -> void;
    auto read_clock() -> void;
    /// Adds the messages sent since the last call to the metrics.
    auto count_messages() -> void;
    /// Logs when the disk turns full and when it has space again.
    auto watch_disk() -> void;
    auto finish_when_flushed() -> void;
    auto stop_accepting() -> void;
    [[nodiscard]] auto current_config() const -> core::configuration const&;

    settings::settings m_settings;
    observe::logger m_log;
    observe::metrics m_metrics;
    std::optional<observe::span_writer> m_spans;
    net::event_loop m_loop;
    net::process_signals m_signals;
    core::node m_node;
    std::unique_ptr<net::peer_links> m_links;
    /// Null unless this is a control replica with a disk.
    std::unique_ptr<durable_log> m_durable;
    std::unique_ptr<agent_calls> m_calls;
    std::vector<std::unique_ptr<net::http_server>> m_servers;
    net::timer m_timer;
    /// When the reducer wants to be called.
    /// Time of the last event.
    core::time_point m_fed_at{0};
    /// How long the machine had been suspended when that was last looked at.
    core::duration m_suspended{0};
    core::time_point m_wake_at = core::never;
    /// When the timer runs; not later than that. `never` if it does not run.
    core::time_point m_armed_for = core::never;
    net::timer m_clock;
    net::timer m_flush;
    std::map<core::exchange_id, open_exchange> m_exchanges;
    core::exchange_id m_exchange = 0;
    /// Messages sent since they were added to the metrics, by type.
    std::array<std::uint64_t, std::variant_size_v<core::message>> m_sent{};
    sigc::signal<void(core::answer_job const&)> m_job_answered;
    sigc::signal<void(core::answer_pending_count const&)> m_pending_answered;
    sigc::signal<void(core::reply_operator const&)> m_operation_answered;
    sigc::signal<void(core::start_run const&)> m_run_start_wanted;
    sigc::signal<void(core::stop_run const&)> m_run_stop_wanted;
    sigc::signal<void(core::poll_runs const&)> m_poll_wanted;
    bool m_is_disk_full = false;
    int m_exit_code = 0;
    unsigned m_flush_rounds = 0;
};

} // namespace hickorylatch::process

#endif
