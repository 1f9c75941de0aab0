#ifndef HICKORYLATCH_OBSERVE_METRICS_HPP
#define HICKORYLATCH_OBSERVE_METRICS_HPP

#include "core/model/effect.hpp"

#include <cstddef>
#include <memory>
#include <string>

namespace hickorylatch::observe
{

/// Maximum number of distinct values of one label of a metric; further values
/// are counted under `overflow_label`.
inline constexpr auto max_label_values = std::size_t{100};

/// Maximum number of series of one metric; further ones are counted in the
/// series whose labels are all `overflow_label`. A histogram takes about 50
/// lines of output per series.
inline constexpr auto max_series = std::size_t{250};

inline constexpr auto overflow_label = std::string_view{"other"};

/// Metrics of one process. Not thread-safe.
class metrics
{
public:
    metrics();
    metrics(metrics&&) noexcept;
    auto operator=(metrics&&) noexcept -> metrics&;
    ~metrics();

    /// Records a sample. Missing labels are empty. Returns false and ignores
    /// the sample if the name or a label is not in `metric_definitions()`, if
    /// the value is not finite, or if a counter's value is negative.
    auto observe(core::observe_metric const& sample) -> bool;

    /// All metrics in the Prometheus text format, version 0.0.4.
    [[nodiscard]] auto print() const -> std::string;

private:
    struct state;

    std::unique_ptr<state> m_state;
};

/// Content type of the text that `metrics::print` returns.
inline constexpr auto metrics_content_type =
    std::string_view{"text/plain; version=0.0.4; charset=utf-8"};

} // namespace hickorylatch::observe

#endif
