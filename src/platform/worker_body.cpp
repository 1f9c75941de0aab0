#include "platform/worker_body.hpp"

#include "platform/json_reader.hpp"

#include <boost/json.hpp>

#include <algorithm>
#include <array>
#include <charconv>
#include <optional>
#include <span>
#include <utility>

namespace hickorylatch::platform
{

namespace
{

namespace json = boost::json;

// Task names have the form JOB.OCCURRENCE.STEP.TASK.
constexpr auto task_name_parts = std::size_t{4};

auto task_name(core::worker_run const& run) -> std::string
{
    return run.m_job_id + ".0." + std::to_string(run.m_task.m_step) + "." +
           std::to_string(run.m_task.m_task);
}

auto parse_number(std::string_view text) -> std::optional<std::uint32_t>
{
    auto value = std::uint32_t{0};
    auto const* const end = text.data() + text.size();
    auto const [stopped, error] = std::from_chars(text.data(), end, value);
    if (error != std::errc{} || stopped != end)
        return std::nullopt;
    return value;
}

auto parse_run(json::value const& name, json::value const& run)
    -> std::optional<core::worker_run>
{
    if (!name.is_string() || !run.is_number())
        return std::nullopt;
    auto parts = std::array<std::string_view, task_name_parts>{};
    auto rest = std::string_view{name.as_string()};
    for (auto& part : parts)
    {
        auto const dot = std::min(rest.find('.'), rest.size());
        part = rest.substr(0, dot);
        rest.remove_prefix(std::min(dot + 1, rest.size()));
    }
    auto const step = parse_number(parts[2]);
    auto const task = parse_number(parts[3]);
    auto error = boost::system::error_code{};
    auto const number = run.to_number<std::uint32_t>(error);
    if (!step || !task || !rest.empty() || error)
        return std::nullopt;
    return core::worker_run{std::string{parts[0]}, {*step, *task}, number};
}

auto to_span(json::array const* items) -> std::span<json::value const>
{
    if (items == nullptr)
        return {};
    return {items->data(), items->size()};
}

auto parse_outcome(json::value const& outcome) -> core::run_outcome
{
    auto const text = outcome.is_string()
                          ? std::string_view{outcome.as_string()}
                          : std::string_view{};
    if (text == "done")
        return core::run_outcome::succeeded;
    if (text == "stopped" || text == "broken" || text == "alone")
        return core::run_outcome::stopped;
    return text == "lapsed" ? core::run_outcome::lapsed
                            : core::run_outcome::failed;
}

} // namespace

auto parse_worker_report(std::string_view name, std::string_view body)
    -> boost::leaf::result<core::worker_report>
{
    BOOST_LEAF_AUTO(record, parse_object(body));
    auto in = json_reader{record};
    auto report = core::worker_report{};
    report.m_name = name;
    report.m_service = in.string("service");
    report.m_incarnation = in.integer("born");
    report.m_labels = in.strings("labels");
    report.m_clock_ms = in.integer("clockMs");
    auto const sequence = in.integer("sequence");
    report.m_sequence =
        static_cast<std::uint64_t>(std::max(sequence, std::int64_t{0}));
    auto const state = in.string("state");
    report.m_is_accepting = state == "ready";
    if (state != "ready" && state != "draining")
        in.add_error("state", "is unknown");
    if (report.m_service.empty())
        in.add_error("service", "is missing");
    if (sequence <= 0)
        in.add_error("sequence", "is missing or not positive");
    auto const* capacity = in.object("capacity");
    if (capacity == nullptr)
        in.add_error("capacity", "is missing");
    else
    {
        auto capacity_reader = json_reader{*capacity};
        report.m_capacity = {capacity_reader.count("cpu"),
                             capacity_reader.count("memMb"),
                             capacity_reader.count("gpu")};
        if (capacity_reader.first_error())
            in.add_error("capacity", *capacity_reader.first_error());
    }
    if (in.first_error())
        return boost::leaf::new_error(body_error{*in.first_error()});
    return report;
}

auto parse_worker_reply(std::string_view body) -> worker_reply
{
    auto error = boost::system::error_code{};
    auto const value = json::parse(body, error);
    if (error || !value.is_object())
        return {};
    auto in = json_reader{value.as_object()};
    return {in.integer("clockMs"), in.string("reason"), in.integer("born")};
}

auto parse_poll_answer(std::string_view body)
    -> boost::leaf::result<core::runs_polled>
{
    BOOST_LEAF_AUTO(record, parse_object(body));
    auto in = json_reader{record};
    auto polled = core::runs_polled{};
    polled.m_clock_ms = in.integer("clockMs");
    polled.m_incarnation = in.integer("born");
    for (auto const& item : to_span(in.array("running")))
    {
        auto const* row = item.if_array();
        auto const run = row == nullptr || row->size() < 2
                             ? std::nullopt
                             : parse_run((*row)[0], (*row)[1]);
        if (run)
            polled.m_running.push_back(*run);
        else
            in.add_error("running", "has a row that can't be read");
    }
    for (auto const& item : to_span(in.array("ended")))
    {
        auto const* row = item.if_array();
        auto const run =
            row == nullptr || row->size() < 4 || !(*row)[0].is_int64()
                ? std::nullopt
                : parse_run((*row)[1], (*row)[2]);
        if (run)
            polled.m_ended.push_back(
                {static_cast<std::uint64_t>((*row)[0].as_int64()), *run,
                 parse_outcome((*row)[3])});
        else
            in.add_error("ended", "has a row that can't be read");
    }
    if (in.first_error())
        return boost::leaf::new_error(body_error{*in.first_error()});
    return polled;
}

auto serialize_start(core::start_run const& order) -> std::string
{
    return json::serialize(
        json::object{{"task", task_name(order.m_run)},
                     {"run", order.m_run.m_run},
                     {"spec", order.m_body},
                     {"deadlineMs", order.m_lease_until_ms},
                     {"fencingToken", order.m_target.m_fencing_token}});
}

auto serialize_stop(core::stop_run const& order) -> std::string
{
    return json::serialize(
        json::object{{"task", task_name(order.m_run)},
                     {"run", order.m_run.m_run},
                     {"fencingToken", order.m_target.m_fencing_token}});
}

auto serialize_poll(core::poll_runs const& order) -> std::string
{
    auto body = json::object{{"fencingToken", order.m_target.m_fencing_token},
                             {"ackCursor", order.m_acknowledged}};
    if (order.m_lease_until_ms != 0)
        body["deadlineMs"] = order.m_lease_until_ms;
    if (order.m_wait_ms != 0)
        body["waitMs"] = order.m_wait_ms;
    return json::serialize(body);
}

} // namespace hickorylatch::platform
