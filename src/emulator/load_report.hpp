#ifndef HICKORYLATCH_EMULATOR_LOAD_REPORT_HPP
#define HICKORYLATCH_EMULATOR_LOAD_REPORT_HPP

#include "core/model/time.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace hickorylatch::emulator
{

/// What a load run has measured.
class load_report
{
public:
    /// Counts the end of a request. The outcome is the value of the answer's
    /// verdict header. Without an answer it is what the HTTP client knows, and
    /// the status is 0.
    auto add_outcome(std::string_view outcome, std::uint16_t status) -> void;
    /// Adds an answer whose run time is known.
    auto add_response(core::duration response, core::duration run_time) -> void;

    /// Ends with the outcome "ran" and status 200.
    [[nodiscard]] auto succeeded() const -> std::size_t;
    [[nodiscard]] auto ended() const -> std::size_t;
    /// Table for people and scripts: one "name value" or "name key value" per
    /// line. Times are in milliseconds.
    [[nodiscard]] auto print(core::duration elapsed) const -> std::string;

    /// Answers that belong to another request or to none.
    std::size_t m_mismatched = 0;
    /// Arrivals that were dropped because too many requests were open.
    std::size_t m_not_sent = 0;

private:
    std::map<std::pair<std::string, std::uint16_t>, std::size_t> m_outcomes;
    std::size_t m_ended = 0;
    std::vector<core::duration> m_responses;
    std::vector<core::duration> m_overheads;
    double m_slowdown_sum = 0;
};

} // namespace hickorylatch::emulator

#endif
