#include "hickorylatch/settings_file.hpp"

#include <boost/leaf/handle_errors.hpp>

#include <cxxopts.hpp>

#include <exception>
#include <fstream>
#include <iostream>
#include <sstream>

namespace hickorylatch::program
{

auto parse_settings_options(std::string_view subcommand,
                            std::string_view summary,
                            std::span<std::string const> arguments)
    -> settings_options
{
    auto options = cxxopts::Options{"hickorylatch " + std::string{subcommand},
                                    std::string{summary}};
    options.add_options()("s,settings", "settings file, JSON with comments",
                          cxxopts::value<std::vector<std::string>>(),
                          "FILE")("h,help", "print this text");
    options.parse_positional({"settings"});
    options.positional_help("FILE...");
    auto texts = std::vector<char const*>{"hickorylatch"};
    for (auto const& argument : arguments)
        texts.push_back(argument.c_str());
    try
    {
        auto const parsed =
            options.parse(static_cast<int>(texts.size()), texts.data());
        if (parsed.count("help") != 0)
        {
            std::cout << options.help();
            return {{}, 0};
        }
        if (parsed.count("settings") != 0)
            return {parsed["settings"].as<std::vector<std::string>>(), {}};
        std::cerr << "hickorylatch " << subcommand
                  << ": a settings file is required, see --help\n";
    }
    catch (std::exception const& error)
    {
        std::cerr << "hickorylatch " << subcommand << ": " << error.what()
                  << ", see --help\n";
    }
    return {{}, 2};
}

auto read_settings(std::string const& file) -> std::optional<settings::settings>
{
    auto in = std::ifstream{file};
    if (!in)
    {
        std::cerr << file << ": the file can't be read\n";
        return std::nullopt;
    }
    auto text = std::ostringstream{};
    text << in.rdbuf();
    return boost::leaf::try_handle_all(
        [&]() -> boost::leaf::result<std::optional<settings::settings>>
        {
            BOOST_LEAF_AUTO(parsed, settings::parse_settings(text.str(), file));
            return std::optional{std::move(parsed)};
        },
        [](settings::parse_errors const& errors)
        {
            std::cerr << to_string(errors) << '\n';
            return std::optional<settings::settings>{};
        },
        [&]
        {
            std::cerr << file << ": not understood\n";
            return std::optional<settings::settings>{};
        });
}

} // namespace hickorylatch::program
