#include "core/roles/fake_system.hpp"

#include <algorithm>
#include <stdexcept>
#include <utility>

namespace hickorylatch::test
{

namespace
{

// The tests don't encode images; the bytes hold the number of a stored image.
auto saved_images() -> std::vector<core::control_image>&
{
    static auto saved = std::vector<core::control_image>{};
    return saved;
}

auto encode(core::control_image const& image) -> std::string
{
    saved_images().push_back(image);
    return std::to_string(saved_images().size());
}

auto decode(std::string_view bytes) -> std::optional<core::control_image>
{
    if (bytes.empty())
        return std::nullopt;
    return saved_images().at(std::stoul(std::string{bytes}) - 1);
}

constexpr auto link_event_delay = std::chrono::milliseconds{5};

} // namespace

fake_system::fake_system(std::uint64_t seed, fault_plan plan)
    : m_run_time{[](std::string const&)
                 {
                     return std::chrono::milliseconds{100};
                 }},
      m_succeeds{[](std::string const&, std::string const&)
                 {
                     return true;
                 }},
      m_random{seed}, m_plan{plan}
{
}

auto fake_system::add_control(std::string const& name) -> void
{
    auto& added = m_processes[name];
    added.m_disk = std::make_shared<fake_disk>();
    added.m_disk->m_state.m_identity = core::node_id{m_random()};
    added.m_create = [this, name, disk = added.m_disk]
    {
        auto made = std::make_unique<core::node>();
        made->m_id = disk->m_state.m_identity;
        made->m_name = made->m_address = name;
        auto limits = core::control_settings{};
        limits.m_snapshot_interval = m_plan.m_snapshot_interval;
        made->m_control.emplace(limits, core::replica_settings{}, disk->m_state,
                                core::image_codec{encode, decode}, name);
        return made;
    };
    start_process(name);
}

auto fake_system::add_entry(std::string const& name) -> void
{
    m_processes[name].m_create = [this, name]
    {
        auto made = std::make_unique<core::node>();
        made->m_id = core::node_id{m_random()};
        made->m_name = name;
        made->m_entry.emplace();
        return made;
    };
    start_process(name);
}

auto fake_system::add_agent(std::string const& name, core::agent_kind kind,
                            std::string const& service, std::uint32_t slots,
                            std::string const& failure_domain) -> void
{
    m_processes[name].m_create =
        [this, name, kind, service, slots, failure_domain]
    {
        auto made = std::make_unique<core::node>();
        made->m_id = core::node_id{m_random()};
        made->m_name = name;
        auto info = core::agent_info{};
        info.m_node = made->m_id;
        info.m_name = name;
        info.m_kind = kind;
        info.m_service = service;
        info.m_failure_domain = failure_domain;
        info.m_slots = slots;
        info.m_cores = slots;
        info.m_memory_mb = 1024 * slots;
        made->m_agent.emplace(info);
        return made;
    };
    start_process(name);
}

auto fake_system::bootstrap() -> void
{
    auto controls = std::vector<std::string>{};
    for (auto const& [name, each] : m_processes)
    {
        if (each.m_disk)
            controls.push_back(name);
    }
    operate(controls.front(), core::bootstrap_control_group{
                                  static_cast<std::uint32_t>(controls.size())});
    if (!run_until(
            [this]
            {
                return !leader().empty();
            },
            std::chrono::seconds{10}))
        throw std::runtime_error{"no leader after founding"};
    auto change = core::change_configuration{};
    change.m_request_id = "first";
    change.m_configuration.m_customers = {{"acme", "rahim", 5, 0},
                                          {"urgent", "salma", 9, 0}};
    change.m_configuration.m_services = {{"desk", {"/stock"}, 10'000, 30'000}};
    operate(leader(), change);
    run_for(std::chrono::milliseconds{500});
}

auto fake_system::submit(std::string const& entry, core::submission work)
    -> core::exchange_id
{
    auto const exchange = ++m_exchange;
    deliver(entry, core::request_arrived{exchange, std::move(work), 0});
    return exchange;
}

auto fake_system::operate(std::string const& name, core::operation asked)
    -> core::exchange_id
{
    auto const exchange = ++m_exchange;
    deliver(name, core::operation_arrived{exchange, std::move(asked)});
    return exchange;
}

auto fake_system::abandon(std::string const& name, core::exchange_id exchange)
    -> void
{
    m_abandoned.insert(exchange);
    deliver(name, core::request_abandoned{exchange});
}

auto fake_system::stop(std::string const& name) -> void
{
    deliver(name, core::stop_requested{});
}

auto fake_system::kill(std::string const& name) -> void
{
    auto& target = m_processes.at(name);
    if (!target.m_node)
        return;
    for (auto const& [other, each] : m_processes)
        notify_link_change(name, other, false);
    ++target.m_incarnation;
    target.m_node.reset();
    target.m_is_frozen = false;
}

auto fake_system::restart(std::string const& name) -> void
{
    start_process(name);
}

auto fake_system::set_partition(std::string const& one,
                                std::string const& other, bool is_partitioned)
    -> void
{
    auto const pair = std::minmax(one, other);
    if (is_partitioned)
        m_partitions.insert(pair);
    else if (m_partitions.erase(pair) != 0)
        break_link(one, other);
}

auto fake_system::break_link(std::string const& one, std::string const& other)
    -> void
{
    auto const pair =
        std::pair<std::string, std::string>{std::minmax(one, other)};
    ++m_link_epochs[pair];
    notify_link_change(one, other, false);
    // Messages sent before the new link is open are lost as well.
    m_scheduled_actions.emplace(m_now + link_event_delay,
                                [this, pair]
                                {
                                    ++m_link_epochs[pair];
                                });
    notify_link_change(one, other, true);
}

auto fake_system::freeze(std::string const& name, bool is_frozen) -> void
{
    auto& target = m_processes.at(name);
    target.m_is_frozen = is_frozen;
    if (is_frozen || !target.m_node)
        return;
    // A resumed process first gets the deferred events, in order.
    for (auto& [at, event] : std::exchange(target.m_deferred_events, {}))
    {
        if (auto* operation = std::get_if<core::operation_arrived>(&event))
            operation->m_waited = m_now - at;
        deliver(name, event);
    }
    deliver(name, core::timer_fired{});
}

auto fake_system::run_for(core::duration span) -> void
{
    run_until(
        []
        {
            return false;
        },
        span);
}

auto fake_system::run_until(std::function<bool()> const& is_done,
                            core::duration span) -> bool
{
    auto const end = m_now + span;
    while (!is_done())
    {
        if (m_scheduled_actions.empty() ||
            m_scheduled_actions.begin()->first > end)
        {
            m_now = end;
            return false;
        }
        auto const next = m_scheduled_actions.begin();
        m_now = std::max(m_now, next->first);
        auto const action = std::move(next->second);
        m_scheduled_actions.erase(next);
        action();
    }
    return true;
}

auto fake_system::answer(core::exchange_id exchange) const
    -> client_answer const*
{
    auto const found = m_client_answers.find(exchange);
    return found == m_client_answers.end() ? nullptr : &found->second;
}

auto fake_system::operator_answer(core::exchange_id exchange) const
    -> core::operate_result const*
{
    auto const found = m_operator_answers.find(exchange);
    return found == m_operator_answers.end() ? nullptr : &found->second;
}

auto fake_system::message_count(std::string const& type) const -> unsigned
{
    auto const found = m_messages.find(type);
    return found == m_messages.end() ? 0 : found->second;
}

auto fake_system::stored_entry_count(std::string const& name) const
    -> std::size_t
{
    return m_processes.at(name).m_disk->m_state.m_entries.size();
}

auto fake_system::sync_count(std::string const& name) const -> unsigned
{
    auto const found = m_syncs.find(name);
    return found == m_syncs.end() ? 0 : found->second;
}

auto fake_system::start_count(std::string const& body) const -> unsigned
{
    auto const found = m_starts.find(body);
    return found == m_starts.end() ? 0 : found->second;
}

auto fake_system::node(std::string const& name) -> core::node&
{
    return *m_processes.at(name).m_node;
}

auto fake_system::is_alive(std::string const& name) const -> bool
{
    return m_processes.at(name).m_node != nullptr;
}

auto fake_system::leader() const -> std::string
{
    for (auto const& [name, each] : m_processes)
    {
        if (each.m_node && each.m_node->m_control && !each.m_is_frozen &&
            each.m_node->m_control->is_leading(m_now))
            return name;
    }
    return {};
}

auto fake_system::now() const -> core::time_point
{
    return m_now;
}

auto fake_system::random() -> std::mt19937_64&
{
    return m_random;
}

auto fake_system::start_process(std::string const& name) -> void
{
    auto& target = m_processes.at(name);
    ++target.m_incarnation;
    target.m_is_frozen = false;
    target.m_deferred_events.clear();
    target.m_node = target.m_create();
    deliver(name, core::clock_read{1'000'000});
    deliver(name, core::started{m_random()});
    for (auto const& [other, each] : m_processes)
    {
        auto const has_control = target.m_disk || each.m_disk;
        if (other != name && has_control)
            notify_link_change(name, other, true);
    }
}

auto fake_system::deliver(std::string const& name, core::event const& incoming)
    -> void
{
    auto& target = m_processes.at(name);
    if (!target.m_node)
        return;
    if (target.m_is_frozen)
    {
        target.m_deferred_events.emplace_back(m_now, incoming);
        return;
    }
    auto out = core::effects{};
    core::reduce(*target.m_node, m_now, incoming, out);
    execute_effects(name, out);
}

auto fake_system::execute_effects(std::string const& name, core::effects& out)
    -> void
{
    for (auto& effect : out)
    {
        if (auto* sent = std::get_if<core::send>(&effect))
            execute(name, *sent);
        else if (auto* write = std::get_if<core::append_log>(&effect))
            execute(name, *write);
        else if (auto* save = std::get_if<core::save_snapshot>(&effect))
            execute(name, *save);
        else if (auto* call = std::get_if<core::start_call>(&effect))
            execute(name, *call);
        else if (auto const* stopped = std::get_if<core::cancel_call>(&effect))
            schedule(
                std::chrono::milliseconds{1}, name,
                core::call_finished{stopped->m_attempt,
                                    core::uncertain(core::reason::cancelled),
                                    {}});
        else if (auto* done = std::get_if<core::reply>(&effect))
            m_client_answers[done->m_exchange] = {done->m_verdict,
                                                  done->m_answers, m_now};
        else if (auto* result = std::get_if<core::reply_operator>(&effect))
            m_operator_answers[result->m_exchange] = result->m_result;
        else if (auto const* check = std::get_if<core::check_exchange>(&effect))
        {
            if (!m_abandoned.contains(check->m_exchange))
                schedule(
                    std::chrono::milliseconds{0}, name,
                    core::exchange_checked{check->m_exchange, check->m_check});
        }
        else if (std::holds_alternative<core::exit_process>(effect))
            schedule(std::chrono::milliseconds{0}, name,
                     core::stop_requested{});
        else if (auto const* timer = std::get_if<core::set_timer>(&effect))
        {
            auto const generation = ++m_processes.at(name).m_timer_generation;
            if (timer->m_at == core::never)
                continue;
            m_scheduled_actions.emplace(
                std::max(timer->m_at, m_now),
                [this, name, generation]
                {
                    auto& target = m_processes.at(name);
                    if (target.m_timer_generation != generation)
                        return;
                    if (target.m_node)
                        target.m_node->m_timer = core::never;
                    deliver(name, core::timer_fired{});
                });
        }
    }
    auto& self = m_processes.at(name);
    if (self.m_node && self.m_node->m_has_exited)
        kill(name);
}

auto fake_system::execute(std::string const& name, core::send& sent) -> void
{
    ++m_messages[std::string{core::message_name(sent.m_message)}];
    auto const to = find(sent.m_to);
    if (to.empty() || is_partitioned(name, to))
        return;
    if (m_random() % 1000 < m_plan.m_link_break_per_mille)
    {
        break_link(name, to);
        return;
    }
    auto const delay_range =
        (m_plan.m_delay_maximum - m_plan.m_delay_minimum).count() + 1;
    auto const delay =
        m_plan.m_delay_minimum +
        core::duration{static_cast<std::int64_t>(
            m_random() % static_cast<std::uint64_t>(delay_range))};
    // A link delivers its messages in order.
    auto& last = m_last_arrivals[{name, to}];
    last = std::max(last, m_now + delay);
    auto const from = m_processes.at(name).m_node->m_id;
    auto const pair =
        std::pair<std::string, std::string>{std::minmax(name, to)};
    auto const incarnation = m_processes.at(to).m_incarnation;
    m_scheduled_actions.emplace(
        last,
        [this, to, incarnation, pair, epoch = m_link_epochs[pair],
         received = core::message_received{from, std::move(sent.m_message)}]
        {
            auto const is_intact =
                m_link_epochs[pair] == epoch &&
                m_processes.at(to).m_incarnation == incarnation;
            if (is_intact)
                deliver(to, received);
        });
}

auto fake_system::execute(std::string const& name, core::append_log& write)
    -> void
{
    auto const incarnation = m_processes.at(name).m_incarnation;
    m_scheduled_actions.emplace(
        m_now + m_plan.m_sync_delay,
        [this, name, incarnation, write = std::move(write)]
        {
            auto& target = m_processes.at(name);
            if (target.m_incarnation != incarnation)
                return;
            auto& state = target.m_disk->m_state;
            if (write.m_hard_state)
                state.m_hard_state = *write.m_hard_state;
            if (write.m_truncate_from != 0)
                std::erase_if(state.m_entries,
                              [&](core::log_entry const& entry)
                              {
                                  return entry.m_index >= write.m_truncate_from;
                              });
            state.m_entries.insert(state.m_entries.end(),
                                   write.m_entries.begin(),
                                   write.m_entries.end());
            ++m_syncs[name];
            deliver(name, core::log_synced{write.m_write});
        });
}

auto fake_system::execute(std::string const& name, core::save_snapshot& save)
    -> void
{
    auto const incarnation = m_processes.at(name).m_incarnation;
    m_scheduled_actions.emplace(
        m_now + m_plan.m_sync_delay,
        [this, name, incarnation, saved = std::move(save.m_snapshot)]
        {
            auto& target = m_processes.at(name);
            if (target.m_incarnation != incarnation)
                return;
            auto& state = target.m_disk->m_state;
            state.m_snapshot = saved;
            std::erase_if(state.m_entries,
                          [&](core::log_entry const& entry)
                          {
                              return entry.m_index <= saved.m_last_index;
                          });
            deliver(name, core::snapshot_saved{saved.m_last_index});
        });
}

auto fake_system::execute(std::string const& name, core::start_call& call)
    -> void
{
    auto const& body = call.m_task.m_body;
    ++m_starts[body];
    auto const succeeds = m_succeeds(name, body);
    auto answer = core::task_answer{
        succeeds, static_cast<std::uint16_t>(succeeds ? 200 : 500),
        "answer to " + body};
    schedule(
        m_run_time(body), name,
        core::call_finished{call.m_attempt,
                            {core::run_state::ran, core::reason::none, {}, 0},
                            std::move(answer)});
}

auto fake_system::schedule(core::duration delay, std::string const& name,
                           core::event incoming) -> void
{
    auto const incarnation = m_processes.at(name).m_incarnation;
    m_scheduled_actions.emplace(
        m_now + delay,
        [this, name, incarnation, incoming = std::move(incoming)]
        {
            if (m_processes.at(name).m_incarnation == incarnation)
                deliver(name, incoming);
        });
}

auto fake_system::notify_link_change(std::string const& one,
                                     std::string const& other, bool is_up)
    -> void
{
    auto const notify =
        [this, is_up](std::string const& to, std::string const& about)
    {
        auto const& subject = m_processes.at(about);
        if (!m_processes.at(to).m_node || !subject.m_node || to == about)
            return;
        if (is_up)
            schedule(link_event_delay, to,
                     core::peer_connected{core::make_hello(*subject.m_node)});
        else
            schedule(link_event_delay, to,
                     core::peer_disconnected{subject.m_node->m_id});
    };
    notify(one, other);
    notify(other, one);
}

auto fake_system::find(core::node_id node) const -> std::string
{
    for (auto const& [name, each] : m_processes)
    {
        if (each.m_node && each.m_node->m_id == node)
            return name;
    }
    return {};
}

auto fake_system::is_partitioned(std::string const& one,
                                 std::string const& other) const -> bool
{
    return m_partitions.contains(std::minmax(one, other));
}

auto make_request(std::string const& path, std::string const& body)
    -> core::submission
{
    auto work = core::submission{};
    work.m_service = "desk";
    work.m_path = path;
    work.m_customer = "acme";
    work.m_key = path == "/stock" ? "" : body;
    work.m_submitted_at = 1'000'000;
    work.m_tasks.resize(1);
    work.m_tasks[0].m_body = body;
    return work;
}

auto make_job(std::string const& key, std::size_t tasks) -> core::submission
{
    auto work = core::submission{};
    work.m_kind = core::submission_kind::job;
    work.m_schema_version = 1;
    work.m_customer = "acme";
    work.m_key = key;
    work.m_submitted_at = 1'000'000;
    work.m_tasks.resize(tasks);
    for (auto number = std::size_t{0}; number < tasks; ++number)
        work.m_tasks[number].m_body = key + "/" + std::to_string(number);
    return work;
}

} // namespace hickorylatch::test
