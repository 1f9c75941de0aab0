#include "platform/evacuation_request.hpp"

#include <boost/json.hpp>
#include <boost/leaf/error.hpp>

#include <charconv>
#include <optional>

namespace hickorylatch::platform
{

namespace
{

constexpr auto evacuation_path = std::string_view{"/api/evacuate"};
// The requests have no body. A short one is ignored.
constexpr auto max_body_bytes = std::size_t{1'024};

auto reject(std::uint16_t status, std::string text) -> boost::leaf::error_id
{
    return boost::leaf::new_error(rejected_request{status, std::move(text)});
}

/// The text without percent-encoding; none if the encoding is invalid.
auto decode_percent(std::string_view text) -> std::optional<std::string>
{
    auto decoded = std::string{};
    for (auto position = std::size_t{0}; position < text.size(); ++position)
    {
        if (text[position] != '%')
        {
            decoded += text[position];
            continue;
        }
        auto const digits = text.substr(position + 1, 2);
        auto byte = std::uint8_t{0};
        auto const* const end = digits.data() + digits.size();
        auto const [parsed_end, error] =
            std::from_chars(digits.data(), end, byte, 16);
        if (digits.size() != 2 || error != std::errc{} || parsed_end != end)
            return std::nullopt;
        decoded += static_cast<char>(byte);
        position += 2;
    }
    return decoded;
}

auto make_json_answer(std::uint16_t status, boost::json::object const& body)
    -> net::http_answer
{
    return {status,
            {{"Content-Type", "application/json"}},
            boost::json::serialize(body)};
}

} // namespace

auto is_evacuation_path(std::string_view path) -> bool
{
    return path == evacuation_path ||
           (path.starts_with(evacuation_path) &&
            path.substr(evacuation_path.size()).starts_with('/'));
}

auto parse_evacuation(net::http_request const& request)
    -> boost::leaf::result<core::set_evacuation>
{
    auto change = core::set_evacuation{};
    change.m_is_evacuated = request.m_method == "POST";
    if (!change.m_is_evacuated && request.m_method != "DELETE")
        return reject(400, "use POST or DELETE");
    if (request.m_body.size() > max_body_bytes)
        return reject(413, "the body is longer than " +
                               std::to_string(max_body_bytes) + " bytes");
    auto name = decode_percent(
        std::string_view{request.m_path}.substr(evacuation_path.size()));
    if (!name || name->size() < 2)
        return reject(400, "expected the name of a failure domain after " +
                               std::string{evacuation_path} + "/");
    change.m_failure_domain = name->substr(1);
    return change;
}

auto make_evacuation_answer(core::verdict const& verdict) -> net::http_answer
{
    if (verdict.m_run == core::run_state::ran)
        return make_json_answer(200, boost::json::object{});
    auto const is_invalid = verdict.m_run == core::run_state::not_run &&
                            verdict.m_reason == core::reason::invalid;
    return make_rejection({static_cast<std::uint16_t>(is_invalid ? 400 : 503),
                           verdict.m_detail.empty()
                               ? std::string{to_string(verdict.m_reason)}
                               : verdict.m_detail});
}

auto make_rejection(rejected_request const& rejected) -> net::http_answer
{
    return make_json_answer(rejected.m_status,
                            boost::json::object{{"error", rejected.m_text}});
}

} // namespace hickorylatch::platform
