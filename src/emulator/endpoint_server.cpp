#include "emulator/endpoint_server.hpp"

#include "emulator/echo.hpp"

#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include <algorithm>
#include <array>
#include <charconv>
#include <utility>

namespace hickorylatch::emulator
{

namespace json = boost::json;
namespace leaf = boost::leaf;

namespace
{

constexpr auto attempt_header = std::string_view{"Hickorylatch-Attempt"};
constexpr auto run_time_header = std::string_view{"Emulate-Run-Ms"};

// Usage per running task that `GET /usage` reports.
constexpr auto task_millicores = std::size_t{1'000};
constexpr auto task_memory_mb = std::size_t{512};

constexpr auto connection_limit = std::size_t{1'024};
// Long, because callers keep idle connections open for reuse.
constexpr auto read_timeout = core::duration{std::chrono::minutes{1}};

auto header_or_empty(net::http_request const& request, std::string_view name)
    -> std::string_view
{
    return net::find_header(request.m_headers, name).value_or("");
}

/// The id in "/attempts/{id}/stop"; empty for any other path.
auto stopped_attempt(std::string_view path) -> std::string_view
{
    constexpr auto prefix = std::string_view{"/attempts/"};
    constexpr auto suffix = std::string_view{"/stop"};
    if (!path.starts_with(prefix) || !path.ends_with(suffix) ||
        path.size() <= prefix.size() + suffix.size())
        return {};
    path.remove_prefix(prefix.size());
    path.remove_suffix(suffix.size());
    return path;
}

} // namespace

auto parse_failure_mode(std::string_view name) -> std::optional<failure_mode>
{
    constexpr auto names = std::to_array<std::string_view>(
        {"none", "fail", "hang", "close", "truncate"});
    auto const found = std::ranges::find(names, name);
    if (found == names.end())
        return std::nullopt;
    return static_cast<failure_mode>(found - names.begin());
}

struct endpoint_server::running_task
{
    std::string m_attempt;
    std::string m_digest;
    core::time_point m_started_at{0};
    net::timer m_end;
};

endpoint_server::endpoint_server(net::event_loop& loop,
                                 endpoint_settings const& settings)
    : m_loop{loop}, m_settings{settings}, m_run_times{settings.m_run_times,
                                                      settings.m_seed},
      m_server{loop,
               {.m_read_timeout = read_timeout,
                .m_connection_limit = connection_limit},
               [this](net::http_request const& request)
               {
                   handle(request);
               }},
      m_usage_timer{loop,
                    [this]
                    {
                        m_reported_running = m_counts.m_running;
                        m_usage_timer.start(m_settings.m_usage_lag);
                    }},
      m_stopped_timer{loop, [this]
                      {
                          m_stopped.emit();
                      }}
{
    m_usage_timer.start(m_settings.m_usage_lag);
    m_server.became_idle().connect(
        [this]
        {
            emit_stopped_if_idle();
        });
    // An abandoned task runs on and keeps its slot unless it would never end.
    m_server.exchange_abandoned().connect(
        [this](core::exchange_id exchange)
        {
            auto const found = m_running.find(exchange);
            if (found == m_running.end())
                return;
            ++m_counts.m_abandoned;
            if (!found->second->m_end.is_running())
                remove_task(exchange);
        });
}

endpoint_server::~endpoint_server() = default;

auto endpoint_server::listen(std::string_view address)
    -> leaf::result<std::uint16_t>
{
    return m_server.listen(address);
}

auto endpoint_server::stop() -> void
{
    m_is_stopping = true;
    m_server.stop_accepting();
    emit_stopped_if_idle();
}

auto endpoint_server::counts() const -> endpoint_counts const&
{
    return m_counts;
}

auto endpoint_server::stopped() -> sigc::signal<void()>&
{
    return m_stopped;
}

auto endpoint_server::handle(net::http_request const& request) -> void
{
    if (request.m_method == "GET")
        return handle_get(request);
    if (request.m_method != "POST")
        return answer(request.m_exchange, 405, {});
    if (!stopped_attempt(request.m_path).empty())
        return stop_attempt(request);
    if (request.m_path != "/emulate/mode")
        return start_task(request);
    auto const mode = parse_failure_mode(request.m_body);
    if (!mode)
        return answer(request.m_exchange, 400, "unknown failure mode\n");
    m_settings.m_mode = *mode;
    answer(request.m_exchange, 200, {});
}

auto endpoint_server::handle_get(net::http_request const& request) -> void
{
    if (request.m_path == "/usage")
    {
        auto const usage = json::object{
            {"running", m_reported_running},
            {"slots", m_settings.m_slots},
            {"used_millicores", m_reported_running * task_millicores},
            {"used_memory_mb", m_reported_running * task_memory_mb}};
        return answer(request.m_exchange, 200, json::serialize(usage));
    }
    if (request.m_path != "/counts")
        return answer(request.m_exchange, 404, {});
    if (request.m_query.empty())
        return answer(request.m_exchange, 200, m_counts.print());
    auto const starts =
        json::object{{"started", m_counts.starts_of(request.m_query)}};
    answer(request.m_exchange, 200, json::serialize(starts));
}

auto endpoint_server::start_task(net::http_request const& request) -> void
{
    auto const exchange = request.m_exchange;
    if (m_is_stopping || m_running.size() >= m_settings.m_slots)
    {
        ++m_counts.m_refused;
        return answer(exchange, 503, {});
    }
    auto task = std::unique_ptr<running_task>{new running_task{
        .m_attempt = std::string{header_or_empty(request, attempt_header)},
        .m_digest = request_digest(request.m_path, request.m_body),
        .m_started_at = m_loop.now(),
        .m_end{m_loop, [this, exchange]
               {
                   finish_task(exchange);
               }}}};
    m_counts.add_start(task->m_attempt, request.m_path, task->m_digest);
    if (m_settings.m_mode == failure_mode::fail)
        task->m_end.start(core::duration{0});
    else if (m_settings.m_mode != failure_mode::hang)
        task->m_end.start(run_time(request));
    m_running.emplace(exchange, std::move(task));
}

auto endpoint_server::stop_attempt(net::http_request const& request) -> void
{
    auto const attempt = stopped_attempt(request.m_path);
    auto const found =
        std::ranges::find_if(m_running,
                             [attempt](auto const& item)
                             {
                                 return item.second->m_attempt == attempt;
                             });
    if (found == m_running.end())
        return answer(request.m_exchange, 404, {});
    ++m_counts.m_stopped;
    answer(found->first, 410, {});
    remove_task(found->first);
    answer(request.m_exchange, 200, {});
}

auto endpoint_server::run_time(net::http_request const& request)
    -> core::duration
{
    auto const header = header_or_empty(request, run_time_header);
    auto milliseconds = std::uint32_t{0};
    auto const parsed = std::from_chars(
        header.data(), header.data() + header.size(), milliseconds);
    auto const in_body = requested_run_time(request.m_body);
    auto time = core::duration{0};
    if (!header.empty() && parsed.ec == std::errc{})
        time = std::chrono::milliseconds{milliseconds};
    else
        time = in_body ? *in_body : m_run_times.draw();
    return std::chrono::duration_cast<core::duration>(
        time * m_settings.m_straggler_factor);
}

auto endpoint_server::finish_task(core::exchange_id exchange) -> void
{
    auto const& task = *m_running.at(exchange);
    auto const body =
        print_echo({task.m_digest, m_loop.now() - task.m_started_at});
    auto const length = std::to_string(body.size());
    switch (m_settings.m_mode)
    {
    case failure_mode::none:
        ++m_counts.m_answered;
        answer(exchange, 200, body);
        break;
    case failure_mode::fail:
        ++m_counts.m_failed;
        answer(exchange, 500, {});
        break;
    case failure_mode::close:
        ++m_counts.m_failed;
        m_server.abort(exchange, "HTTP/1.1 200 OK\r\nContent-Le");
        break;
    case failure_mode::hang:
    case failure_mode::truncate:
        ++m_counts.m_failed;
        m_server.abort(exchange,
                       "HTTP/1.1 200 OK\r\nContent-Length: " + length +
                           "\r\n\r\n" + body.substr(0, body.size() / 2));
        break;
    }
    remove_task(exchange);
}

auto endpoint_server::remove_task(core::exchange_id exchange) -> void
{
    m_running.erase(exchange);
    m_counts.add_end();
    emit_stopped_if_idle();
}

auto endpoint_server::emit_stopped_if_idle() -> void
{
    if (m_is_stopping && m_running.empty() && m_server.is_idle())
        m_stopped_timer.start(core::duration{0});
}

auto endpoint_server::answer(core::exchange_id exchange, std::uint16_t status,
                             std::string_view body) -> void
{
    m_server.answer(exchange, status, {{"Content-Type", "application/json"}},
                    body);
}

} // namespace hickorylatch::emulator
