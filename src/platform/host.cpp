#include "platform/host.hpp"

#include "net/error.hpp"
#include "platform/clients_api.hpp"
#include "platform/operators_api.hpp"
#include "platform/settings_reload.hpp"
#include "platform/settings_source.hpp"
#include "platform/worker_api.hpp"
#include "process/process.hpp"

#include <boost/leaf/handle_errors.hpp>

#include <cstdlib>
#include <iostream>
#include <memory>
#include <string>
#include <utility>

namespace hickorylatch::platform
{

namespace
{

namespace leaf = boost::leaf;

/// Environment variable that names the platform's settings file.
constexpr auto settings_variable = "HICKORYLATCH_BOOT";

auto find_settings_file() -> leaf::result<std::string>
{
    auto const* const name = std::getenv(settings_variable);
    if (name == nullptr)
        return leaf::new_error(settings_error{std::string{settings_variable} +
                                              " names no settings file"});
    return std::string{name};
}

auto run(host_options const& options) -> leaf::result<int>
{
    auto const assigned_duty = options.m_duty;
    BOOST_LEAF_AUTO(file, find_settings_file());
    auto source = settings_source{std::move(file), options.m_listen_ip};
    BOOST_LEAF_AUTO(host, source.read());
    BOOST_LEAF_AUTO(settings, to_process_settings(host, assigned_duty));
    if (settings.m_broker)
    {
        settings.m_broker->m_takes_durable_jobs = options.m_takes_durable_jobs;
        settings.m_broker->m_sparse.m_awaits_workers_after_start =
            options.m_awaits_workers_after_start;
        settings.m_broker->m_placement.m_separate_interfering_tasks =
            options.m_separates_interfering_tasks;
    }
    if (settings.m_control)
        settings.m_control->m_placement.m_separate_interfering_tasks =
            options.m_separates_interfering_tasks;
    BOOST_LEAF_AUTO(host_process, process::process::open(std::move(settings)));
    auto clients = std::unique_ptr<clients_api>{};
    auto operators = std::unique_ptr<operators_api>{};
    auto worker = std::unique_ptr<worker_api>{};
    if (assigned_duty == duty::entry)
    {
        BOOST_LEAF_ASSIGN(clients, clients_api::open(*host_process,
                                                     host.m_clients_address,
                                                     host.m_readiness_address));
    }
    else if (assigned_duty == duty::control)
    {
        BOOST_LEAF_ASSIGN(
            operators,
            operators_api::open(*host_process, host.m_control_address));
    }
    else
    {
        BOOST_LEAF_ASSIGN(worker, worker_api::open(*host_process,
                                                   host.m_control_address,
                                                   host.m_worker_address));
    }
    auto const reload = settings_reload{*host_process, std::move(source), host};
    return host_process->run();
}

auto fail(std::string_view cause) -> int
{
    std::cerr << "hickorylatch host: " << cause << '\n';
    return 1;
}

} // namespace

auto run_host(host_options const& options) -> int
{
    return leaf::try_handle_all(
        [&]() -> leaf::result<int>
        {
            return run(options);
        },
        [](settings_error const& error)
        {
            return fail(error.m_text);
        },
        [](process::start_error const& error)
        {
            return fail(error.m_text);
        },
        [](net::error const& error)
        {
            return fail(error.m_text);
        },
        []
        {
            return fail("failed to start");
        });
}

} // namespace hickorylatch::platform
