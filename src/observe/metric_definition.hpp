#ifndef HICKORYLATCH_OBSERVE_METRIC_DEFINITION_HPP
#define HICKORYLATCH_OBSERVE_METRIC_DEFINITION_HPP

#include <array>
#include <cstddef>
#include <cstdint>
#include <span>
#include <string_view>

namespace hickorylatch::observe
{

enum class metric_kind : std::uint8_t
{
    counter,
    gauge,
    histogram
};

inline constexpr auto max_metric_labels = std::size_t{3};

/// Definition of one metric that processes report.
struct metric_definition
{
    /// Includes the unit, such as "_seconds" or "_bytes", if there is one.
    std::string_view m_name;
    metric_kind m_kind = metric_kind::counter;
    std::string_view m_help;
    /// Label names; unused elements are empty.
    std::array<std::string_view, max_metric_labels> m_labels{};

    /// Label names without the unused elements.
    [[nodiscard]] auto labels() const -> std::span<std::string_view const>;
};

/// All metrics, sorted by name.
[[nodiscard]] auto metric_definitions() -> std::span<metric_definition const>;

/// Index in `metric_definitions()`, or its size if the name is unknown.
[[nodiscard]] auto find_metric(std::string_view name) -> std::size_t;

[[nodiscard]] auto to_string(metric_kind kind) -> std::string_view;

} // namespace hickorylatch::observe

#endif
