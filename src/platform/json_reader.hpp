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

/// Why a body of the platform's protocol can't be understood. Carried as a LEAF
/// error object.
struct body_error
{
    std::string m_text;
};

/// Parses a body that must be one JSON object. Errors: `body_error`.
[[nodiscard]] auto parse_object(std::string_view text)
    -> boost::leaf::result<boost::json::object>;

/// Reads members of an object of the platform's protocol and keeps the first
/// fault. Members that are missing have the fallback; members of another type
/// are a fault.
class json_reader
{
public:
    explicit json_reader(boost::json::object const& from);

    [[nodiscard]] auto text(std::string_view name) -> std::string;
    [[nodiscard]] auto flag(std::string_view name) -> bool;
    /// Fraction or integer.
    [[nodiscard]] auto fraction(std::string_view name, double fallback)
        -> double;
    [[nodiscard]] auto integer(std::string_view name, std::int64_t fallback = 0)
        -> std::int64_t;
    /// An integer from 0 to the largest value of the type.
    [[nodiscard]] auto count(std::string_view name, std::uint32_t fallback = 0)
        -> std::uint32_t;
    [[nodiscard]] auto texts(std::string_view name) -> std::vector<std::string>;
    [[nodiscard]] auto counts(std::string_view name)
        -> std::vector<std::uint32_t>;
    /// Null if the member is missing or has another type.
    [[nodiscard]] auto array(std::string_view name)
        -> boost::json::array const*;
    [[nodiscard]] auto object(std::string_view name)
        -> boost::json::object const*;
    [[nodiscard]] auto has(std::string_view name) const -> bool;

    /// Notes a fault.
    auto fail(std::string_view name, std::string_view what) -> void;
    /// The first fault; none if everything could be read.
    [[nodiscard]] auto fault() const -> std::optional<std::string> const&;

private:
    boost::json::object const& m_from;
    std::optional<std::string> m_fault;
};

} // namespace hickorylatch::platform

#endif
