#include "core/random_source.hpp"

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

auto random_source::hexadecimal(std::size_t digits) -> std::string
{
    static constexpr auto alphabet = std::string_view{"0123456789abcdef"};
    auto text = std::string{};
    for (auto bits = number(); text.size() < digits; bits >>= 4U)
        text.push_back(alphabet[bits & 0xFU]);
    return text;
}

auto random_source::child_of(trace_context const& parent) -> trace_context
{
    auto child = trace_context{parent.m_trace, hexadecimal(16)};
    if (child.m_trace.empty())
        child.m_trace = hexadecimal(16) + hexadecimal(16);
    return child;
}

} // namespace hickorylatch::core
