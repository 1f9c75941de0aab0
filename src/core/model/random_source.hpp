#ifndef HICKORYLATCH_CORE_MODEL_RANDOM_SOURCE_HPP
#define HICKORYLATCH_CORE_MODEL_RANDOM_SOURCE_HPP

#include "core/model/submission.hpp"
#include "core/model/time.hpp"

#include <cstdint>
#include <random>

namespace hickorylatch::core
{

/// Pseudo-random numbers of one node, reproducible from the seed in `started`.
class random_source
{
public:
    auto seed(std::uint64_t value) -> void;

    [[nodiscard]] auto number() -> std::uint64_t;
    /// Uniformly distributed in [0, 1).
    [[nodiscard]] auto fraction() -> double;
    /// A new span in the given trace, or in a new trace if the parent is not
    /// valid.
    [[nodiscard]] auto child_of(trace_context const& parent) -> trace_context;

private:
    std::mt19937_64 m_engine;
};

} // namespace hickorylatch::core

#endif
