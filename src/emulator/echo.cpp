#include "emulator/echo.hpp"

#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include <openssl/evp.h>

#include <algorithm>
#include <array>

namespace hickorylatch::emulator
{

namespace json = boost::json;

namespace
{

// Long enough that requests of a run do not collide.
constexpr auto digest_bytes = std::size_t{12};

constexpr auto max_run_time_ms = std::int64_t{3'600'000};

auto parse_object(std::string_view text) -> json::object
{
    auto failure = boost::system::error_code{};
    auto document = json::parse(text, failure);
    if (failure || !document.is_object())
        return {};
    return std::move(document.as_object());
}

auto integer_member(json::object const& object, std::string_view name)
    -> std::optional<std::int64_t>
{
    auto const* const member = object.if_contains(name);
    if (member == nullptr || !member->is_int64())
        return std::nullopt;
    return member->as_int64();
}

} // namespace

auto request_digest(std::string_view path, std::string_view body) -> std::string
{
    path.remove_prefix(std::min(path.find_first_not_of('/'), path.size()));
    auto content = std::string{path};
    content += '\n';
    content += body;
    auto digest = std::array<unsigned char, EVP_MAX_MD_SIZE>{};
    EVP_Digest(content.data(), content.size(), digest.data(), nullptr,
               EVP_sha256(), nullptr);
    constexpr auto digits = std::string_view{"0123456789abcdef"};
    auto text = std::string{};
    for (auto index = std::size_t{0}; index < digest_bytes; ++index)
    {
        text += digits.at(digest.at(index) >> 4U);
        text += digits.at(digest.at(index) & 15U);
    }
    return text;
}

auto print_echo(echo const& answer) -> std::string
{
    return json::serialize(json::object{{"digest", answer.m_digest},
                                        {"run_us", answer.m_run_time.count()}});
}

auto parse_echo(std::string_view text) -> std::optional<echo>
{
    auto const object = parse_object(text);
    auto const* const digest = object.if_contains("digest");
    auto const run_time = integer_member(object, "run_us");
    if (digest == nullptr || !digest->is_string() || !run_time)
        return std::nullopt;
    return echo{std::string{digest->as_string()}, core::duration{*run_time}};
}

auto requested_run_time(std::string_view body) -> std::optional<core::duration>
{
    if (!body.starts_with('{'))
        return std::nullopt;
    auto const milliseconds =
        integer_member(parse_object(body), run_time_member);
    if (!milliseconds || *milliseconds < 0 || *milliseconds > max_run_time_ms)
        return std::nullopt;
    return std::chrono::milliseconds{*milliseconds};
}

} // namespace hickorylatch::emulator
