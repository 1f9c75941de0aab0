#include "core/model/random_source.hpp"

#include "core/model/traceparent.hpp"

namespace hickorylatch::core
{

auto random_source::seed(std::uint64_t value) -> void
{
    m_engine.seed(value);
}

auto random_source::number() -> std::uint64_t
{
    return m_engine();
}

auto random_source::fraction() -> double
{
    return std::uniform_real_distribution<double>{0.0, 1.0}(m_engine);
}

auto random_source::child_of(trace_context const& parent) -> trace_context
{
    if (is_valid(parent))
        return child_span(parent, number());
    auto const high = number();
    auto const low = number();
    return new_trace(high, low, number());
}

} // namespace hickorylatch::core
