#include "hickorylatch/serve_command.hpp"

#include "hickorylatch/settings_file.hpp"
#include "process/process.hpp"

#include <boost/leaf/handle_errors.hpp>

#include <iostream>

namespace hickorylatch::program
{

auto serve_main(std::span<std::string const> arguments) -> int
{
    auto const options = parse_settings_options(
        "serve", "Runs the roles that the settings name until SIGTERM.",
        arguments);
    if (options.m_exit_code)
        return *options.m_exit_code;
    if (options.m_files.size() != 1)
    {
        std::cerr << "hickorylatch serve: expects exactly one settings file\n";
        return 2;
    }
    auto settings = read_settings(options.m_files.front());
    if (!settings)
        return 2;
    return boost::leaf::try_handle_all(
        [&]() -> boost::leaf::result<int>
        {
            BOOST_LEAF_AUTO(process,
                            process::process::open(std::move(*settings)));
            return process->run();
        },
        [&](process::start_error const& error)
        {
            std::cerr << "hickorylatch serve: " << error.m_text << '\n';
            return 1;
        },
        []
        {
            std::cerr << "hickorylatch serve: failed to start\n";
            return 1;
        });
}

} // namespace hickorylatch::program
