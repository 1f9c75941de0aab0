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

/// What a stand-in has seen. Remembers every attempt, so that a double start
/// is found however late it comes.
class endpoint_counts
{
public:
    /// Counts a start. The attempt may be empty; the digest is that of the
    /// request's content.
    auto add_start(std::string_view attempt, std::string_view path,
                   std::string_view digest) -> void;
    auto add_end() -> void;

    /// Starts of one attempt.
    [[nodiscard]] auto starts_of(std::string const& attempt) const
        -> std::uint32_t;
    /// Starts after the first one of their attempt.
    [[nodiscard]] auto double_starts() const -> std::uint64_t;
    /// All counts as JSON text.
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
    std::unordered_map<std::string, std::uint32_t> m_attempts;
    std::unordered_map<std::string, std::uint32_t> m_contents;
    /// Starts after the first one of the same content, by path.
    std::map<std::string, std::uint64_t, std::less<>> m_repeated;
    std::uint64_t m_double_starts = 0;
};

} // namespace hickorylatch::emulator

#endif
