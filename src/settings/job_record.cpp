#include "settings/job_record.hpp"

#include "core/model/utf8.hpp"
#include "settings/canonical_json.hpp"
#include "settings/content_digest.hpp"
#include "settings/error_collector.hpp"
#include "settings/json_document.hpp"
#include "settings/object_reader.hpp"
#include "settings/record_schema.hpp"

#include <boost/archive/iterators/base64_from_binary.hpp>
#include <boost/archive/iterators/transform_width.hpp>
#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include <algorithm>
#include <array>
#include <string>
#include <utility>
#include <vector>

namespace hickorylatch::settings
{

namespace
{

constexpr auto required = presence::required;
constexpr auto optional = presence::optional;

// Far above real values, and sums over 1,400 tasks fit into 64 bits.
constexpr auto max_cores = std::int64_t{65'536};
constexpr auto max_memory_mb = std::int64_t{1'000'000'000};
constexpr auto max_accelerators = std::int64_t{65'536};
constexpr auto day_ms = std::int64_t{86'400'000};
// The last millisecond of the year 9999.
constexpr auto max_unix_ms = std::int64_t{253'402'300'799'999};

struct known_field
{
    std::string_view m_name;
    std::uint32_t m_since_version;
};

constexpr auto known_fields =
    std::to_array<known_field>({{"schema_version", 1},
                                {"key", 1},
                                {"customer", 1},
                                {"priority", 1},
                                {"submitted_at", 1},
                                {"tasks", 1},
                                {"body", 1},
                                {"cores", 1},
                                {"memory_mb", 1},
                                {"run_time_ms", 1},
                                {"must_understand", 1},
                                {"account_manager", schema_version_2},
                                {"deadline_ms", schema_version_2},
                                {"accelerators", schema_version_2}});

auto is_known(std::string_view name, std::uint32_t version) -> bool
{
    return std::ranges::any_of(known_fields,
                               [&](known_field const& field)
                               {
                                   return field.m_name == name &&
                                          field.m_since_version <= version;
                               });
}

auto read_task(object_reader& in, std::uint32_t version) -> core::task
{
    auto out = core::task{};
    in.read_string("body", required, out.m_body);
    in.read_number("cores", optional, {1, max_cores}, out.m_cores);
    in.read_number("memory_mb", optional, {0, max_memory_mb}, out.m_memory_mb);
    in.read_number("run_time_ms", optional, {0, day_ms}, out.m_run_time_ms);
    if (version >= schema_version_2)
        in.read_number("accelerators", optional, {0, max_accelerators},
                       out.m_accelerators);
    return out;
}

auto check_must_understand(object_reader& in, std::uint32_t version) -> void
{
    auto names = std::vector<std::string>{};
    in.read_strings("must_understand", optional, names);
    for (auto const& name : names)
    {
        if (!is_known(name, version))
            in.fail("must_understand",
                    "field \"" + name + "\" is not known to schema version " +
                        std::to_string(version));
    }
}

/// Unknown fields of the record and, in "tasks", of its tasks, as JSON text.
auto collect_unknown_fields(object_reader const& record,
                            std::vector<object_reader> const& tasks)
    -> std::string
{
    auto const parse = [](std::string const& text)
    {
        return text.empty() ? boost::json::object{}
                            : boost::json::parse(text).get_object();
    };
    auto fields = parse(record.unknown_fields());
    auto task_fields = boost::json::array{};
    auto has_unknown_in_tasks = false;
    for (auto const& task : tasks)
    {
        auto const unknown = task.unknown_fields();
        has_unknown_in_tasks = has_unknown_in_tasks || !unknown.empty();
        task_fields.emplace_back(parse(unknown));
    }
    if (has_unknown_in_tasks)
        fields.emplace("tasks", std::move(task_fields));
    return fields.empty() ? std::string{} : print_canonical(fields);
}

auto read_job(object_reader& in, std::uint32_t version,
              error_collector const& errors) -> core::submission
{
    auto out = core::submission{};
    out.m_kind = core::submission_kind::job;
    out.m_schema_version = version;
    out.m_service = core::worker_service;
    in.read_name("key", required, out.m_key);
    in.read_name("customer", required, out.m_customer);
    if (in.has("priority"))
        in.read_number("priority", required, {0, core::highest_priority},
                       out.m_priority.emplace());
    in.read_number("submitted_at", required, {1, max_unix_ms},
                   out.m_submitted_at);
    check_must_understand(in, version);
    if (version >= schema_version_2)
    {
        in.read_string("account_manager", optional, out.m_account_manager);
        in.read_number("deadline_ms", optional, {0, day_ms}, out.m_deadline_ms);
    }
    auto tasks = in.read_objects("tasks", required);
    if (in.has("tasks") && (tasks.empty() || tasks.size() > max_job_tasks))
    {
        in.fail("tasks",
                "expected 1 to " + std::to_string(max_job_tasks) + " tasks");
        return out;
    }
    out.m_tasks.reserve(tasks.size());
    for (auto& task : tasks)
        out.m_tasks.push_back(read_task(task, version));
    // Numbers out of range can't be serialized.
    if (!errors.has_errors())
        out.m_unknown_fields = collect_unknown_fields(in, tasks);
    return out;
}

auto to_base64(std::string_view bytes) -> std::string
{
    namespace iterators = boost::archive::iterators;
    using encoder = iterators::base64_from_binary<
        iterators::transform_width<char const*, 6, 8>>;
    // Encode complete groups of three bytes first; the iterators would read
    // past the end of an incomplete one.
    auto const full_groups_size = bytes.size() - bytes.size() % 3;
    auto text = std::string{encoder(bytes.data()),
                            encoder(bytes.data() + full_groups_size)};
    if (full_groups_size == bytes.size())
        return text;
    auto tail = std::array<char, 3>{};
    std::ranges::copy(bytes.substr(full_groups_size), tail.begin());
    auto last = std::string{encoder(tail.data()), encoder(tail.data() + 3)};
    auto const padding = 3 - (bytes.size() - full_groups_size);
    std::fill_n(last.rbegin(), padding, '=');
    return text + last;
}

auto print_answer(core::task_answer const& answer) -> boost::json::object
{
    auto printed = boost::json::object{{"succeeded", answer.m_succeeded},
                                       {"status", answer.m_status}};
    if (core::is_utf8(answer.m_body))
        printed["body"] = answer.m_body;
    else
        printed["body_base64"] = to_base64(answer.m_body);
    return printed;
}

} // namespace

auto parse_job_record(std::string_view json)
    -> boost::leaf::result<core::submission>
{
    auto errors = error_collector{"job record"};
    auto const document = json_document{json, json_syntax::strict, errors};
    auto root = document.root();
    if (!root)
        return boost::leaf::new_error(errors.take());
    auto const version = read_schema_version(*root);
    if (version == 0)
        return boost::leaf::new_error(errors.take());
    auto parsed = read_job(*root, version, errors);
    if (errors.has_errors())
        return boost::leaf::new_error(errors.take());
    parsed.m_digest = content_digest(parsed);
    return parsed;
}

auto print_job_answer(core::verdict const& outcome,
                      std::span<core::task_answer const> answers,
                      std::uint32_t schema_version) -> std::string
{
    auto const text = [](std::string_view view)
    {
        return boost::json::string_view{view.data(), view.size()};
    };
    auto printed = boost::json::object{
        {"schema_version", printable_schema_version(schema_version)},
        {"verdict", text(to_string(outcome.m_run))},
        {"reason", text(to_string(outcome.m_reason))},
        {"detail", outcome.m_detail},
        {"retry_after_ms", outcome.m_retry_after_ms}};
    auto list = boost::json::array{};
    list.reserve(answers.size());
    for (auto const& answer : answers)
        list.emplace_back(print_answer(answer));
    printed["answers"] = std::move(list);
    return boost::json::serialize(printed);
}

} // namespace hickorylatch::settings
