#ifndef HICKORYLATCH_PLATFORM_JSON_READER_HPP
#define HICKORYLATCH_PLATFORM_JSON_READER_HPP

#include <boost/json/object.hpp>
#include <boost/leaf/result.hpp>

#include <cstdint>
#include <limits>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace hickorylatch::platform
{

/// Why a body of the platform's protocol is invalid. Carried as a LEAF error
/// object.
struct body_error
{
    std::string m_text;
};

/// Parses a body that must be one JSON object. Errors: `body_error`.
[[nodiscard]] auto parse_object(std::string_view text)
    -> boost::leaf::result<boost::json::object>;

/// Reads members of a JSON object of the platform's protocol and keeps the
/// first error. Missing or null members have the fallback or an empty value;
/// members of another type are errors.
class json_reader
{
public:
    explicit json_reader(boost::json::object const& object);

    [[nodiscard]] auto string(std::string_view name) -> std::string;
    [[nodiscard]] auto boolean(std::string_view name) -> bool;
    /// A floating-point number or an integer.
    [[nodiscard]] auto number(std::string_view name, double fallback) -> double;
    [[nodiscard]] auto integer(std::string_view name, std::int64_t fallback = 0)
        -> std::int64_t;
    /// An integer from 0 to the largest value of the type.
    [[nodiscard]] auto count(std::string_view name, std::uint32_t fallback = 0)
        -> std::uint32_t;
    [[nodiscard]] auto strings(std::string_view name)
        -> std::vector<std::string>;
    [[nodiscard]] auto counts(std::string_view name)
        -> std::vector<std::uint32_t>;
    /// Null if the member is missing or has another type.
    [[nodiscard]] auto array(std::string_view name)
        -> boost::json::array const*;
    [[nodiscard]] auto object(std::string_view name)
        -> boost::json::object const*;
    [[nodiscard]] auto has(std::string_view name) const -> bool;

    /// Records an error unless there already is one.
    auto add_error(std::string_view name, std::string_view problem) -> void;
    /// The first error; none if all members were valid.
    [[nodiscard]] auto first_error() const -> std::optional<std::string> const&;

private:
    boost::json::object const& m_object;
    std::optional<std::string> m_first_error;
};

} // namespace hickorylatch::platform

#endif
