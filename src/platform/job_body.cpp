#include "platform/job_body.hpp"

#include "platform/json_reader.hpp"

#include <boost/json.hpp>

#include <algorithm>
#include <array>
#include <span>
#include <utility>

namespace hickorylatch::platform
{

namespace
{

namespace json = boost::json;

constexpr auto job_id_length = std::size_t{16};
constexpr auto longest_spec = std::size_t{4'000};
// Tasks of one job; bounds what one request can make an entry allocate.
constexpr auto most_tasks = std::uint64_t{100'000};

/// Features of a step or a job that change how it must be run. A job that asks
/// for one of them is refused rather than run without it.
constexpr auto unsupported_features = std::to_array<std::string_view>(
    {"gang", "longRunning", "repeatCount", "fillCount", "maxUnavailable"});

auto find_unsupported(json::object const& from) -> std::string
{
    for (auto const name : unsupported_features)
    {
        auto const* member = from.if_contains(name);
        if (member == nullptr || member->is_null())
            continue;
        auto const is_off = (member->is_bool() && !member->as_bool()) ||
                            (member->is_int64() && member->as_int64() == 0);
        if (!is_off)
            return std::string{name};
    }
    return {};
}

auto parse_step(json::object const& from, json_reader& faults,
                std::uint32_t number) -> core::job_step
{
    auto in = json_reader{from};
    auto step = core::job_step{};
    step.m_count = in.count("count", 1);
    step.m_needs.m_millicores = in.count("cpu");
    step.m_needs.m_memory_mb = in.count("memMb");
    step.m_needs.m_accelerators = in.count("gpu");
    step.m_declared_ms = in.count("estimatedMs");
    step.m_depends_on = in.counts("dependsOn");
    step.m_required_label = in.text("constraints");
    step.m_data_rack = in.text("affinity");
    step.m_worker_limit = in.count("antiAffinity");
    if (step.m_count == 0)
        in.fail("count", "is 0");
    if (std::ranges::any_of(step.m_depends_on,
                            [number](std::uint32_t earlier)
                            {
                                return earlier >= number;
                            }))
        in.fail("dependsOn", "names a step that is not an earlier one");
    if (in.fault())
        faults.fail("phases",
                    "step " + std::to_string(number) + ": " + *in.fault());
    return step;
}

} // namespace

auto is_job_id(std::string_view text) -> bool
{
    auto const is_hexadecimal = [](char each)
    {
        return (each >= '0' && each <= '9') || (each >= 'a' && each <= 'f') ||
               (each >= 'A' && each <= 'F');
    };
    return text.size() == job_id_length &&
           std::ranges::all_of(text, is_hexadecimal);
}

auto parse_job(std::string_view id, std::string_view body)
    -> boost::leaf::result<core::step_job>
{
    BOOST_LEAF_AUTO(record, parse_object(body));
    auto in = json_reader{record};
    auto job = core::step_job{};
    job.m_id = id;
    job.m_body = in.text("spec");
    job.m_is_durable = !in.flag("bestEffort");
    job.m_unsupported_feature = find_unsupported(record);
    if (job.m_body.size() > longest_spec)
        in.fail("spec", "is too long");
    auto const* steps = in.array("phases");
    if (steps == nullptr || steps->empty())
        in.fail("phases", "is missing");
    auto tasks = std::uint64_t{0};
    for (auto const& each : steps == nullptr
                                ? std::span<json::value const>{}
                                : std::span{steps->data(), steps->size()})
    {
        if (!each.is_object())
        {
            in.fail("phases", "holds something else than objects");
            break;
        }
        auto const number = static_cast<std::uint32_t>(job.m_steps.size());
        job.m_steps.push_back(parse_step(each.as_object(), in, number));
        tasks += job.m_steps.back().m_count;
        if (job.m_unsupported_feature.empty())
            job.m_unsupported_feature = find_unsupported(each.as_object());
    }
    if (tasks > most_tasks)
        in.fail("phases", "has too many tasks");
    if (in.fault())
        return boost::leaf::new_error(body_error{*in.fault()});
    return job;
}

} // namespace hickorylatch::platform
