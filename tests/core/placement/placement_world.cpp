#include "core/placement/placement_world.hpp"

#include "core/placement/contact_timeouts.hpp"

#include <boost/test/unit_test.hpp>

#include <algorithm>

namespace hickorylatch::test
{

namespace
{

using std::chrono::microseconds;
using std::chrono::milliseconds;

constexpr auto link_delay = milliseconds{1};
constexpr auto worker_delay = microseconds{200};
constexpr auto link_timeout = milliseconds{360};
constexpr auto reconnect_delay = milliseconds{50};
constexpr auto late_order_delay = std::chrono::seconds{2};
constexpr auto report_interval = milliseconds{1500};
constexpr auto control_node = core::node_id{9'999};

auto run_time_of(core::start_run const& order) -> core::duration
{
    return microseconds{std::stoll(order.m_body)};
}

auto names_queues(core::message const& message) -> bool
{
    if (auto const* order = std::get_if<core::order_runs>(&message))
        return order->m_queue.has_value();
    if (auto const* load = std::get_if<core::worker_load>(&message))
        return load->m_running.has_value();
    auto const* ends = std::get_if<core::runs_ended>(&message);
    return ends != nullptr &&
           std::ranges::any_of(ends->m_ends,
                               [](core::run_end const& each)
                               {
                                   return each.m_beside.has_value();
                               });
}

} // namespace

auto make_job(std::string id, std::uint32_t tasks, core::duration declared,
              core::duration actual, std::uint32_t millicores) -> core::step_job
{
    auto job = core::step_job{};
    job.m_id = std::move(id);
    job.m_body = std::to_string(actual.count());
    auto step = core::job_step{};
    step.m_count = tasks;
    step.m_needs = {millicores, 64, 0};
    step.m_declared_ms = static_cast<std::uint32_t>(
        std::chrono::duration_cast<milliseconds>(declared).count());
    job.m_steps = {step};
    return job;
}

placement_world::placement_world(std::uint64_t seed)
{
    m_random.seed(seed);
}

auto placement_world::at(core::time_point when, std::function<void()> action)
    -> void
{
    m_events.emplace(when, std::move(action));
}

auto placement_world::after(core::duration delay, std::function<void()> action)
    -> void
{
    at(m_now + delay, std::move(action));
}

auto placement_world::let_agents_choose_entries() -> void
{
    m_agents_choose_entries = true;
}

auto placement_world::separate_interfering_tasks() -> void
{
    m_separates_interfering_tasks = true;
}

auto placement_world::add_entry(std::string const& name,
                                std::string const& domain) -> void
{
    auto& added = m_entries[name];
    added.m_node = core::node_id{++m_last_node};
    added.m_domain = domain;
    auto settings = core::broker_settings{name, {}, domain};
    settings.m_placer.m_separates_interfering_tasks =
        m_separates_interfering_tasks;
    added.m_broker = std::make_unique<core::broker>(settings);
    for (auto& [worker, state] : m_workers)
    {
        if (!m_agents_choose_entries)
            connect(name, worker);
        else
            run_agent(state,
                      [&](core::executor& executor, core::effects& out)
                      {
                          executor.receive(m_now, control_node, known_entries(),
                                           out);
                      });
    }
}

auto placement_world::start_entry(core::broker_settings settings) -> void
{
    auto const name = settings.m_name;
    auto& added = m_entries[name];
    added.m_node = core::node_id{++m_last_node};
    added.m_domain = settings.m_failure_domain;
    added.m_broker = std::make_unique<core::broker>(std::move(settings));
    added.m_broker->start(m_now);
}

auto placement_world::open_link(std::string const& entry,
                                std::string const& worker) -> void
{
    connect(entry, worker);
}

auto placement_world::add_worker(std::string const& name,
                                 worker_model::leased_worker_settings settings,
                                 std::vector<std::string> labels,
                                 std::string const& domain) -> void
{
    auto& added = m_workers[name];
    added.m_node = core::node_id{1'000 + ++m_last_node};
    m_by_node[added.m_node] = &added;
    added.m_executor = std::make_unique<core::executor>(
        core::executor_settings{name, {}, domain});
    added.m_worker = std::make_unique<worker_model::leased_worker>(settings);
    added.m_settings = settings;
    added.m_domain = domain;
    added.m_report.m_name = name;
    added.m_report.m_incarnation = 1;
    added.m_report.m_service = "desk";
    added.m_report.m_capacity = settings.m_capacity;
    added.m_report.m_labels = std::move(labels);
    if (m_agents_choose_entries)
        run_agent(added,
                  [&](core::executor& executor, core::effects& out)
                  {
                      executor.receive(m_now, control_node, known_entries(),
                                       out);
                  });
    else
        for (auto const& [entry, state] : m_entries)
            connect(entry, name);
    report(added);
}

auto placement_world::known_entries() const -> core::process_list
{
    auto known = core::process_list{};
    for (auto const& [name, entry] : m_entries)
        known.m_entries.push_back({name, entry.m_domain});
    return known;
}

auto placement_world::evacuate(core::evacuations const& known,
                               std::vector<std::string> const& entries) -> void
{
    for (auto const& name : entries)
        run_entry(m_entries.at(name).m_node,
                  [&](core::broker& broker, core::effects& out)
                  {
                      broker.receive(m_now, control_node, known, m_random, out);
                  });
}

auto placement_world::configure(std::uint64_t version, core::duration latency)
    -> void
{
    auto config = core::configuration{};
    config.m_version = version;
    auto desk = core::service{};
    desk.m_name = "desk";
    config.m_services = {desk};
    auto rank = std::uint32_t{0};
    for (auto const* name : {"fast", "normal", "slow"})
    {
        auto queue = core::job_queue{};
        queue.m_name = name;
        queue.m_host = "desk.example";
        queue.m_path_prefix = std::string{"/"} + name + "/";
        queue.m_service = "desk";
        queue.m_rank = rank++;
        queue.m_slack_factor = 1.6;
        queue.m_latency_ms = static_cast<std::uint32_t>(
            std::chrono::duration_cast<milliseconds>(latency).count());
        queue.m_failure_limit = 3;
        config.m_queues.push_back(queue);
    }
    auto const change = core::make_patch({}, config);
    for (auto const& [name, entry] : m_entries)
        run_entry(entry.m_node,
                  [&](core::broker& broker, core::effects& out)
                  {
                      broker.receive(m_now, control_node, change, m_random,
                                     out);
                  });
    for (auto& [name, worker] : m_workers)
        run_agent(worker,
                  [&](core::executor& executor, core::effects& out)
                  {
                      executor.receive(m_now, control_node, change, out);
                  });
}

auto placement_world::submit(std::string const& entry, std::string const& queue,
                             core::step_job job, core::duration client_wait)
    -> core::exchange_id
{
    return post(entry, queue, std::move(job), client_wait, false);
}

auto placement_world::resubmit(std::string const& entry,
                               std::string const& queue, core::step_job job,
                               core::duration client_wait) -> core::exchange_id
{
    return post(entry, queue, std::move(job), client_wait, true);
}

auto placement_world::post(std::string const& entry, std::string const& queue,
                           core::step_job job, core::duration client_wait,
                           bool may_be_resent) -> core::exchange_id
{
    auto request = core::job_arrived{};
    request.m_may_be_resent = may_be_resent;
    request.m_exchange = ++m_last_exchange;
    request.m_host = "desk.example";
    request.m_path = "/" + queue + "/" + job.m_id;
    request.m_job = std::move(job);
    request.m_client_wait_ms = static_cast<std::uint32_t>(
        std::chrono::duration_cast<milliseconds>(client_wait).count());
    m_submitted[request.m_exchange] = {entry, m_now};
    run_entry(m_entries.at(entry).m_node,
              [&](core::broker& broker, core::effects& out)
              {
                  broker.arrived(m_now, request, m_random, out);
              });
    return request.m_exchange;
}

auto placement_world::abandon(core::exchange_id exchange) -> void
{
    run_entry(m_entries.at(m_submitted.at(exchange).first).m_node,
              [&](core::broker& broker, core::effects& out)
              {
                  broker.abandoned(m_now, exchange, out);
              });
}

auto placement_world::run_for(core::duration span) -> void
{
    auto const until = m_now + span;
    while (next_time() <= until)
    {
        m_now = std::max(m_now, next_time());
        tick_due();
        while (!m_events.empty() && m_events.begin()->first <= m_now)
        {
            auto const action = std::move(m_events.begin()->second);
            m_events.erase(m_events.begin());
            action();
        }
    }
    m_now = until;
}

auto placement_world::run_until_answered(core::exchange_id exchange,
                                         core::duration span) -> bool
{
    auto const until = m_now + span;
    while (answer(exchange) == nullptr && m_now < until)
        run_for(milliseconds{1});
    return answer(exchange) != nullptr;
}

auto placement_world::next_time() -> core::time_point
{
    auto first = m_events.empty() ? core::never : m_events.begin()->first;
    for (auto const& [name, entry] : m_entries)
        first = std::min(first, entry.m_due);
    for (auto const& [name, worker] : m_workers)
        first = std::min(first, worker.m_due);
    return first;
}

auto placement_world::update_due(worker_state& worker) -> void
{
    worker.m_due = std::min(worker.m_executor->next_deadline(),
                            worker.m_worker->next_event());
    if (!worker.m_waiting_polls.empty())
        worker.m_due =
            std::min(worker.m_due, worker.m_waiting_polls.begin()->first);
}

auto placement_world::find_worker(core::node_id node) -> worker_state*
{
    auto const found = m_by_node.find(node);
    return found == m_by_node.end() ? nullptr : found->second;
}

auto placement_world::tick_due() -> void
{
    for (auto const& [name, entry] : m_entries)
    {
        if (!entry.m_broker || entry.m_due > m_now)
            continue;
        run_entry(entry.m_node,
                  [&](core::broker& broker, core::effects& out)
                  {
                      broker.tick(m_now, m_random, out);
                  });
        BOOST_REQUIRE_MESSAGE(entry.m_due > m_now,
                              "a broker's next deadline has passed");
    }
    for (auto& [name, worker] : m_workers)
    {
        if (worker.m_due > m_now)
            continue;
        worker.m_worker->advance(m_now);
        answer_polls(worker);
        if (worker.m_executor->next_deadline() <= m_now)
            run_agent(worker,
                      [&](core::executor& executor, core::effects& out)
                      {
                          executor.tick(m_now, out);
                      });
        BOOST_REQUIRE_MESSAGE(worker.m_executor->next_deadline() > m_now,
                              "an executor's next deadline has passed");
        update_due(worker);
    }
}

auto placement_world::connect(std::string const& entry,
                              std::string const& worker) -> void
{
    auto const entry_node = m_entries.at(entry).m_node;
    auto& state = m_workers.at(worker);
    auto& link = m_links[{entry_node, state.m_node}];
    if (link.m_is_cut || link.m_is_up || !m_entries.at(entry).m_broker)
        return;
    link.m_is_up = true;
    ++link.m_epoch;
    auto to_agent = core::hello{};
    to_agent.m_node = entry_node;
    to_agent.m_role = core::role::entry;
    to_agent.m_address = entry;
    auto to_entry = core::hello{};
    to_entry.m_node = state.m_node;
    to_entry.m_role = core::role::agent;
    run_entry(entry_node,
              [&](core::broker& broker, core::effects& out)
              {
                  broker.connected(m_now, to_entry, out);
              });
    run_agent(state,
              [&](core::executor& executor, core::effects& out)
              {
                  executor.connected(m_now, to_agent, out);
              });
}

auto placement_world::disconnect(std::string const& entry,
                                 std::string const& worker) -> void
{
    auto const entry_node = m_entries.at(entry).m_node;
    auto& state = m_workers.at(worker);
    auto& link = m_links[{entry_node, state.m_node}];
    if (!link.m_is_up)
        return;
    link.m_is_up = false;
    ++link.m_epoch;
    run_entry(entry_node,
              [&](core::broker& broker, core::effects& out)
              {
                  broker.disconnected(m_now, state.m_node, out);
              });
    run_agent(state,
              [&](core::executor& executor, core::effects& out)
              {
                  executor.disconnected(m_now, entry_node, out);
              });
    if (state.m_wanted.contains(entry))
        after(reconnect_delay,
              [=, this]
              {
                  dial(entry, worker);
              });
}

auto placement_world::dial(std::string const& entry, std::string const& worker)
    -> void
{
    auto& state = m_workers.at(worker);
    auto const key = link_key{m_entries.at(entry).m_node, state.m_node};
    if (!state.m_wanted.contains(entry) || m_links[key].m_is_up)
        return;
    connect(entry, worker);
    if (!m_links[key].m_is_up)
        after(reconnect_delay,
              [=, this]
              {
                  dial(entry, worker);
              });
}

auto placement_world::keep_links(std::string const& worker,
                                 core::keep_links const& wanted) -> void
{
    auto& state = m_workers.at(worker);
    auto const before = std::exchange(
        state.m_wanted, {wanted.m_addresses.begin(), wanted.m_addresses.end()});
    for (auto const& entry : before)
        if (!state.m_wanted.contains(entry))
            after(core::duration{0},
                  [=, this]
                  {
                      if (!m_workers.at(worker).m_wanted.contains(entry))
                          disconnect(entry, worker);
                  });
    for (auto const& entry : state.m_wanted)
        if (!before.contains(entry))
            after(core::duration{0},
                  [=, this]
                  {
                      dial(entry, worker);
                  });
}

auto placement_world::cut(std::string const& entry, std::string const& worker,
                          bool is_cut) -> void
{
    auto const key =
        link_key{m_entries.at(entry).m_node, m_workers.at(worker).m_node};
    m_links[key].m_is_cut = is_cut;
    if (is_cut)
        after(link_timeout,
              [=, this]
              {
                  if (m_links[key].m_is_cut)
                      disconnect(entry, worker);
              });
    else
        after(reconnect_delay,
              [=, this]
              {
                  disconnect(entry, worker);
                  if (!m_agents_choose_entries)
                      connect(entry, worker);
              });
}

auto placement_world::kill_entry(std::string const& name) -> void
{
    for (auto const& [worker, state] : m_workers)
        disconnect(name, worker);
    m_entries.at(name).m_broker.reset();
    m_entries.at(name).m_due = core::never;
}

auto placement_world::set_fault(std::string const& worker, order_fault fault,
                                unsigned percent) -> void
{
    m_workers.at(worker).m_fault = fault;
    m_workers.at(worker).m_fault_percent = percent;
}

auto placement_world::draw_fault(worker_state const& worker) -> order_fault
{
    return m_random.number() % 100 < worker.m_fault_percent ? worker.m_fault
                                                            : order_fault::none;
}

auto placement_world::set_poll_loss(std::string const& worker, unsigned percent)
    -> void
{
    m_workers.at(worker).m_poll_loss_percent = percent;
}

auto placement_world::lose_polls(std::string const& worker, unsigned count)
    -> void
{
    m_workers.at(worker).m_lost_polls = count;
}

auto placement_world::restart_worker(std::string const& name) -> void
{
    auto& state = m_workers.at(name);
    state.m_earlier_overloads += state.m_worker->overloads();
    state.m_earlier_starts += state.m_worker->starts();
    state.m_worker =
        std::make_unique<worker_model::leased_worker>(state.m_settings);
    state.m_waiting_polls.clear();
    ++state.m_report.m_incarnation;
    state.m_report.m_sequence = 0;
    state.m_report.m_is_accepting = true;
    report(state);
}

auto placement_world::drain_worker(std::string const& name) -> void
{
    auto& state = m_workers.at(name);
    state.m_report.m_is_accepting = false;
    report(state);
}

auto placement_world::restart_agent(std::string const& name) -> void
{
    for (auto const& [entry, state] : m_entries)
        disconnect(entry, name);
    auto& state = m_workers.at(name);
    m_by_node.erase(state.m_node);
    state.m_node = core::node_id{1'000 + ++m_last_node};
    m_by_node[state.m_node] = &state;
    state.m_executor = std::make_unique<core::executor>(
        core::executor_settings{name, {}, state.m_domain});
    state.m_waiting_polls.clear();
    for (auto const& [entry, each] : m_entries)
        connect(entry, name);
    report(state);
}

auto placement_world::idle_closings() const -> unsigned
{
    return m_idle_closings;
}

auto placement_world::links_of(std::string const& entry) const -> unsigned
{
    auto const node = m_entries.at(entry).m_node;
    return static_cast<unsigned>(std::ranges::count_if(
        m_links,
        [node](auto const& each)
        {
            return each.first.first == node && each.second.m_is_up;
        }));
}

auto placement_world::worker(std::string const& name)
    -> worker_model::leased_worker&
{
    return *m_workers.at(name).m_worker;
}

auto placement_world::report(worker_state& worker) -> void
{
    ++worker.m_report.m_sequence;
    worker.m_report.m_clock_ms = worker.m_worker->clock_ms(m_now);
    run_agent(worker,
              [&](core::executor& executor, core::effects& out)
              {
                  executor.reported(m_now, worker.m_report, out);
              });
    auto const incarnation = worker.m_report.m_incarnation;
    after(report_interval,
          [&worker, incarnation, this]
          {
              if (worker.m_report.m_incarnation == incarnation &&
                  worker.m_fault != order_fault::silent)
                  report(worker);
          });
}

auto placement_world::run_entry(
    core::node_id node,
    std::function<void(core::broker&, core::effects&)> const& event) -> void
{
    auto const found = std::ranges::find(m_entries, node,
                                         [](auto const& each)
                                         {
                                             return each.second.m_node;
                                         });
    if (found == m_entries.end() || !found->second.m_broker)
        return;
    auto out = core::effects{};
    event(*found->second.m_broker, out);
    found->second.m_due = found->second.m_broker->next_deadline();
    execute(node, out);
}

auto placement_world::run_agent(
    worker_state& worker,
    std::function<void(core::executor&, core::effects&)> const& event) -> void
{
    auto out = core::effects{};
    event(*worker.m_executor, out);
    execute(worker.m_node, out);
    update_due(worker);
}

auto placement_world::execute(core::node_id from, core::effects& out) -> void
{
    for (auto& effect : out)
    {
        if (auto* sent = std::get_if<core::send>(&effect))
            deliver(from, sent->m_to, std::move(sent->m_message));
        else if (auto const* line = std::get_if<core::log_line>(&effect))
            ++m_logged[line->m_event];
        else if (auto const* done = std::get_if<core::answer_job>(&effect))
            m_answers[done->m_exchange] = {
                done->m_verdict, done->m_state, m_now,
                m_now - m_submitted.at(done->m_exchange).second};
        else if (std::holds_alternative<core::close_idle_callers>(effect))
            ++m_idle_closings;
        else if (auto* const worker = find_worker(from))
            execute(*worker, effect);
    }
}

auto placement_world::execute(worker_state& worker, core::effect const& effect)
    -> void
{
    if (auto const* kept = std::get_if<core::keep_links>(&effect))
        keep_links(worker.m_report.m_name, *kept);
    else if (auto const* started = std::get_if<core::start_run>(&effect))
        start(worker, *started);
    else if (auto const* stopped = std::get_if<core::stop_run>(&effect))
        stop(worker, *stopped);
    else if (auto const* check = std::get_if<core::check_worker>(&effect))
        answer_check(worker, check->m_target);
    else if (auto const* poll = std::get_if<core::poll_runs>(&effect))
    {
        auto const is_lost =
            (worker.m_lost_polls != 0 && worker.m_lost_polls-- != 0) ||
            (worker.m_poll_loss_percent != 0 &&
             m_random.number() % 100 < worker.m_poll_loss_percent);
        if (worker.m_fault == order_fault::silent || is_lost)
        {
            auto const node = worker.m_node;
            after(milliseconds{poll->m_wait_ms} + core::worker_answer_timeout,
                  [&worker, node, number = poll->m_poll, this]
                  {
                      auto no_answer = core::runs_polled{};
                      no_answer.m_poll = number;
                      if (worker.m_node == node)
                          run_agent(
                              worker,
                              [&](core::executor& executor, core::effects& out)
                              {
                                  executor.answered(m_now, no_answer, out);
                              });
                  });
            return;
        }
        worker.m_waiting_polls.emplace(
            m_now + worker_delay + milliseconds{poll->m_wait_ms}, *poll);
        static_cast<void>(worker.m_worker->poll(
            m_now, poll->m_acknowledged, poll->m_lease_until_ms,
            poll->m_target.m_fencing_token));
    }
}

auto placement_world::start(worker_state& worker, core::start_run const& order)
    -> void
{
    auto const execute_order = [&worker, order, this]
    {
        auto start = worker_model::start_order{};
        start.m_run = order.m_run;
        start.m_needs = {6'000, 64, 0};
        start.m_run_time = run_time_of(order);
        start.m_lease_until_ms = order.m_lease_until_ms;
        start.m_fencing_token = order.m_target.m_fencing_token;
        if (order.m_target.m_incarnation != worker.m_report.m_incarnation)
            return core::worker_answer::other_lifetime;
        auto const result = worker.m_worker->start(m_now, start);
        update_due(worker);
        m_started_runs.push_back(std::to_string(m_now.count()) + " " +
                                 worker.m_report.m_name + " " +
                                 order.m_run.m_job_id + " " +
                                 std::to_string(order.m_run.m_task.m_task));
        if (result == core::worker_answer::accepted)
            for (auto const& [name, other] : m_workers)
                if (&other != &worker &&
                    other.m_worker->is_running(order.m_run.m_job_id,
                                               order.m_run.m_task))
                    ++m_double_runs;
        return result;
    };
    auto const node = worker.m_node;
    auto const reply = [&worker, node, order, this](core::worker_answer result)
    {
        if (worker.m_node != node)
            return;
        auto answer = core::run_start_answered{};
        answer.m_run = order.m_run;
        answer.m_answer = result;
        answer.m_incarnation = order.m_target.m_incarnation;
        if (result != core::worker_answer::unknown)
            answer.m_clock_ms = worker.m_worker->clock_ms(m_now);
        run_agent(worker,
                  [&](core::executor& executor, core::effects& out)
                  {
                      executor.answered(m_now, answer, out);
                  });
    };
    auto const fault = draw_fault(worker);
    if (fault == order_fault::none)
        after(worker_delay,
              [=]
              {
                  reply(execute_order());
              });
    else if (fault == order_fault::crash)
        after(worker_delay,
              [&worker, execute_order, reply, this]
              {
                  auto const result = execute_order();
                  if (result != core::worker_answer::accepted)
                      return reply(result);
                  restart_worker(worker.m_report.m_name);
                  reply(core::worker_answer::unknown);
              });
    else
    {
        after(core::worker_answer_timeout,
              [=]
              {
                  reply(core::worker_answer::unknown);
              });
        if (fault == order_fault::late)
            after(late_order_delay,
                  [=]
                  {
                      execute_order();
                  });
        if (fault == order_fault::lost_answer)
            after(worker_delay,
                  [=]
                  {
                      execute_order();
                  });
    }
}

auto placement_world::stop(worker_state& worker, core::stop_run const& order)
    -> void
{
    auto const drawn = draw_fault(worker);
    // Only starts make the worker crash.
    auto const fault = drawn == order_fault::crash ? order_fault::none : drawn;
    auto const delay = fault == order_fault::late
                           ? core::duration{late_order_delay}
                           : core::duration{worker_delay};
    auto const node = worker.m_node;
    auto const reply =
        [&worker, node, this](core::run_stop_answered const& answer)
    {
        if (worker.m_node == node)
            run_agent(worker,
                      [&](core::executor& executor, core::effects& out)
                      {
                          executor.answered(m_now, answer, out);
                      });
    };
    if (fault != order_fault::none)
        after(core::worker_answer_timeout,
              [=]
              {
                  reply({order.m_run, core::worker_answer::unknown, 0});
              });
    if (fault == order_fault::silent)
        return;
    after(delay,
          [&worker, fault, order, reply, this]
          {
              auto answer = core::run_stop_answered{};
              answer.m_run = order.m_run;
              answer.m_answer = worker.m_worker->stop(
                  m_now, order.m_run, order.m_target.m_fencing_token);
              answer.m_clock_ms = worker.m_worker->clock_ms(m_now);
              update_due(worker);
              if (fault == order_fault::none)
                  reply(answer);
          });
}

auto placement_world::answer_check(worker_state& worker,
                                   core::worker_target const& target) -> void
{
    auto answer = core::worker_checked{};
    answer.m_name = target.m_worker;
    answer.m_incarnation = target.m_incarnation;
    if (worker.m_fault == order_fault::silent)
        answer.m_answer = core::worker_answer::unknown;
    else
    {
        answer.m_answer =
            target.m_worker == worker.m_report.m_name &&
                    target.m_incarnation == worker.m_report.m_incarnation
                ? worker.m_worker->poll(m_now, 0, 0, target.m_fencing_token)
                      .m_answer
                : core::worker_answer::other_lifetime;
        answer.m_clock_ms = worker.m_worker->clock_ms(m_now);
    }
    auto const node = worker.m_node;
    after(worker_delay,
          [&worker, node, answer, this]
          {
              if (worker.m_node == node)
                  run_agent(worker,
                            [&](core::executor& executor, core::effects& out)
                            {
                                executor.answered(m_now, answer, out);
                            });
          });
}

auto placement_world::answer_polls(worker_state& worker) -> void
{
    while (!worker.m_waiting_polls.empty() &&
           (worker.m_worker->has_ends() ||
            worker.m_waiting_polls.begin()->first <= m_now))
    {
        auto const poll = worker.m_waiting_polls.begin()->second;
        worker.m_waiting_polls.erase(worker.m_waiting_polls.begin());
        auto listed = worker.m_worker->poll(m_now, poll.m_acknowledged, 0,
                                            poll.m_target.m_fencing_token);
        listed.m_poll = poll.m_poll;
        listed.m_incarnation = worker.m_report.m_incarnation;
        auto const node = worker.m_node;
        after(worker_delay,
              [&worker, node, listed, this]
              {
                  if (worker.m_node == node)
                      run_agent(
                          worker,
                          [&](core::executor& executor, core::effects& out)
                          {
                              executor.answered(m_now, listed, out);
                          });
              });
    }
}

auto placement_world::deliver(core::node_id from, core::node_id to,
                              core::message message) -> void
{
    ++m_sent[std::string{core::message_name(message)}];
    m_sent_with_queues += names_queues(message) ? 1 : 0;
    auto const is_from_entry = from < to;
    auto const key = is_from_entry ? link_key{from, to} : link_key{to, from};
    auto const& link = m_links[key];
    if (!link.m_is_up || link.m_is_cut)
        return;
    auto const epoch = link.m_epoch;
    after(link_delay,
          [=, this]
          {
              auto const& current = m_links[key];
              if (current.m_epoch != epoch || current.m_is_cut)
                  return;
              run_entry(to,
                        [&](core::broker& broker, core::effects& out)
                        {
                            broker.receive(m_now, from, message, m_random, out);
                        });
              if (auto* const worker = find_worker(to))
                  run_agent(*worker,
                            [&](core::executor& executor, core::effects& out)
                            {
                                executor.receive(m_now, from, message, out);
                            });
          });
}

auto placement_world::answer(core::exchange_id exchange) const
    -> job_outcome const*
{
    auto const found = m_answers.find(exchange);
    return found == m_answers.end() ? nullptr : &found->second;
}

auto placement_world::now() const -> core::time_point
{
    return m_now;
}

auto placement_world::entry(std::string const& name) -> core::broker&
{
    return *m_entries.at(name).m_broker;
}

auto placement_world::agent(std::string const& name) -> core::executor&
{
    return *m_workers.at(name).m_executor;
}

auto placement_world::double_runs() const -> unsigned
{
    return m_double_runs;
}

auto placement_world::overloads() const -> unsigned
{
    auto total = 0U;
    for (auto const& [name, worker] : m_workers)
        total += worker.m_earlier_overloads + worker.m_worker->overloads();
    return total;
}

auto placement_world::starts() const -> unsigned
{
    auto total = 0U;
    for (auto const& [name, worker] : m_workers)
        total += worker.m_earlier_starts + worker.m_worker->starts();
    return total;
}

auto placement_world::started_runs() const -> std::vector<std::string> const&
{
    return m_started_runs;
}

auto placement_world::sent_with_queues() const -> unsigned
{
    return m_sent_with_queues;
}

auto placement_world::logged(std::string const& event) const -> unsigned
{
    auto const found = m_logged.find(event);
    return found == m_logged.end() ? 0 : found->second;
}

auto placement_world::sent(std::string const& type) const -> unsigned
{
    auto const found = m_sent.find(type);
    return found == m_sent.end() ? 0 : found->second;
}

} // namespace hickorylatch::test
