#include "platform/host.hpp"

#include "net/error.hpp"
#include "platform/clients_api.hpp"
#include "platform/operators_api.hpp"
#include "platform/worker_api.hpp"
#include "process/process.hpp"

#include <boost/leaf/handle_errors.hpp>

#include <cstdlib>
#include <fstream>
#include <iostream>
#include <iterator>
#include <memory>
#include <string>

namespace hickorylatch::platform
{

namespace
{

namespace leaf = boost::leaf;

/// Environment variable that names the platform's settings file.
constexpr auto settings_variable = "HICKORYLATCH_BOOT";

auto read_settings_file() -> leaf::result<host_settings>
{
    auto const* const name = std::getenv(settings_variable);
    if (name == nullptr)
        return leaf::new_error(settings_error{std::string{settings_variable} +
                                              " names no settings file"});
    auto file = std::ifstream{name};
    auto const text = std::string{std::istreambuf_iterator<char>{file}, {}};
    if (!file)
        return leaf::new_error(
            settings_error{std::string{name} + " can't be read"});
    return parse_host_settings(text);
}

auto run(duty wanted) -> leaf::result<int>
{
    BOOST_LEAF_AUTO(host, read_settings_file());
    BOOST_LEAF_AUTO(settings, to_process_settings(host, wanted));
    BOOST_LEAF_AUTO(opened, process::process::open(std::move(settings)));
    auto clients = std::unique_ptr<clients_api>{};
    auto operators = std::unique_ptr<operators_api>{};
    auto worker = std::unique_ptr<worker_api>{};
    if (wanted == duty::entry)
    {
        BOOST_LEAF_ASSIGN(clients,
                          clients_api::open(*opened, host.m_clients_address,
                                            host.m_readiness_address));
    }
    else if (wanted == duty::control)
    {
        BOOST_LEAF_ASSIGN(operators,
                          operators_api::open(*opened, host.m_control_address));
    }
    else
    {
        BOOST_LEAF_ASSIGN(worker,
                          worker_api::open(*opened, host.m_control_address,
                                           host.m_worker_address));
    }
    return opened->run();
}

auto fail(std::string_view cause) -> int
{
    std::cerr << "hickorylatch host: " << cause << '\n';
    return 1;
}

} // namespace

auto run_host(duty wanted) -> int
{
    return leaf::try_handle_all(
        [&]() -> leaf::result<int>
        {
            return run(wanted);
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
