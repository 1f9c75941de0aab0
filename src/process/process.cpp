#include "process/process.hpp"

#include "net/error.hpp"
#include "net/tls_context.hpp"
#include "storage/storage_error.hpp"
#include "wire/codec.hpp"

#include <boost/leaf/handle_errors.hpp>

#include <algorithm>
#include <fstream>
#include <random>
#include <utility>
#include <variant>

namespace hickorylatch::process
{

namespace
{

// The wall clock only timestamps and expires records, so a resolution of 1 s is
// enough.
constexpr auto clock_interval = std::chrono::seconds{1};
// Interval between checks for unsent bytes during shutdown.
constexpr auto flush_interval = std::chrono::milliseconds{10};
constexpr auto flush_rounds_limit = 500U;
constexpr auto link_flush_rounds_limit = 100U;

// A gap between events of at least this length triggers a check whether the
// machine was suspended. Shorter suspensions affect no lease, and the next
// check includes them.
constexpr auto suspension_check_gap =
    core::duration{std::chrono::milliseconds{50}};
// Smaller differences can arise because the two clocks are read one after the
// other.
constexpr auto minimum_suspension =
    core::duration{std::chrono::milliseconds{5}};

// A VM that lost power does not respond, and its next process should be reached
// soon after it starts. A hello takes a few round trips.
constexpr auto hello_timeout = core::duration{std::chrono::milliseconds{300}};
constexpr auto reconnect_backoff_max =
    core::duration{std::chrono::milliseconds{400}};
// A configuration must reach every process within 2 s of its acceptance, even
// if the link became silent just before.
constexpr auto control_liveness = net::link_liveness{
    std::chrono::milliseconds{300}, std::chrono::milliseconds{900}};
// A link that carries work is reconnected before the agent considers the entry
// lost, after 500 ms.
constexpr auto work_liveness = net::link_liveness{
    std::chrono::milliseconds{120}, std::chrono::milliseconds{360}};

// After a power loss, entries get the configuration only from the first leader,
// so its election must not take long. Probing the other replicas takes a few
// milliseconds; the range spreads replicas that start together.
constexpr auto first_election_minimum =
    core::duration{std::chrono::milliseconds{60}};
constexpr auto first_election_maximum =
    core::duration{std::chrono::milliseconds{200}};

// Connections over the limit that may be open while they wait for their 503.
constexpr auto max_refused_connections = std::uint32_t{64};

auto random_number() -> std::uint64_t
{
    auto device = std::random_device{};
    return (std::uint64_t{device()} << 32U) | device();
}

auto wall_clock() -> core::unix_milliseconds
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(
               std::chrono::system_clock::now().time_since_epoch())
        .count();
}

auto fail(std::string text) -> boost::leaf::error_id
{
    return boost::leaf::new_error(start_error{std::move(text)});
}

/// Converts the errors of other libraries to `start_error`.
template <typename Open>
auto to_start_error(Open&& open) -> std::invoke_result_t<Open>
{
    using result = std::invoke_result_t<Open>;
    return boost::leaf::try_handle_some(
        std::forward<Open>(open),
        [](net::error const& error) -> result
        {
            return fail(error.m_text);
        },
        [](storage::storage_error const& error) -> result
        {
            return fail(to_string(error));
        },
        [](observe::open_error const& error) -> result
        {
            return fail(error.m_file + ": " + error.m_reason);
        });
}

auto decode_image(std::string_view bytes) -> std::optional<core::control_image>
{
    if (bytes.empty())
        return std::nullopt;
    auto image = wire::decode_control_image(bytes);
    return image ? std::optional{std::move(*image)} : std::nullopt;
}

auto to_placer_settings(settings::placement_settings const& placement)
    -> core::run_placer_settings
{
    auto result = core::run_placer_settings{};
    result.m_spread_factor = placement.m_spread_factor;
    result.m_lease = std::chrono::milliseconds{placement.m_lease_ms};
    result.m_loads_per_s = placement.m_loads_per_s;
    result.m_separates_interfering_tasks =
        placement.m_separate_interfering_tasks;
    return result;
}

/// Address at which other processes reach a role that listens.
template <typename Role>
auto advertised_address(Role const& role) -> std::string const&
{
    return role.m_advertised_address.empty() ? role.m_listen_address
                                             : role.m_advertised_address;
}

auto encode_image(core::control_image const& image) -> std::string
{
    return wire::encode(image);
}

} // namespace

process::process(settings::settings options, observe::logger log)
    : m_settings{std::move(options)}, m_log{std::move(log)},
      m_arrival_bound{m_loop}, m_signals{m_loop},
      m_ledger{std::make_shared<net::connection_ledger>(net::connection_bounds{
          m_settings.m_client_memory_bytes,
          m_settings.m_client_connection_limit,
          std::min(max_refused_connections,
                   m_settings.m_client_connection_limit / 8U)})},
      m_timer{m_loop,
              [this]
              {
                  timer_fired();
              }},
      m_clock_timer{m_loop,
                    [this]
                    {
                        handle_clock_tick();
                    }},
      m_flush_timer{m_loop, [this]
                    {
                        finish_when_flushed();
                    }}
{
}

process::~process() = default;

auto process::open(settings::settings options)
    -> boost::leaf::result<std::unique_ptr<process>>
{
    return to_start_error(
        [&]() -> boost::leaf::result<std::unique_ptr<process>>
        {
            BOOST_LEAF_AUTO(log, observe::logger::open(options.m_log.m_level,
                                                       options.m_log.m_file));
            auto created = std::unique_ptr<process>{
                new process{std::move(options), std::move(log)}};
            auto& self = *created;
            if (!self.m_settings.m_secret_file.empty())
            {
                auto file = std::ifstream{self.m_settings.m_secret_file};
                if (!std::getline(file, self.m_settings.m_secret))
                    return fail(self.m_settings.m_secret_file +
                                ": the secret can't be read");
            }
            self.m_node.m_id = core::node_id{random_number() | 1U};
            self.m_node.m_name = self.m_settings.m_name;
            self.m_node.m_failure_domain = self.m_settings.m_failure_domain;
            self.m_node.m_secret = self.m_settings.m_secret;
            if (!self.m_settings.m_trace_file.empty())
            {
                auto const offset = std::chrono::microseconds{
                    std::chrono::duration_cast<std::chrono::microseconds>(
                        std::chrono::system_clock::now().time_since_epoch()) -
                    self.m_loop.now()};
                BOOST_LEAF_AUTO(
                    spans, observe::span_writer::open(
                               self.m_settings.m_trace_file,
                               {self.m_settings.m_name,
                                self.m_settings.m_failure_domain, offset}));
                self.m_spans.emplace(std::move(spans));
            }
            if (self.m_settings.m_control)
                BOOST_LEAF_CHECK(self.open_control());
            if (self.m_settings.m_entry)
                self.m_node.m_entry.emplace();
            if (self.m_settings.m_agent)
                BOOST_LEAF_CHECK(self.open_agent());
            self.open_placement_roles();
            BOOST_LEAF_CHECK(self.open_links());
            BOOST_LEAF_CHECK(self.open_servers());
            self.connect_signals();
            return created;
        });
}

auto process::open_control() -> boost::leaf::result<void>
{
    auto const& control = *m_settings.m_control;
    auto recovered = core::recovered_state{};
    if (control.m_group.m_is_volatile)
        recovered.m_identity = m_node.m_id;
    else
    {
        BOOST_LEAF_ASSIGN(recovered, open_storage());
    }
    auto options = core::control_settings{};
    options.m_key_retention_ms =
        core::unix_milliseconds{control.m_key_retention_hours} * 3'600'000;
    options.m_key_limit = control.m_key_limit;
    options.m_content_limit = m_settings.m_frame_limit_bytes / 2;
    options.m_snapshot_interval = control.m_snapshot_interval_entries;
    options.m_snapshot_bytes = control.m_snapshot_interval_bytes;
    options.m_failure_domains = control.m_failure_domains;
    options.m_jobs.m_placer = to_placer_settings(control.m_placement);
    options.m_jobs.m_retention =
        std::chrono::seconds{control.m_job_retention_s};
    auto replication = core::replica_settings{};
    if (!control.m_group.m_seeds.empty())
    {
        replication.m_first_election_minimum = first_election_minimum;
        replication.m_first_election_maximum = first_election_maximum;
    }
    m_node.m_id = recovered.m_identity;
    m_node.m_address = advertised_address(control);
    m_node.m_control.emplace(options, replication, std::move(recovered),
                             core::image_codec{encode_image, decode_image},
                             m_node.m_address, control.m_group);
    return {};
}

auto process::open_storage() -> boost::leaf::result<core::recovered_state>
{
    auto const& control = *m_settings.m_control;
    auto options = storage::storage_options{};
    options.m_fsync = control.m_fsync;
    options.m_segment_bytes = control.m_segment_bytes;
    auto const space_waiter = std::make_shared<storage::space_waiter>();
    options.m_space_waiter = space_waiter;
    BOOST_LEAF_AUTO(opened, storage::data_folder::open(control.m_data_folder,
                                                       std::move(options)));
    for (auto const& warning : opened.m_warnings)
        m_log.write(warning);
    m_durable_log = std::make_unique<durable_log>(
        m_loop, std::move(opened.m_folder), space_waiter);
    return std::move(opened.m_recovered);
}

auto process::open_agent() -> boost::leaf::result<void>
{
    auto const& agent = *m_settings.m_agent;
    BOOST_LEAF_AUTO(target, net::socket_address::parse(agent.m_target_address));
    auto info = core::agent_info{};
    info.m_node = m_node.m_id;
    info.m_name = m_settings.m_name;
    info.m_kind = agent.m_kind;
    info.m_service = agent.m_service;
    info.m_slots = agent.m_slots;
    info.m_cores = agent.m_cores;
    info.m_memory_mb = agent.m_memory_mb;
    info.m_accelerators = agent.m_accelerators;
    info.m_rack = agent.m_rack;
    info.m_failure_domain = m_settings.m_failure_domain;
    m_node.m_agent.emplace(std::move(info));
    m_agent_calls = std::make_unique<agent_calls>(
        m_loop, target, agent, m_settings.m_frame_limit_bytes / 2);
    return {};
}

auto process::open_placement_roles() -> void
{
    auto const& seeds = m_settings.m_control_addresses;
    if (auto const& broker = m_settings.m_broker)
    {
        m_node.m_address = advertised_address(*broker);
        m_node.m_broker.emplace(core::broker_settings{
            m_settings.m_name, seeds, m_settings.m_failure_domain,
            to_placer_settings(broker->m_placement),
            broker->m_takes_durable_jobs,
            broker->m_sparse.m_awaits_workers_after_start,
            broker->m_sparse.m_releases_callers_when_isolated});
    }
    if (auto const& executor = m_settings.m_executor)
        m_node.m_executor.emplace(core::executor_settings{
            m_settings.m_name, seeds, m_settings.m_failure_domain,
            std::chrono::milliseconds{executor->m_lease_ms}});
}

auto process::open_links() -> boost::leaf::result<void>
{
    auto options = net::peer_links_settings{};
    options.m_hello = core::make_hello(m_node);
    options.m_frame_limit = m_settings.m_frame_limit_bytes;
    options.m_output_limit = m_settings.m_link_unsent_bytes;
    options.m_total_output_limit = m_settings.m_links_unsent_bytes;
    options.m_hello_timeout = hello_timeout;
    options.m_backoff_max = reconnect_backoff_max;
    options.m_control_liveness = control_liveness;
    options.m_work_liveness = work_liveness;
    options.m_source_ip = m_settings.m_source_ip;
    if (auto const& files = m_settings.m_tls)
    {
        BOOST_LEAF_ASSIGN(options.m_tls,
                          net::tls_context::load({files->m_certificate_file,
                                                  files->m_key_file,
                                                  files->m_authority_file}));
    }
    m_links = std::make_unique<net::peer_links>(m_loop, std::move(options));
    if (m_settings.m_control)
        BOOST_LEAF_CHECK(
            m_links->listen(m_settings.m_control->m_listen_address));
    else if (m_settings.m_broker)
        BOOST_LEAF_CHECK(
            m_links->listen(m_settings.m_broker->m_listen_address));
    return {};
}

auto process::open_servers() -> boost::leaf::result<void>
{
    auto const operators = server_settings();
    auto const operators_address =
        m_settings.m_entry      ? m_settings.m_entry->m_operators_address
        : m_settings.m_control  ? m_settings.m_control->m_operators_address
        : m_settings.m_broker   ? m_settings.m_broker->m_operators_address
        : m_settings.m_executor ? m_settings.m_executor->m_operators_address
                                : m_settings.m_agent->m_operators_address;
    BOOST_LEAF_CHECK(
        open_server(operators_address, client_kind::operators, operators));
    if (!m_settings.m_entry)
        return {};
    auto const& entry = *m_settings.m_entry;
    auto callers = server_settings();
    callers.m_body_limit = entry.m_body_limit_bytes;
    callers.m_connection_limit = entry.m_connection_limit;
    callers.m_read_timeout =
        std::chrono::milliseconds{entry.m_header_timeout_ms};
    return open_server(entry.m_callers_address, client_kind::callers, callers);
}

auto process::open_server(std::string const& address, client_kind client,
                          net::http_server_settings limits)
    -> boost::leaf::result<void>
{
    auto const server_index = m_servers.size();
    auto server = std::make_unique<net::http_server>(
        m_loop, std::move(limits),
        [this, server_index, client](net::http_request const& request)
        {
            auto& target = *m_servers[server_index];
            if (client == client_kind::callers)
                handle_caller(target, request);
            else
                handle_operator(target, request);
        });
    BOOST_LEAF_CHECK(server->listen(address));
    server->exchange_abandoned().connect(
        [this, server_index](core::exchange_id exchange)
        {
            abandon_exchange(*m_servers[server_index], exchange);
        });
    m_servers.push_back(std::move(server));
    return {};
}

auto process::connect_signals() -> void
{
    m_signals.stop_requested().connect(
        [this]
        {
            m_log.write({core::log_level::info, "stop_requested", {}});
            for (auto const& server : m_servers)
                server->drain();
            // A broker accepts jobs until load balancers stop sending them.
            if (!m_settings.m_broker)
                stop_accepting();
            handle_event(core::stop_requested{});
        });
    m_links->peer_connected().connect(
        [this](core::hello const& peer)
        {
            handle_event(core::peer_connected{peer});
        });
    m_links->peer_disconnected().connect(
        [this](core::node_id peer)
        {
            handle_event(core::peer_disconnected{peer});
        });
    m_links->message_received().connect(
        [this](core::node_id from, core::message const& message)
        {
            handle_event(core::message_received{from, message});
        });
    m_links->line_logged().connect(
        [this](core::log_line const& line)
        {
            m_log.write(line);
        });
    if (m_agent_calls)
        m_agent_calls->call_finished().connect(
            [this](core::call_finished const& done)
            {
                handle_event(done);
            });
    if (!m_durable_log)
        return;
    m_durable_log->log_synced().connect(
        [this](core::log_synced const& done)
        {
            handle_event(done);
        });
    m_durable_log->snapshot_saved().connect(
        [this](core::snapshot_saved const& done)
        {
            handle_snapshot_saved(done);
        });
    m_durable_log->sync_measured().connect(
        [this](core::duration sync_time)
        {
            m_metrics.observe({"hickorylatch_syncs_total", {}, 1});
            m_metrics.observe(
                {"hickorylatch_sync_seconds",
                 {},
                 std::chrono::duration<double>(sync_time).count()});
        });
    m_durable_log->failed().connect(
        [this](std::string const& cause)
        {
            m_log.write(
                {core::log_level::error, "storage_failed", {{"cause", cause}}});
            m_exit_code = 1;
            m_loop.stop();
        });
}

auto process::run() -> int
{
    m_log.write(
        {core::log_level::info,
         "started",
         {{"name", m_settings.m_name},
          {"failure_domain", m_settings.m_failure_domain},
          {"node", std::to_string(static_cast<std::uint64_t>(m_node.m_id))}}});
    m_last_event_at = m_loop.now();
    m_suspended_total = m_loop.suspended_time();
    handle_clock_tick();
    handle_event(core::started{random_number()});
    m_links->set_targets(m_settings.m_control_addresses);
    if (m_node.m_control || m_node.m_entry)
        m_arrival_bound.start();
    m_loop.run();
    if (m_spans)
        m_spans->flush();
    m_log.write({core::log_level::info,
                 "stopped",
                 {{"exit_code", std::to_string(m_exit_code)}}});
    return m_exit_code;
}

auto process::handle_event(core::event const& event) -> void
{
    auto const now = m_loop.now();
    if (now - std::exchange(m_last_event_at, now) >= suspension_check_gap)
        check_suspension(now);
    reduce(now, event);
}

auto process::handle_event_later(core::event event) -> void
{
    m_loop.post(
        [this, later = std::move(event)]
        {
            handle_event(later);
        });
}

auto process::check_suspension(core::time_point now) -> void
{
    auto const total = m_loop.suspended_time();
    auto const span = total - std::exchange(m_suspended_total, total);
    if (span < minimum_suspension)
        return;
    reduce(now, core::process_resumed{span});
    // Timers of the loop did not run during the suspension.
    arm_timer();
}

auto process::reduce(core::time_point now, core::event const& event) -> void
{
    auto effects = core::effects{};
    core::reduce(m_node, now, event, effects);
    for (auto& effect : effects)
        execute(effect);
}

auto process::handle_clock_tick() -> void
{
    handle_event(core::clock_read{wall_clock()});
    auto const* lease = m_node.m_entry   ? &m_node.m_entry->held_lease()
                        : m_node.m_agent ? &m_node.m_agent->held_lease()
                                         : nullptr;
    if (lease != nullptr)
    {
        m_metrics.observe(
            {"hickorylatch_lease_age_seconds",
             {},
             std::chrono::duration<double>(m_loop.now() - lease->granted_at())
                 .count()});
        m_metrics.observe({"hickorylatch_configuration_version",
                           {},
                           static_cast<double>(lease->config().m_version)});
    }
    count_messages();
    report_connections();
    if (m_durable_log)
        log_disk_space_change();
    if (m_spans)
        m_spans->flush();
    m_clock_timer.start(clock_interval);
}

auto process::report_connections() -> void
{
    m_metrics.observe({"hickorylatch_client_bytes",
                       {},
                       static_cast<double>(m_ledger->bytes())});
    m_metrics.observe({"hickorylatch_client_connections",
                       {},
                       static_cast<double>(m_ledger->connections())});
    for (auto index = std::size_t{0}; index < m_reported_closings.size();
         ++index)
    {
        auto const cause = static_cast<net::close_cause>(index);
        auto const total = m_ledger->closed(cause);
        auto const count =
            total - std::exchange(m_reported_closings[index], total);
        if (count == 0)
            continue;
        auto const name = std::string{net::to_string(cause)};
        m_metrics.observe({"hickorylatch_client_closings_total",
                           {{"cause", name}},
                           static_cast<double>(count)});
        m_log.write({core::log_level::warning,
                     "client_connections_closed",
                     {{"cause", name},
                      {"count", std::to_string(count)},
                      {"open", std::to_string(m_ledger->connections())},
                      {"bytes", std::to_string(m_ledger->bytes())}}});
    }
}

auto process::count_messages() -> void
{
    for (auto type = std::size_t{0}; type < m_sent_messages.size(); ++type)
        if (auto const count = std::exchange(m_sent_messages[type], 0);
            count != 0)
            m_metrics.observe(
                {"hickorylatch_messages_total",
                 {{"type", std::string{core::message_name(type)}}},
                 static_cast<double>(count)});
}

auto process::log_disk_space_change() -> void
{
    auto const is_full = m_durable_log->check_waited_for_space();
    if (is_full == std::exchange(m_is_disk_full, is_full))
        return;
    if (is_full)
        m_log.write({core::log_level::error,
                     "disk_full",
                     {{"folder", m_settings.m_control->m_data_folder}}});
    else
        m_log.write({core::log_level::info, "disk_has_space", {}});
}

auto process::finish_when_flushed() -> void
{
    // An exchange ends when its answer is queued; the server stays busy until
    // the answer has been written.
    auto const has_answers = std::ranges::any_of(m_servers,
                                                 [](auto const& server)
                                                 {
                                                     return !server->is_idle();
                                                 });
    ++m_flush_rounds;
    // A VM that was lost never receives its bytes, so links have a lower limit.
    auto const has_messages =
        m_links->unsent() != 0 && m_flush_rounds < link_flush_rounds_limit;
    if ((has_messages || has_answers) && m_flush_rounds < flush_rounds_limit)
        m_flush_timer.start(flush_interval);
    else
        m_loop.stop();
}

auto process::execute(core::effect& effect) -> void
{
    std::visit(
        [this](auto& alternative)
        {
            execute(alternative);
        },
        effect);
}

auto process::execute(core::send& effect) -> void
{
    ++m_sent_messages[effect.m_message.index()];
    m_links->send(effect.m_to, effect.m_message);
}

auto process::execute(core::send_copies& effect) -> void
{
    m_sent_messages[effect.m_message.index()] += effect.m_to.size();
    m_links->send(effect.m_to, effect.m_message);
}

auto process::execute(core::append_log& effect) -> void
{
    if (m_durable_log)
        return m_durable_log->append(std::move(effect));
    // A volatile replica keeps its log in memory only.
    m_loop.post(
        [this, done = core::log_synced{effect.m_write}]
        {
            handle_event(done);
        });
}

auto process::execute(core::save_snapshot& effect) -> void
{
    if (m_durable_log)
        return m_durable_log->save(std::move(effect.m_snapshot));
    m_loop.post(
        [this, done = core::snapshot_saved{effect.m_snapshot.m_last_index}]
        {
            handle_snapshot_saved(done);
        });
}

auto process::handle_snapshot_saved(core::snapshot_saved const& done) -> void
{
    handle_event(done);
    m_links->set_cluster(m_node.m_control->cluster());
}

auto process::execute(core::start_call& effect) -> void
{
    m_agent_calls->start(effect);
}

auto process::execute(core::cancel_call& effect) -> void
{
    m_agent_calls->cancel(effect);
}

auto process::execute(core::set_timer& effect) -> void
{
    // Most deadlines are postponed repeatedly before they expire. Re-arming a
    // timer that fired too early costs less than setting it at each change.
    m_wake_at = effect.m_at;
    if (m_wake_at < m_armed_for)
        arm_timer();
}

auto process::arm_timer() -> void
{
    m_armed_for = m_wake_at;
    m_timer.start_at(m_wake_at);
}

auto process::timer_fired() -> void
{
    m_armed_for = core::never;
    if (m_loop.now() < m_wake_at)
        return arm_timer();
    m_node.m_timer = core::never;
    handle_event(core::timer_fired{});
}

auto process::execute(core::keep_links& effect) -> void
{
    m_links->set_targets(effect.m_addresses);
}

auto process::execute(core::log_line& effect) -> void
{
    m_log.write(effect);
}

auto process::execute(core::record_span& effect) -> void
{
    if (m_spans)
        m_spans->write(effect);
}

auto process::execute(core::observe_metric& effect) -> void
{
    m_metrics.observe(effect);
}

auto process::execute(core::exit_process& effect) -> void
{
    static_cast<void>(effect);
    stop_accepting();
    finish_when_flushed();
}

auto process::stop_accepting() -> void
{
    for (auto const& server : m_servers)
        server->stop_accepting();
}

auto process::execute(core::answer_job& effect) -> void
{
    m_job_answered.emit(effect);
}

auto process::execute(core::answer_pending_count& effect) -> void
{
    m_pending_count_answered.emit(effect);
}

auto process::execute(core::start_run& effect) -> void
{
    m_run_start_requested.emit(effect);
}

auto process::execute(core::stop_run& effect) -> void
{
    m_run_stop_requested.emit(effect);
}

auto process::execute(core::poll_runs& effect) -> void
{
    m_poll_requested.emit(effect);
}

auto process::execute(core::check_worker& effect) -> void
{
    m_worker_check_requested.emit(effect);
}

auto process::execute(core::close_idle_callers& effect) -> void
{
    static_cast<void>(effect);
    for (auto const& server : m_servers)
        server->close_idle();
}

auto process::allocate_exchange_id() -> core::exchange_id
{
    return ++m_last_exchange;
}

auto process::loop() -> net::event_loop&
{
    return m_loop;
}

auto process::node() const -> core::node const&
{
    return m_node;
}

auto process::log(core::log_line const& line) -> void
{
    m_log.write(line);
}

auto process::observe(core::observe_metric const& sample) -> void
{
    m_metrics.observe(sample);
}

auto process::server_settings() const -> net::http_server_settings
{
    auto out = net::http_server_settings{};
    out.m_connection_limit = m_settings.m_client_connection_limit;
    out.m_ledger = m_ledger;
    return out;
}

auto process::add_server(std::unique_ptr<net::http_server> server)
    -> net::http_server&
{
    m_servers.push_back(std::move(server));
    return *m_servers.back();
}

auto process::job_answered() -> sigc::signal<void(core::answer_job const&)>&
{
    return m_job_answered;
}

auto process::pending_count_answered()
    -> sigc::signal<void(core::answer_pending_count const&)>&
{
    return m_pending_count_answered;
}

auto process::operation_answered()
    -> sigc::signal<void(core::reply_operator const&)>&
{
    return m_operation_answered;
}

auto process::run_start_requested()
    -> sigc::signal<void(core::start_run const&)>&
{
    return m_run_start_requested;
}

auto process::run_stop_requested() -> sigc::signal<void(core::stop_run const&)>&
{
    return m_run_stop_requested;
}

auto process::poll_requested() -> sigc::signal<void(core::poll_runs const&)>&
{
    return m_poll_requested;
}

auto process::worker_check_requested()
    -> sigc::signal<void(core::check_worker const&)>&
{
    return m_worker_check_requested;
}

auto process::reload_requested() -> sigc::signal<void()>&
{
    return m_signals.reopen_requested();
}

} // namespace hickorylatch::process
