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

/// Measurements of a load run.
class load_report
{
public:
    /// Counts an ended request. The outcome is the verdict header of its
    /// answer; without an answer it is the run state that the HTTP client
    /// reports, and the status is 0.
    auto add_outcome(std::string_view outcome, std::uint16_t status) -> void;
    /// Adds the times of an answer that reports its run time.
    auto add_response(core::duration response_time, core::duration run_time)
        -> void;

    /// Number of requests with outcome "ran" and status 200.
    [[nodiscard]] auto succeeded() const -> std::size_t;
    [[nodiscard]] auto ended() const -> std::size_t;
    /// Formats the report, with one "name value" or "name key value" per line
    /// and times in milliseconds.
    [[nodiscard]] auto print(core::duration elapsed) const -> std::string;

    /// Answers that belong to another request or to none.
    std::size_t m_mismatched = 0;
    /// Arrivals dropped because too many requests were open.
    std::size_t m_not_sent = 0;

private:
    std::map<std::pair<std::string, std::uint16_t>, std::size_t> m_outcomes;
    std::size_t m_ended = 0;
    std::vector<core::duration> m_response_times;
    std::vector<core::duration> m_overheads;
    double m_slowdown_sum = 0;
};

} // namespace hickorylatch::emulator

#endif
