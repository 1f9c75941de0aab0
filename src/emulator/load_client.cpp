#include "emulator/load_client.hpp"

#include "core/model/traceparent.hpp"
#include "emulator/echo.hpp"

#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include <utility>

namespace hickorylatch::emulator
{

namespace json = boost::json;

namespace
{

// Shorter than the entry's own timeout, so that the entry does not close a
// connection just as a request is written to it.
constexpr auto idle_timeout = core::duration{std::chrono::seconds{2}};

// An entry answers by the deadline; calls that exceed it by the margin count as
// failed.
constexpr auto deadline_margin = core::duration{std::chrono::seconds{2}};
constexpr auto max_call_time = core::duration{std::chrono::minutes{2}};

auto unix_now() -> core::unix_milliseconds
{
    auto const now = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
}

} // namespace

struct load_client::open_request
{
    std::string m_path;
    std::string m_body;
    std::string m_key;
    core::time_point m_sent_at{0};
};

load_client::load_client(net::event_loop& loop, load_settings settings)
    : m_loop{loop}, m_settings{std::move(settings)},
      m_engine{m_settings.m_seed}, m_run_times{m_settings.m_run_times,
                                               m_settings.m_seed},
      m_run_id{std::random_device{}()}, m_arrival_timer{loop, [this]
                                                        {
                                                            send_due_requests();
                                                        }}
{
    m_trace_ids.seed(m_run_id);
    for (auto const& entry : m_settings.m_entries)
    {
        m_clients.push_back(std::make_unique<net::http_client>(
            loop, entry,
            net::http_client_settings{.m_idle_timeout = idle_timeout,
                                      .m_max_idle_connections =
                                          m_settings.m_concurrency}));
    }
}

load_client::~load_client() = default;

auto load_client::start() -> void
{
    m_next_arrival = m_loop.now();
    send_due_requests();
}

auto load_client::stop() -> void
{
    m_settings.m_count = m_arrival_count;
    m_arrival_timer.start(core::duration{0});
}

auto load_client::report() const -> load_report const&
{
    return m_report;
}

auto load_client::finished() -> sigc::signal<void()>&
{
    return m_finished;
}

auto load_client::send_due_requests() -> void
{
    auto interval = std::exponential_distribution<double>{m_settings.m_rate};
    while (m_arrival_count < m_settings.m_count &&
           m_next_arrival <= m_loop.now())
    {
        ++m_arrival_count;
        send();
        m_next_arrival += std::chrono::duration_cast<core::duration>(
            std::chrono::duration<double>{interval(m_engine)});
    }
    if (m_arrival_count < m_settings.m_count)
        return m_arrival_timer.start_at(m_next_arrival);
    if (m_open_count == 0)
        m_finished.emit();
}

auto load_client::send() -> void
{
    // Made even if not sent, so that later random draws do not depend on it.
    auto request = make_request();
    if (m_open_count >= m_settings.m_concurrency)
    {
        ++m_report.m_not_sent;
        return;
    }
    ++m_open_count;
    request.m_sent_at = m_loop.now();
    auto const call = make_call(request);
    m_clients[m_arrival_count % m_clients.size()]->start(
        call,
        [this, request = std::move(request)](net::http_result const& result)
        {
            handle_result(request, result);
        });
}

auto load_client::make_request() -> open_request
{
    auto unit = std::uniform_real_distribution<double>{0, 1};
    auto const is_other = unit(m_engine) < m_settings.m_other_share;
    auto const run_time = std::chrono::duration_cast<std::chrono::milliseconds>(
        m_run_times.draw());
    auto request = open_request{};
    request.m_path =
        is_other ? m_settings.m_other_path : m_settings.m_idempotent_path;
    request.m_key =
        std::to_string(m_run_id) + "-" + std::to_string(m_arrival_count);
    request.m_body = json::serialize(
        json::object{{"token", request.m_key},
                     {run_time_member, run_time.count()},
                     {"padding", std::string(m_settings.m_padding, 'p')}});
    return request;
}

auto load_client::make_call(open_request const& request) -> net::http_call
{
    auto customer_index = std::uniform_int_distribution<std::size_t>{
        0, m_settings.m_customers.size() - 1};
    auto call = net::http_call{};
    call.m_path = "/v1/services/" + m_settings.m_service + "/" + request.m_path;
    call.m_body = request.m_body;
    call.m_timeout = max_call_time;
    call.m_headers = {
        {"Content-Type", "application/json"},
        {"Hickorylatch-Customer",
         m_settings.m_customers[customer_index(m_engine)]},
        {"Idempotency-Key", request.m_key},
        {"Hickorylatch-Submitted-At", std::to_string(unix_now())},
        {"traceparent", core::print_traceparent(m_trace_ids.child_of({}))}};
    if (m_settings.m_deadline > core::duration{0})
    {
        auto const deadline =
            std::chrono::duration_cast<std::chrono::milliseconds>(
                m_settings.m_deadline);
        call.m_headers.emplace_back("Hickorylatch-Deadline-Ms",
                                    std::to_string(deadline.count()));
        call.m_timeout = m_settings.m_deadline + deadline_margin;
    }
    return call;
}

auto load_client::handle_result(open_request const& request,
                                net::http_result const& result) -> void
{
    --m_open_count;
    auto const response_time = m_loop.now() - request.m_sent_at;
    auto const& answer = result.m_answer;
    auto const verdict =
        net::find_header(answer.m_headers, "Hickorylatch-Verdict");
    if (result.m_error.empty())
        m_report.add_outcome(verdict.value_or("none"), answer.m_status);
    else
        m_report.add_outcome(core::to_string(result.m_run), 0);
    if (answer.m_status == 200)
    {
        auto const echoed = parse_echo(answer.m_body);
        if (echoed &&
            echoed->m_digest == request_digest(request.m_path, request.m_body))
            m_report.add_response(response_time, echoed->m_run_time);
        else
            ++m_report.m_mismatched;
    }
    if (m_open_count == 0 && m_arrival_count == m_settings.m_count)
        m_finished.emit();
}

} // namespace hickorylatch::emulator
