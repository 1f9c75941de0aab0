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

constexpr auto job_id_size = std::size_t{16};
constexpr auto max_spec_bytes = std::size_t{4'000};
// Limit of tasks of one job; bounds the memory that an entry allocates for one
// request.
constexpr auto max_tasks = std::uint64_t{100'000};

/// Members of a step or a job that change how it must be run. A job that uses
/// one of them is refused instead of being run without it.
constexpr auto unsupported_features = std::to_array<std::string_view>(
    {"gang", "longRunning", "repeatCount", "fillCount", "maxUnavailable"});

auto find_unsupported_feature(json::object const& object) -> std::string
{
    for (auto const name : unsupported_features)
    {
        auto const* member = object.if_contains(name);
        if (member == nullptr || member->is_null())
            continue;
        auto const is_disabled =
            (member->is_bool() && !member->as_bool()) ||
            (member->is_int64() && member->as_int64() == 0);
        if (!is_disabled)
            return std::string{name};
    }
    return {};
}

auto parse_step(json::object const& object, json_reader& parent,
                std::uint32_t number) -> core::job_step
{
    auto in = json_reader{object};
    auto step = core::job_step{};
    step.m_count = in.count("count", 1);
    step.m_needs.m_millicores = in.count("cpu");
    step.m_needs.m_memory_mb = in.count("memMb");
    step.m_needs.m_accelerators = in.count("gpu");
    step.m_declared_ms = in.count("estimatedMs");
    step.m_depends_on = in.counts("dependsOn");
    step.m_required_label = in.string("constraints");
    step.m_data_rack = in.string("affinity");
    step.m_worker_limit = in.count("antiAffinity");
    if (step.m_count == 0)
        in.add_error("count", "is 0");
    if (std::ranges::any_of(step.m_depends_on,
                            [number](std::uint32_t dependency)
                            {
                                return dependency >= number;
                            }))
        in.add_error("dependsOn", "names a step that is not an earlier one");
    if (in.first_error())
        parent.add_error("phases", "step " + std::to_string(number) + ": " +
                                       *in.first_error());
    return step;
}

} // namespace

auto is_job_id(std::string_view text) -> bool
{
    auto const is_hexadecimal = [](char character)
    {
        return (character >= '0' && character <= '9') ||
               (character >= 'a' && character <= 'f') ||
               (character >= 'A' && character <= 'F');
    };
    return text.size() == job_id_size &&
           std::ranges::all_of(text, is_hexadecimal);
}

auto parse_job(std::string_view id, std::string_view body)
    -> boost::leaf::result<core::step_job>
{
    BOOST_LEAF_AUTO(record, parse_object(body));
    auto in = json_reader{record};
    auto job = core::step_job{};
    job.m_id = id;
    job.m_body = in.string("spec");
    job.m_is_durable = !in.boolean("bestEffort");
    job.m_unsupported_feature = find_unsupported_feature(record);
    if (job.m_body.size() > max_spec_bytes)
        in.add_error("spec", "is too long");
    auto const* steps = in.array("phases");
    if (steps == nullptr || steps->empty())
        in.add_error("phases", "is missing");
    auto task_count = std::uint64_t{0};
    for (auto const& item : steps == nullptr
                                ? std::span<json::value const>{}
                                : std::span{steps->data(), steps->size()})
    {
        if (!item.is_object())
        {
            in.add_error("phases", "holds something else than objects");
            break;
        }
        auto const number = static_cast<std::uint32_t>(job.m_steps.size());
        job.m_steps.push_back(parse_step(item.as_object(), in, number));
        task_count += job.m_steps.back().m_count;
        if (job.m_unsupported_feature.empty())
            job.m_unsupported_feature =
                find_unsupported_feature(item.as_object());
    }
    if (task_count > max_tasks)
        in.add_error("phases", "has too many tasks");
    if (in.first_error())
        return boost::leaf::new_error(body_error{*in.first_error()});
    return job;
}

} // namespace hickorylatch::platform
