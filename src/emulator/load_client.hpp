#ifndef HICKORYLATCH_EMULATOR_LOAD_CLIENT_HPP
#define HICKORYLATCH_EMULATOR_LOAD_CLIENT_HPP

#include "core/model/random_source.hpp"
#include "emulator/load_report.hpp"
#include "emulator/run_time_distribution.hpp"
#include "net/event_loop.hpp"
#include "net/http_client.hpp"
#include "net/socket_address.hpp"
#include "net/timer.hpp"

#include <sigc++/signal.h>

#include <cstddef>
#include <cstdint>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace hickorylatch::emulator
{

struct load_settings
{
    /// Entries, used round-robin.
    std::vector<net::socket_address> m_entries;
    std::string m_service = "order-desk";
    /// Each request is sent for a random one of these.
    std::vector<std::string> m_customers = {"load"};
    std::string m_idempotent_path = "check";
    std::string m_other_path = "book";
    /// Share of requests with the other, non-idempotent path; 0 to 1.
    double m_other_share = 0.2;
    /// Mean arrivals per second.
    double m_rate = 10;
    /// Total number of arrivals.
    std::size_t m_count = 100;
    /// Maximum number of open requests; further arrivals are not sent.
    std::size_t m_concurrency = 1'000;
    /// Deadline of each request; 0 for none.
    core::duration m_deadline{0};
    run_time_bounds m_run_times;
    std::uint64_t m_seed = 1;
    /// Bytes of padding in each body.
    std::size_t m_padding = 0;
};

/// Sends requests at Poisson arrival times, whether or not earlier ones were
/// answered, and checks that each answer belongs to its own request. The same
/// seed gives the same arrivals, run times and bodies.
class load_client
{
public:
    load_client(net::event_loop& loop, load_settings settings);
    load_client(load_client const&) = delete;
    auto operator=(load_client const&) -> load_client& = delete;
    ~load_client();

    auto start() -> void;
    /// Sends no more requests and emits `finished` once open ones have ended.
    auto stop() -> void;
    [[nodiscard]] auto report() const -> load_report const&;

    /// Emitted when every request has ended.
    auto finished() -> sigc::signal<void()>&;

private:
    struct open_request;

    auto send_due_requests() -> void;
    auto send() -> void;
    auto make_request() -> open_request;
    auto make_call(open_request const& request) -> net::http_call;
    auto handle_result(open_request const& request,
                       net::http_result const& result) -> void;

    net::event_loop& m_loop;
    load_settings m_settings;
    std::mt19937_64 m_engine;
    run_time_distribution m_run_times;
    core::random_source m_trace_ids;
    /// Part of each idempotency key, so that runs do not share keys.
    std::uint64_t m_run_id = 0;
    std::size_t m_arrival_count = 0;
    std::size_t m_open_count = 0;
    core::time_point m_next_arrival{0};
    load_report m_report;
    std::vector<std::unique_ptr<net::http_client>> m_clients;
    net::timer m_arrival_timer;
    sigc::signal<void()> m_finished;
};

} // namespace hickorylatch::emulator

#endif
