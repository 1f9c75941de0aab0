#ifndef HICKORYLATCH_EMULATOR_ENDPOINT_COUNTS_HPP
#define HICKORYLATCH_EMULATOR_ENDPOINT_COUNTS_HPP

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <unordered_map>

namespace hickorylatch::emulator
{

/// Counters of an emulated endpoint. Remembers every attempt, so that a double
/// start is detected however late it arrives.
class endpoint_counts
{
public:
    /// Counts a start. The attempt may be empty; the digest identifies the
    /// request by path and body.
    auto add_start(std::string_view attempt, std::string_view path,
                   std::string_view digest) -> void;
    auto add_end() -> void;

    /// Number of starts of one attempt.
    [[nodiscard]] auto starts_of(std::string const& attempt) const
        -> std::uint32_t;
    /// Number of starts beyond the first of each attempt.
    [[nodiscard]] auto double_starts() const -> std::uint64_t;
    /// Serializes all counts as JSON.
    [[nodiscard]] auto print() const -> std::string;

    std::uint64_t m_started = 0;
    std::uint64_t m_answered = 0;
    /// Refused because all slots were in use.
    std::uint64_t m_refused = 0;
    /// Ended by a failure mode instead of an answer.
    std::uint64_t m_failed = 0;
    std::uint64_t m_stopped = 0;
    /// The caller closed its connection before the end.
    std::uint64_t m_abandoned = 0;
    std::size_t m_running = 0;
    std::size_t m_most_running = 0;

private:
    std::unordered_map<std::string, std::uint32_t> m_starts_by_attempt;
    std::unordered_map<std::string, std::uint32_t> m_starts_by_digest;
    /// Starts beyond the first with the same digest, by path.
    std::map<std::string, std::uint64_t, std::less<>> m_repeated_starts;
    std::uint64_t m_double_starts = 0;
};

} // namespace hickorylatch::emulator

#endif
