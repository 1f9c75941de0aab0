#ifndef HICKORYLATCH_PROCESS_AGENT_CALLS_HPP
#define HICKORYLATCH_PROCESS_AGENT_CALLS_HPP

#include "core/model/effect.hpp"
#include "net/http_client.hpp"
#include "settings/settings.hpp"

#include <sigc++/signal.h>

#include <map>

namespace hickorylatch::process
{

/// Carries out `start_call` and `cancel_call` at the endpoint or worker beside
/// an agent.
class agent_calls
{
public:
    /// A larger answer than `answer_limit` bytes is an error.
    agent_calls(net::event_loop& loop, net::socket_address target,
                settings::agent_settings const& limits,
                std::size_t answer_limit);

    auto start(core::start_call const& call) -> void;
    auto cancel(core::cancel_call const& call) -> void;

    auto call_finished() -> sigc::signal<void(core::call_finished const&)>&;

private:
    auto finished(core::attempt_id attempt, net::http_result result) -> void;

    settings::agent_settings m_limits;
    net::http_client m_client;
    std::map<core::attempt_id, net::http_client::call_id> m_calls;
    sigc::signal<void(core::call_finished const&)> m_call_finished;
};

} // namespace hickorylatch::process

#endif
