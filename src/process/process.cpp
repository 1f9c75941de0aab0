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

// The wall clock only stamps and ages records, so a second's grain is enough.
constexpr auto clock_interval = std::chrono::seconds{1};
// Unsent bytes are looked at this often while the process ends.
constexpr auto flush_interval = std::chrono::milliseconds{10};
constexpr auto flush_rounds_limit = 500U;
constexpr auto link_flush_rounds_limit = 100U;

// After a gap between events of this length it is asked whether the machine was
// suspended. Shorter suspensions than that matter for no lease, and they count
// the next time.
constexpr auto suspension_check_gap =
    core::duration{std::chrono::milliseconds{50}};
// The two clocks are read one after the other.
constexpr auto shortest_suspension =
    core::duration{std::chrono::milliseconds{5}};

// A VM without power answers nothing, and its next process should be found soon
// after it starts. A hello takes a few round trips.
constexpr auto hello_timeout = core::duration{std::chrono::milliseconds{300}};
constexpr auto longest_backoff = core::duration{std::chrono::milliseconds{400}};
// A configuration must reach every process within 2 s of its acceptance, also
// if the link went silent just before.
constexpr auto control_liveness = net::link_liveness{
    std::chrono::milliseconds{300}, std::chrono::milliseconds{900}};
// A link that carries work is renewed before the agent gives the entry up,
// after 500 ms.
constexpr auto work_liveness = net::link_liveness{
    std::chrono::milliseconds{120}, std::chrono::milliseconds{360}};

// After a power loss entries wait for the first leader to learn the
// configuration. A probe of the others takes a few milliseconds; the span
// spreads replicas that start together.
constexpr auto first_election_minimum =
    core::duration{std::chrono::milliseconds{60}};
constexpr auto first_election_maximum =
    core::duration{std::chrono::milliseconds{200}};

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

/// Turns the errors of other libraries into a `start_error`.
template <typename Open>
auto explain(Open&& open) -> std::invoke_result_t<Open>
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

auto to_placer(settings::placement_settings const& wanted)
    -> core::run_placer_settings
{
    auto placer = core::run_placer_settings{};
    placer.m_spread_factor = wanted.m_spread_factor;
    placer.m_lease = std::chrono::milliseconds{wanted.m_lease_ms};
    placer.m_loads_per_s = wanted.m_loads_per_s;
    return placer;
}

/// Where others reach a role that listens.
template <typename Role>
auto advertised(Role const& wanted) -> std::string const&
{
    return wanted.m_advertised_address.empty() ? wanted.m_listen_address
                                               : wanted.m_advertised_address;
}

auto encode_image(core::control_image const& image) -> std::string
{
    return wire::encode(image);
}

} // namespace

process::process(settings::settings wanted, observe::logger log)
    : m_settings{std::move(wanted)}, m_log{std::move(log)}, m_signals{m_loop},
      m_timer{m_loop,
              [this]
              {
                  timer_fired();
              }},
      m_clock{m_loop,
              [this]
              {
                  read_clock();
              }},
      m_flush{m_loop, [this]
              {
                  finish_when_flushed();
              }}
{
}

process::~process() = default;

auto process::open(settings::settings wanted)
    -> boost::leaf::result<std::unique_ptr<process>>
{
    return explain(
        [&]() -> boost::leaf::result<std::unique_ptr<process>>
        {
            BOOST_LEAF_AUTO(log, observe::logger::open(wanted.m_log.m_level,
                                                       wanted.m_log.m_file));
            auto opened = std::unique_ptr<process>{
                new process{std::move(wanted), std::move(log)}};
            auto& self = *opened;
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
            self.open_placement();
            BOOST_LEAF_CHECK(self.open_links());
            BOOST_LEAF_CHECK(self.open_servers());
            self.connect_signals();
            return opened;
        });
}

auto process::open_control() -> boost::leaf::result<void>
{
    auto const& wanted = *m_settings.m_control;
    auto recovered = core::recovered_state{};
    if (wanted.m_group.m_is_volatile)
        recovered.m_identity = m_node.m_id;
    else
    {
        BOOST_LEAF_ASSIGN(recovered, open_disk());
    }
    auto limits = core::control_settings{};
    limits.m_key_retention_ms =
        core::unix_milliseconds{wanted.m_key_retention_hours} * 3'600'000;
    limits.m_key_limit = wanted.m_key_limit;
    limits.m_content_limit = m_settings.m_frame_limit_bytes / 2;
    limits.m_snapshot_interval = wanted.m_snapshot_interval_entries;
    limits.m_snapshot_bytes = wanted.m_snapshot_interval_bytes;
    limits.m_jobs.m_placer = to_placer(wanted.m_placement);
    limits.m_jobs.m_retention = std::chrono::seconds{wanted.m_job_retention_s};
    auto replication = core::replica_settings{};
    if (!wanted.m_group.m_seeds.empty())
    {
        replication.m_first_election_minimum = first_election_minimum;
        replication.m_first_election_maximum = first_election_maximum;
    }
    m_node.m_id = recovered.m_identity;
    m_node.m_address = advertised(wanted);
    m_node.m_control.emplace(limits, replication, std::move(recovered),
                             core::image_codec{encode_image, decode_image},
                             m_node.m_address, wanted.m_group);
    return {};
}

auto process::open_disk() -> boost::leaf::result<core::recovered_state>
{
    auto const& wanted = *m_settings.m_control;
    auto options = storage::storage_options{};
    options.m_fsync = wanted.m_fsync;
    options.m_segment_bytes = wanted.m_segment_bytes;
    auto const space = std::make_shared<storage::space_waiter>();
    options.m_space_waiter = space;
    BOOST_LEAF_AUTO(opened, storage::data_folder::open(wanted.m_data_folder,
                                                       std::move(options)));
    for (auto const& warning : opened.m_warnings)
        m_log.write(warning);
    m_durable = std::make_unique<durable_log>(
        m_loop, std::move(opened.m_folder), space);
    return std::move(opened.m_recovered);
}

auto process::open_agent() -> boost::leaf::result<void>
{
    auto const& wanted = *m_settings.m_agent;
    BOOST_LEAF_AUTO(target,
                    net::socket_address::parse(wanted.m_target_address));
    auto info = core::agent_info{};
    info.m_node = m_node.m_id;
    info.m_name = m_settings.m_name;
    info.m_kind = wanted.m_kind;
    info.m_service = wanted.m_service;
    info.m_slots = wanted.m_slots;
    info.m_cores = wanted.m_cores;
    info.m_memory_mb = wanted.m_memory_mb;
    info.m_accelerators = wanted.m_accelerators;
    info.m_rack = wanted.m_rack;
    info.m_failure_domain = m_settings.m_failure_domain;
    m_node.m_agent.emplace(std::move(info));
    m_calls = std::make_unique<agent_calls>(m_loop, target, wanted,
                                            m_settings.m_frame_limit_bytes / 2);
    return {};
}

auto process::open_placement() -> void
{
    auto const& seeds = m_settings.m_control_addresses;
    if (auto const& wanted = m_settings.m_broker)
    {
        m_node.m_address = advertised(*wanted);
        m_node.m_broker.emplace(core::broker_settings{
            m_settings.m_name, seeds, m_settings.m_failure_domain,
            to_placer(wanted->m_placement), wanted->m_takes_durable_jobs});
    }
    if (auto const& wanted = m_settings.m_executor)
        m_node.m_executor.emplace(core::executor_settings{
            m_settings.m_name, seeds, m_settings.m_failure_domain,
            std::chrono::milliseconds{wanted->m_lease_ms}});
}

auto process::open_links() -> boost::leaf::result<void>
{
    auto wanted = net::peer_links_settings{};
    wanted.m_hello = core::make_hello(m_node);
    wanted.m_frame_limit = m_settings.m_frame_limit_bytes;
    wanted.m_hello_timeout = hello_timeout;
    wanted.m_backoff_max = longest_backoff;
    wanted.m_control_liveness = control_liveness;
    wanted.m_work_liveness = work_liveness;
    wanted.m_source_ip = m_settings.m_source_ip;
    if (auto const& files = m_settings.m_tls)
    {
        BOOST_LEAF_ASSIGN(wanted.m_tls,
                          net::tls_context::load({files->m_certificate_file,
                                                  files->m_key_file,
                                                  files->m_authority_file}));
    }
    m_links = std::make_unique<net::peer_links>(m_loop, std::move(wanted));
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
    auto operators = net::http_server_settings{};
    auto const operators_address =
        m_settings.m_entry      ? m_settings.m_entry->m_operators_address
        : m_settings.m_control  ? m_settings.m_control->m_operators_address
        : m_settings.m_broker   ? m_settings.m_broker->m_operators_address
        : m_settings.m_executor ? m_settings.m_executor->m_operators_address
                                : m_settings.m_agent->m_operators_address;
    BOOST_LEAF_CHECK(
        open_server(operators_address, audience::operators, operators));
    if (!m_settings.m_entry)
        return {};
    auto const& wanted = *m_settings.m_entry;
    auto callers = net::http_server_settings{};
    callers.m_body_limit = wanted.m_body_limit_bytes;
    callers.m_connection_limit = wanted.m_connection_limit;
    callers.m_read_timeout =
        std::chrono::milliseconds{wanted.m_header_timeout_ms};
    return open_server(wanted.m_callers_address, audience::callers, callers);
}

auto process::open_server(std::string const& address, audience who,
                          net::http_server_settings limits)
    -> boost::leaf::result<void>
{
    auto const place = m_servers.size();
    auto server = std::make_unique<net::http_server>(
        m_loop, limits,
        [this, place, who](net::http_request const& request)
        {
            auto& from = *m_servers[place];
            if (who == audience::callers)
                handle_caller(from, request);
            else
                handle_operator(from, request);
        });
    BOOST_LEAF_CHECK(server->listen(address));
    server->exchange_abandoned().connect(
        [this, place](core::exchange_id exchange)
        {
            abandon(*m_servers[place], exchange);
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
            // A broker still takes jobs until balancers have noticed.
            if (!m_settings.m_broker)
                stop_accepting();
            feed(core::stop_requested{});
        });
    m_links->peer_connected().connect(
        [this](core::hello const& peer)
        {
            feed(core::peer_connected{peer});
        });
    m_links->peer_disconnected().connect(
        [this](core::node_id peer)
        {
            feed(core::peer_disconnected{peer});
        });
    m_links->message_received().connect(
        [this](core::node_id from, core::message const& message)
        {
            feed(core::message_received{from, message});
        });
    m_links->line_logged().connect(
        [this](core::log_line const& line)
        {
            m_log.write(line);
        });
    if (m_calls)
        m_calls->call_finished().connect(
            [this](core::call_finished const& done)
            {
                feed(done);
            });
    if (!m_durable)
        return;
    m_durable->log_synced().connect(
        [this](core::log_synced const& done)
        {
            feed(done);
        });
    m_durable->snapshot_saved().connect(
        [this](core::snapshot_saved const& done)
        {
            snapshot_saved(done);
        });
    m_durable->sync_measured().connect(
        [this](core::duration spent)
        {
            m_metrics.observe({"hickorylatch_syncs_total", {}, 1});
            m_metrics.observe({"hickorylatch_sync_seconds",
                               {},
                               std::chrono::duration<double>(spent).count()});
        });
    m_durable->failed().connect(
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
    m_fed_at = m_loop.now();
    m_suspended = m_loop.suspended_time();
    read_clock();
    feed(core::started{random_number()});
    m_links->set_targets(m_settings.m_control_addresses);
    m_loop.run();
    if (m_spans)
        m_spans->flush();
    m_log.write({core::log_level::info,
                 "stopped",
                 {{"exit_code", std::to_string(m_exit_code)}}});
    return m_exit_code;
}

auto process::feed(core::event const& incoming) -> void
{
    auto const now = m_loop.now();
    if (now - std::exchange(m_fed_at, now) >= suspension_check_gap)
        notice_suspension(now);
    reduce(now, incoming);
}

auto process::notice_suspension(core::time_point now) -> void
{
    auto const total = m_loop.suspended_time();
    auto const span = total - std::exchange(m_suspended, total);
    if (span < shortest_suspension)
        return;
    reduce(now, core::process_resumed{span});
    // Timers of the loop did not run meanwhile.
    arm_timer();
}

auto process::reduce(core::time_point now, core::event const& incoming) -> void
{
    auto out = core::effects{};
    core::reduce(m_node, now, incoming, out);
    for (auto& wanted : out)
        carry_out(wanted);
}

auto process::read_clock() -> void
{
    feed(core::clock_read{wall_clock()});
    auto const* held = m_node.m_entry   ? &m_node.m_entry->held_lease()
                       : m_node.m_agent ? &m_node.m_agent->held_lease()
                                        : nullptr;
    if (held != nullptr)
    {
        m_metrics.observe(
            {"hickorylatch_lease_age_seconds",
             {},
             std::chrono::duration<double>(m_loop.now() - held->granted_at())
                 .count()});
        m_metrics.observe({"hickorylatch_configuration_version",
                           {},
                           static_cast<double>(held->config().m_version)});
    }
    count_messages();
    if (m_durable)
        watch_disk();
    if (m_spans)
        m_spans->flush();
    m_clock.start(clock_interval);
}

auto process::count_messages() -> void
{
    for (auto type = std::size_t{0}; type < m_sent.size(); ++type)
        if (auto const count = std::exchange(m_sent[type], 0); count != 0)
            m_metrics.observe(
                {"hickorylatch_messages_total",
                 {{"type", std::string{core::message_name(type)}}},
                 static_cast<double>(count)});
}

auto process::watch_disk() -> void
{
    auto const is_full = m_durable->take_waited_for_space();
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
    // Bytes for a VM that is gone are never taken.
    auto const has_messages =
        m_links->unsent() != 0 && m_flush_rounds < link_flush_rounds_limit;
    if ((has_messages || has_answers) && m_flush_rounds < flush_rounds_limit)
        m_flush.start(flush_interval);
    else
        m_loop.stop();
}

auto process::carry_out(core::effect& wanted) -> void
{
    std::visit(
        [this](auto& each)
        {
            carry_out(each);
        },
        wanted);
}

auto process::carry_out(core::send& wanted) -> void
{
    ++m_sent[wanted.m_message.index()];
    m_links->send(wanted.m_to, wanted.m_message);
}

auto process::carry_out(core::send_copies& wanted) -> void
{
    m_sent[wanted.m_message.index()] += wanted.m_to.size();
    m_links->send(wanted.m_to, wanted.m_message);
}

auto process::carry_out(core::append_log& wanted) -> void
{
    if (m_durable)
        return m_durable->append(std::move(wanted));
    // A volatile replica holds its log in memory only.
    m_loop.post(
        [this, done = core::log_synced{wanted.m_write}]
        {
            feed(done);
        });
}

auto process::carry_out(core::save_snapshot& wanted) -> void
{
    if (m_durable)
        return m_durable->save(std::move(wanted.m_snapshot));
    m_loop.post(
        [this, done = core::snapshot_saved{wanted.m_snapshot.m_last_index}]
        {
            snapshot_saved(done);
        });
}

auto process::snapshot_saved(core::snapshot_saved const& done) -> void
{
    feed(done);
    m_links->set_cluster(m_node.m_control->cluster());
}

auto process::carry_out(core::start_call& wanted) -> void
{
    m_calls->start(wanted);
}

auto process::carry_out(core::cancel_call& wanted) -> void
{
    m_calls->cancel(wanted);
}

auto process::carry_out(core::set_timer& wanted) -> void
{
    // Most deadlines are put off again and again before they pass. A timer that
    // runs too early finds that out at less cost than setting it each time.
    m_wake_at = wanted.m_at;
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
    feed(core::timer_fired{});
}

auto process::carry_out(core::keep_links& wanted) -> void
{
    m_links->set_targets(wanted.m_addresses);
}

auto process::carry_out(core::log_line& wanted) -> void
{
    m_log.write(wanted);
}

auto process::carry_out(core::record_span& wanted) -> void
{
    if (m_spans)
        m_spans->write(wanted);
}

auto process::carry_out(core::observe_metric& wanted) -> void
{
    m_metrics.observe(wanted);
}

auto process::carry_out(core::exit_process& wanted) -> void
{
    static_cast<void>(wanted);
    stop_accepting();
    finish_when_flushed();
}

auto process::stop_accepting() -> void
{
    for (auto const& server : m_servers)
        server->stop_accepting();
}

auto process::carry_out(core::answer_job& wanted) -> void
{
    m_job_answered.emit(wanted);
}

auto process::carry_out(core::answer_pending_count& wanted) -> void
{
    m_pending_answered.emit(wanted);
}

auto process::carry_out(core::start_run& wanted) -> void
{
    m_run_start_wanted.emit(wanted);
}

auto process::carry_out(core::stop_run& wanted) -> void
{
    m_run_stop_wanted.emit(wanted);
}

auto process::carry_out(core::poll_runs& wanted) -> void
{
    m_poll_wanted.emit(wanted);
}

auto process::carry_out(core::close_idle_callers& wanted) -> void
{
    static_cast<void>(wanted);
    for (auto const& server : m_servers)
        server->close_idle();
}

auto process::next_exchange() -> core::exchange_id
{
    return ++m_exchange;
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

auto process::pending_answered()
    -> sigc::signal<void(core::answer_pending_count const&)>&
{
    return m_pending_answered;
}

auto process::operation_answered()
    -> sigc::signal<void(core::reply_operator const&)>&
{
    return m_operation_answered;
}

auto process::run_start_wanted() -> sigc::signal<void(core::start_run const&)>&
{
    return m_run_start_wanted;
}

auto process::run_stop_wanted() -> sigc::signal<void(core::stop_run const&)>&
{
    return m_run_stop_wanted;
}

auto process::poll_wanted() -> sigc::signal<void(core::poll_runs const&)>&
{
    return m_poll_wanted;
}

auto process::reload_requested() -> sigc::signal<void()>&
{
    return m_signals.reopen_requested();
}

} // namespace hickorylatch::process
