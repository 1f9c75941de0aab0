#ifndef HICKORYLATCH_EMULATOR_ECHO_HPP
#define HICKORYLATCH_EMULATOR_ECHO_HPP

#include "core/model/time.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace hickorylatch::emulator
{

/// Member of a JSON request body that sets the run time in milliseconds.
inline constexpr auto run_time_member = std::string_view{"emulate_run_ms"};

/// Answer of an emulated endpoint to a request that ran.
struct echo
{
    /// `request_digest` of the request.
    std::string m_digest;
    /// Time for which the request ran.
    core::duration m_run_time{0};
};

/// Digest of a request's path, without leading slashes, and of its body.
[[nodiscard]] auto request_digest(std::string_view path, std::string_view body)
    -> std::string;

/// Serializes the answer as JSON.
[[nodiscard]] auto print_echo(echo const& answer) -> std::string;

/// Returns nothing if the text is not an answer of an emulated endpoint.
[[nodiscard]] auto parse_echo(std::string_view text) -> std::optional<echo>;

/// Run time that a JSON request body sets with `run_time_member`, if any.
[[nodiscard]] auto requested_run_time(std::string_view body)
    -> std::optional<core::duration>;

} // namespace hickorylatch::emulator

#endif
