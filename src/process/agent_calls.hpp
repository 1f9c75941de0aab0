#ifndef HICKORYLATCH_PROCESS_AGENT_CALLS_HPP
#define HICKORYLATCH_PROCESS_AGENT_CALLS_HPP

#include "core/model/effect.hpp"
#include "net/http_client.hpp"
#include "settings/settings.hpp"

#include <sigc++/signal.h>

#include <map>

namespace hickorylatch::process
{

/// Executes `start_call` and `cancel_call` by HTTP at the endpoint or worker of
/// an agent.
class agent_calls
{
public:
    /// A call fails if its answer is larger than `answer_limit` bytes.
    agent_calls(net::event_loop& loop, net::socket_address target,
                settings::agent_settings const& agent,
                std::size_t answer_limit);

    auto start(core::start_call const& call) -> void;
    auto cancel(core::cancel_call const& call) -> void;

    auto call_finished() -> sigc::signal<void(core::call_finished const&)>&;

private:
    auto handle_result(core::attempt_id attempt, net::http_result result)
        -> void;

    settings::agent_settings m_settings;
    net::http_client m_client;
    std::map<core::attempt_id, net::http_client::call_id> m_calls;
    sigc::signal<void(core::call_finished const&)> m_call_finished;
};

} // namespace hickorylatch::process

#endif
