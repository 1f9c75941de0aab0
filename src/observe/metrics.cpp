#include "observe/metrics.hpp"

#include "core/model/utf8.hpp"
#include "observe/metric_definition.hpp"

#include <boost/histogram/axis/regular.hpp>
#include <boost/histogram/histogram.hpp>
#include <boost/histogram/make_histogram.hpp>
#include <boost/histogram/storage_adaptor.hpp>

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>
#include <cstdint>
#include <map>
#include <set>
#include <utility>
#include <vector>

namespace hickorylatch::observe
{

namespace
{

namespace bh = boost::histogram;

// 8 buckets per factor of 10 limit the relative error of a quantile to a third.
constexpr auto lowest_seconds = 1e-4;
constexpr auto highest_seconds = 1e2;
constexpr auto buckets = 48U;

using log_axis = bh::axis::regular<double, bh::axis::transform::log>;
using seconds_histogram =
    bh::histogram<std::tuple<log_axis>, bh::dense_storage<std::uint64_t>>;

/// Values of the labels, in the order of the definition.
using label_values = std::vector<std::string>;

struct series
{
    /// Value of a counter or gauge; sum of a histogram.
    double m_value = 0;
    std::uint64_t m_count = 0;
    /// Null unless the metric is a histogram.
    std::unique_ptr<seconds_histogram> m_histogram;
};

struct metric
{
    std::array<std::set<std::string, std::less<>>, max_metric_labels>
        m_known_values;
    std::map<label_values, series> m_series;
};

auto make_series(metric_kind kind) -> series
{
    auto made = series{};
    if (kind == metric_kind::histogram)
        made.m_histogram =
            std::make_unique<seconds_histogram>(bh::make_histogram_with(
                bh::dense_storage<std::uint64_t>{},
                log_axis{buckets, lowest_seconds, highest_seconds}));
    return made;
}

/// Returns the value, or `overflow_label` if it is new and the label already
/// has `max_label_values` values.
auto limit_label_value(std::set<std::string, std::less<>>& known,
                       std::string value) -> std::string
{
    if (known.contains(value))
        return value;
    if (known.size() >= max_label_values)
        return std::string{overflow_label};
    known.insert(value);
    return value;
}

auto find_series(metric& target, metric_kind kind, label_values labels)
    -> series&
{
    auto const found = target.m_series.find(labels);
    if (found != target.m_series.end())
        return found->second;
    if (target.m_series.size() >= max_series && !labels.empty())
        std::ranges::fill(labels, overflow_label);
    return target.m_series.try_emplace(std::move(labels), make_series(kind))
        .first->second;
}

auto add_sample(series& target, metric_kind kind, double value) -> void
{
    switch (kind)
    {
    case metric_kind::counter:
        target.m_value += value;
        return;
    case metric_kind::gauge:
        target.m_value = value;
        return;
    case metric_kind::histogram:
        // The logarithmic axis would count a negative value in the overflow
        // bucket.
        target.m_value += std::max(value, 0.0);
        ++target.m_count;
        (*target.m_histogram)(std::max(value, 0.0));
    }
}

auto print_number(double value) -> std::string
{
    auto text = std::array<char, 32>{};
    auto const end =
        std::to_chars(text.data(), text.data() + text.size(), value).ptr;
    return {text.data(), end};
}

/// Upper bound of a bucket, with enough digits to distinguish adjacent buckets.
auto print_bound(double value) -> std::string
{
    constexpr auto digits = 4;
    auto text = std::array<char, 32>{};
    auto const end = std::to_chars(text.data(), text.data() + text.size(),
                                   value, std::chars_format::general, digits)
                         .ptr;
    return {text.data(), end};
}

auto print_label(std::string_view name, std::string_view value) -> std::string
{
    auto text = std::string{name} + "=\"";
    for (auto const c : value)
    {
        if (c == '\n')
            text += "\\n";
        else if (c == '"' || c == '\\')
            (text += '\\') += c;
        else
            text += c;
    }
    return text += '"';
}

auto print_labels(metric_definition const& definition,
                  label_values const& values) -> std::string
{
    auto text = std::string{};
    for (auto index = std::size_t{0}; index < values.size(); ++index)
    {
        if (index > 0)
            text += ',';
        text += print_label(definition.labels()[index], values[index]);
    }
    return text;
}

auto append_line(std::string& out, std::string_view name,
                 std::string_view suffix, std::string_view labels,
                 std::string_view value) -> void
{
    out.append(name).append(suffix);
    if (!labels.empty())
        out.append("{").append(labels).append("}");
    out.append(" ").append(value).append("\n");
}

auto append_histogram(std::string& out, std::string_view name,
                      std::string const& labels, series const& printed) -> void
{
    auto const& histogram = *printed.m_histogram;
    auto const& axis = histogram.axis();
    auto const prefix = labels.empty() ? labels : labels + ",";
    auto count = std::uint64_t{histogram.at(-1)};
    auto const append_bucket = [&](std::string const& bound)
    {
        append_line(out, name, "_bucket", prefix + print_label("le", bound),
                    std::to_string(count));
    };
    append_bucket(print_bound(lowest_seconds));
    for (auto index = 0; index < axis.size(); ++index)
    {
        count += histogram.at(index);
        append_bucket(print_bound(axis.value(index + 1)));
    }
    count = printed.m_count;
    append_bucket("+Inf");
    append_line(out, name, "_sum", labels, print_number(printed.m_value));
    append_line(out, name, "_count", labels, std::to_string(count));
}

auto append_metric(std::string& out, metric_definition const& definition,
                   metric const& printed) -> void
{
    out.append("# HELP ").append(definition.m_name).append(" ");
    out.append(definition.m_help).append("\n");
    out.append("# TYPE ").append(definition.m_name).append(" ");
    out.append(to_string(definition.m_kind)).append("\n");
    for (auto const& [values, one] : printed.m_series)
    {
        auto const labels = print_labels(definition, values);
        if (definition.m_kind == metric_kind::histogram)
            append_histogram(out, definition.m_name, labels, one);
        else
            append_line(out, definition.m_name, "", labels,
                        print_number(one.m_value));
    }
}

} // namespace

struct metrics::state
{
    /// In the order of the definitions.
    std::vector<metric> m_metrics{metric_definitions().size()};
};

metrics::metrics() : m_state(std::make_unique<state>())
{
    // Counters and histograms without labels are exported from the start, so
    // that their first increase is visible.
    for (auto index = std::size_t{0}; index < m_state->m_metrics.size();
         ++index)
    {
        auto const& definition = metric_definitions()[index];
        if (definition.labels().empty() &&
            definition.m_kind != metric_kind::gauge)
            find_series(m_state->m_metrics[index], definition.m_kind, {});
    }
}

metrics::metrics(metrics&&) noexcept = default;
auto metrics::operator=(metrics&&) noexcept -> metrics& = default;
metrics::~metrics() = default;

auto metrics::observe(core::observe_metric const& sample) -> bool
{
    auto const index = find_metric(sample.m_name);
    if (index == metric_definitions().size() || !std::isfinite(sample.m_value))
        return false;
    auto const& definition = metric_definitions()[index];
    if (definition.m_kind == metric_kind::counter && sample.m_value < 0)
        return false;
    auto const names = definition.labels();
    auto values = label_values(names.size());
    for (auto const& [name, value] : sample.m_labels)
    {
        auto const position = std::ranges::find(names, name);
        if (position == names.end())
            return false;
        values[static_cast<std::size_t>(position - names.begin())] =
            core::skip_invalid_utf8(value);
    }
    auto& target = m_state->m_metrics[index];
    for (auto label = std::size_t{0}; label < values.size(); ++label)
        values[label] = limit_label_value(target.m_known_values.at(label),
                                          std::move(values[label]));
    add_sample(find_series(target, definition.m_kind, std::move(values)),
               definition.m_kind, sample.m_value);
    return true;
}

auto metrics::print() const -> std::string
{
    auto text = std::string{};
    for (auto index = std::size_t{0}; index < m_state->m_metrics.size();
         ++index)
        append_metric(text, metric_definitions()[index],
                      m_state->m_metrics[index]);
    return text;
}

} // namespace hickorylatch::observe
