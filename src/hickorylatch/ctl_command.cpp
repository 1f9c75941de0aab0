#include "hickorylatch/ctl_command.hpp"

#include "hickorylatch/document_printer.hpp"
#include "hickorylatch/member_replacement.hpp"
#include "hickorylatch/operator_client.hpp"
#include "net/error.hpp"
#include "storage/inspect.hpp"
#include "storage/storage_error.hpp"

#include <boost/json.hpp>
#include <boost/leaf/handle_errors.hpp>

#include <cxxopts.hpp>

#include <array>
#include <exception>
#include <fstream>
#include <functional>
#include <iostream>
#include <random>
#include <sstream>
#include <stdexcept>
#include <vector>

namespace hickorylatch::program
{

namespace
{

namespace json = boost::json;

constexpr auto exit_done = 0;
constexpr auto exit_refused = 1;
constexpr auto exit_usage = 2;
constexpr auto exit_unknown = 3;

/// Wrong usage; the text says what is missing or invalid.
struct usage_error : std::runtime_error
{
    using std::runtime_error::runtime_error;
};

/// Parsed command line.
struct ctl_call
{
    std::string m_address;
    std::string m_new_address;
    std::string m_request_id;
    bool m_wants_json = false;
    core::duration m_timeout{0};
    std::vector<std::string> m_arguments;

    /// Positional argument by index, the command itself being 0. Throws
    /// `usage_error` with the description if it is missing.
    [[nodiscard]] auto argument(std::size_t index,
                                std::string_view description) const
        -> std::string const&
    {
        if (index >= m_arguments.size())
            throw usage_error{m_arguments.front() + " needs " +
                              std::string{description}};
        return m_arguments[index];
    }
};

auto parse_address(std::string const& address) -> net::socket_address
{
    return boost::leaf::try_handle_all(
        [&]
        {
            return net::socket_address::parse(address);
        },
        [](net::error const& error) -> net::socket_address
        {
            throw usage_error{error.m_text};
        },
        [&]() -> net::socket_address
        {
            throw usage_error{address};
        });
}

auto read_file(std::string const& name) -> std::string
{
    auto in = std::ifstream{name};
    if (!in)
        throw usage_error{name + ": the file can't be read"};
    auto text = std::ostringstream{};
    text << in.rdbuf();
    return text.str();
}

auto print_result(ctl_call const& call, net::http_result const& result) -> int
{
    if (result.m_run != core::run_state::ran)
    {
        std::cerr << "hickorylatch ctl: " << call.m_address << ": "
                  << result.m_error << '\n';
        return result.m_run == core::run_state::not_run ? exit_refused
                                                        : exit_unknown;
    }
    if (call.m_wants_json)
        std::cout << result.m_answer.m_body << '\n';
    else
        print_document(std::cout, result.m_answer.m_body);
    if (result.m_answer.m_status < 300)
        return exit_done;
    auto const verdict =
        net::find_header(result.m_answer.m_headers, "Hickorylatch-Verdict");
    return verdict == "may_have_run" ? exit_unknown : exit_refused;
}

auto get_and_print(ctl_call const& call, std::string_view path) -> int
{
    auto client =
        operator_client{parse_address(call.m_address), call.m_timeout};
    return print_result(call, client.get(path));
}

auto post_and_print(ctl_call const& call, std::string_view path,
                    std::string_view body) -> int
{
    auto client =
        operator_client{parse_address(call.m_address), call.m_timeout};
    return print_result(call, client.post(path, body));
}

auto cancel(ctl_call const& call) -> int
{
    return post_and_print(
        call, "/v1/jobs/cancel",
        json::serialize(
            json::object{{"request_id", call.m_request_id},
                         {"customer", call.argument(1, "a customer and a key")},
                         {"key", call.argument(2, "a customer and a key")}}));
}

auto found_group(ctl_call const& call) -> int
{
    auto count = std::int64_t{0};
    try
    {
        count = std::stoll(call.argument(1, "the number of members"));
    }
    catch (std::logic_error const&)
    {
        throw usage_error{"found needs the number of members, such as 3"};
    }
    return post_and_print(call, "/v1/found",
                          json::serialize(json::object{{"members", count}}));
}

/// Adds a name to the list of drained endpoints and workers, or removes it.
auto set_drained(ctl_call const& call, bool is_drained) -> int
{
    auto const& name = call.argument(1, "the name of an endpoint or worker");
    auto client =
        operator_client{parse_address(call.m_address), call.m_timeout};
    auto const answer = client.get("/v1/configuration");
    auto error = boost::system::error_code{};
    auto record = json::parse(answer.m_answer.m_body, error);
    if (error || answer.m_answer.m_status != 200)
        return print_result(call, answer);
    auto& config = record.as_object();
    auto drained = json::array{};
    for (auto const& each : config["drained"].as_array())
    {
        if (each.as_string() != name)
            drained.push_back(each);
    }
    if (is_drained)
        drained.push_back(json::string{name});
    config["drained"] = std::move(drained);
    config["schema_version"] = 2;
    config["request_id"] = call.m_request_id;
    config["expected_version"] = config["version"];
    config.erase("version");
    return print_result(
        call, client.post("/v1/configuration", json::serialize(config)));
}

auto set_evacuated(ctl_call const& call, bool is_evacuated) -> int
{
    return post_and_print(
        call, "/v1/evacuations",
        json::serialize(
            json::object{{"schema_version", 2},
                         {"request_id", call.m_request_id},
                         {"failure_domain",
                          call.argument(1, "the name of a failure domain")},
                         {"evacuated", is_evacuated}}));
}

auto replace_member(ctl_call const& call) -> int
{
    auto leader_client =
        operator_client{parse_address(call.m_address), call.m_timeout};
    if (call.m_new_address.empty())
        throw usage_error{"replace-member needs --new IP:PORT, the operators' "
                          "address of the new replica"};
    auto new_replica_client =
        operator_client{parse_address(call.m_new_address), call.m_timeout};
    auto const error_text =
        member_replacement{leader_client, new_replica_client}.run(
            call.argument(1, "the node of the member to replace"),
            call.m_request_id);
    if (error_text.empty())
    {
        std::cout << "replaced\n";
        return exit_done;
    }
    std::cerr << "hickorylatch ctl: " << error_text << '\n';
    return exit_refused;
}

auto inspect(ctl_call const& call) -> int
{
    auto const& folder = call.argument(1, "a data folder");
    return boost::leaf::try_handle_all(
        [&]() -> boost::leaf::result<int>
        {
            BOOST_LEAF_CHECK(storage::inspect(folder, std::cout));
            return exit_done;
        },
        [](storage::storage_error const& error)
        {
            std::cerr << "hickorylatch ctl: " << to_string(error) << '\n';
            return exit_refused;
        },
        []
        {
            return exit_refused;
        });
}

/// One command of `hickorylatch ctl`.
struct ctl_command
{
    std::string_view m_name;
    std::string_view m_help;
    std::function<int(ctl_call const&)> m_run;
};

auto commands() -> std::vector<ctl_command> const&
{
    static auto const all = std::vector<ctl_command>{
        {"status", "replica, leader and members",
         [](ctl_call const& call)
         {
             return get_and_print(call, "/v1/status");
         }},
        {"agents", "endpoints and workers with their state",
         [](ctl_call const& call)
         {
             return get_and_print(call, "/v1/agents");
         }},
        {"jobs", "running jobs, and ended ones kept for resends",
         [](ctl_call const& call)
         {
             return get_and_print(call, "/v1/jobs");
         }},
        {"configuration", "current configuration",
         [](ctl_call const& call)
         {
             return get_and_print(call, "/v1/configuration");
         }},
        {"metrics", "metrics of the addressed process",
         [](ctl_call const& call)
         {
             return get_and_print(call, "/metrics");
         }},
        {"configure FILE", "apply a configuration record",
         [](ctl_call const& call)
         {
             return post_and_print(
                 call, "/v1/configuration",
                 read_file(call.argument(1, "a record file")));
         }},
        {"submit FILE", "submit a job record and wait for its answer",
         [](ctl_call const& call)
         {
             return post_and_print(
                 call, "/v1/jobs",
                 read_file(call.argument(1, "a record file")));
         }},
        {"cancel CUSTOMER KEY", "cancel a job", cancel},
        {"drain NAME", "assign no new work to an endpoint or worker",
         [](ctl_call const& call)
         {
             return set_drained(call, true);
         }},
        {"undrain NAME", "assign new work to it again",
         [](ctl_call const& call)
         {
             return set_drained(call, false);
         }},
        {"evacuate DOMAIN", "start no more tasks in a failure domain",
         [](ctl_call const& call)
         {
             return set_evacuated(call, true);
         }},
        {"restore DOMAIN", "start tasks there again",
         [](ctl_call const& call)
         {
             return set_evacuated(call, false);
         }},
        {"evacuations", "evacuated failure domains",
         [](ctl_call const& call)
         {
             return get_and_print(call, "/v1/evacuations");
         }},
        {"found MEMBERS", "found the control group (address a control process)",
         found_group},
        {"replace-member NODE", "replace a control member, with --new",
         replace_member},
        {"inspect FOLDER", "print a data folder without changing it", inspect},
    };
    return all;
}

auto command_name(ctl_command const& command) -> std::string_view
{
    return command.m_name.substr(0, command.m_name.find(' '));
}

auto print_commands(std::ostream& out) -> void
{
    out << "\nCommands:\n";
    for (auto const& each : commands())
        out << "  " << each.m_name << std::string(24 - each.m_name.size(), ' ')
            << each.m_help << '\n';
    out << "\nExit codes: 0 done, 1 refused or failed without effect,\n"
           "            2 wrong usage, 3 outcome unknown: the same call may be "
           "repeated\n            with the same --request-id.\n";
}

auto new_request_id() -> std::string
{
    auto device = std::random_device{};
    return "ctl-" + std::to_string(device()) + "-" + std::to_string(device());
}

auto run(std::span<std::string const> arguments) -> int
{
    auto options = cxxopts::Options{"hickorylatch ctl", "Operates the system."};
    options.add_options()(
        "a,address", "operators' address of a process",
        cxxopts::value<std::string>()->default_value("127.0.0.1:21111"),
        "IP:PORT")("new", "operators' address of the new replica",
                   cxxopts::value<std::string>()->default_value(""), "IP:PORT")(
        "request-id", "id of the change; makes it safe to repeat the call",
        cxxopts::value<std::string>())("json", "print JSON as received")(
        "timeout-s", "seconds to wait for an answer",
        cxxopts::value<unsigned>()->default_value("3600"))(
        "words", "command and its arguments",
        cxxopts::value<std::vector<std::string>>())("h,help",
                                                    "print this text");
    options.parse_positional({"words"});
    options.positional_help("COMMAND [ARGUMENT...]");
    auto texts = std::vector<char const*>{"hickorylatch"};
    for (auto const& argument : arguments)
        texts.push_back(argument.c_str());
    auto const parsed =
        options.parse(static_cast<int>(texts.size()), texts.data());
    if (parsed.count("help") != 0)
    {
        std::cout << options.help();
        print_commands(std::cout);
        return exit_done;
    }
    if (parsed.count("words") == 0)
        throw usage_error{"no command given"};
    auto call = ctl_call{};
    call.m_address = parsed["address"].as<std::string>();
    call.m_new_address = parsed["new"].as<std::string>();
    call.m_request_id = parsed.count("request-id") != 0
                            ? parsed["request-id"].as<std::string>()
                            : new_request_id();
    call.m_wants_json = parsed.count("json") != 0;
    call.m_timeout = std::chrono::seconds{parsed["timeout-s"].as<unsigned>()};
    call.m_arguments = parsed["words"].as<std::vector<std::string>>();
    for (auto const& each : commands())
    {
        if (command_name(each) == call.m_arguments.front())
            return each.m_run(call);
    }
    throw usage_error{"unknown command '" + call.m_arguments.front() + "'"};
}

} // namespace

auto ctl_main(std::span<std::string const> arguments) -> int
{
    try
    {
        return run(arguments);
    }
    catch (std::exception const& error)
    {
        std::cerr << "hickorylatch ctl: " << error.what()
                  << "; 'hickorylatch ctl --help' lists the commands\n";
        return exit_usage;
    }
}

} // namespace hickorylatch::program
