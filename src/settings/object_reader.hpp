#ifndef HICKORYLATCH_SETTINGS_OBJECT_READER_HPP
#define HICKORYLATCH_SETTINGS_OBJECT_READER_HPP

#include "settings/error_collector.hpp"

#include <concepts>
#include <cstdint>
#include <limits>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace boost::json
{
class object;
class value;
} // namespace boost::json

namespace hickorylatch::settings
{

enum class presence : std::uint8_t
{
    required,
    optional
};

/// Inclusive range of an integer.
struct number_range
{
    std::int64_t m_lowest = 0;
    std::int64_t m_highest = std::numeric_limits<std::int64_t>::max();
};

/// Reads the fields of one JSON object and collects errors by path. A read
/// function leaves its output unchanged if the field is missing or invalid.
class object_reader
{
public:
    /// The object and the collector must outlive the reader.
    object_reader(boost::json::object const& object, std::string path,
                  error_collector& errors);

    auto read_string(std::string_view key, presence needed, std::string& out)
        -> void;
    /// Reads a name, such as that of a customer or process: 1 to 128 bytes, no
    /// control characters, no space at either end.
    auto read_name(std::string_view key, presence needed, std::string& out)
        -> void;
    auto read_bool(std::string_view key, presence needed, bool& out) -> void;
    template <std::integral Number>
    auto read_number(std::string_view key, presence needed, number_range range,
                     Number& out) -> void
    {
        if (auto const number = read_integer(key, needed, range))
            out = static_cast<Number>(*number);
    }
    auto read_strings(std::string_view key, presence needed,
                      std::vector<std::string>& out) -> void;
    /// Reader of an object in a field.
    [[nodiscard]] auto read_object(std::string_view key, presence needed)
        -> std::optional<object_reader>;
    /// Readers of the objects of an array in a field. Elements that are not
    /// objects add an error and are left out.
    [[nodiscard]] auto read_objects(std::string_view key, presence needed)
        -> std::vector<object_reader>;

    /// Adds an error for each field that no function above has read.
    auto reject_unknown_keys() -> void;
    /// The fields that no function above has read, as the text of a JSON object
    /// with sorted keys. Empty if there are none.
    [[nodiscard]] auto unknown_fields() const -> std::string;

    /// Adds an error at a field.
    auto fail(std::string_view key, std::string_view reason) -> void;
    [[nodiscard]] auto has(std::string_view key) const -> bool;
    [[nodiscard]] auto path() const -> std::string_view;

private:
    [[nodiscard]] auto find(std::string_view key, presence needed)
        -> boost::json::value const*;
    [[nodiscard]] auto read_integer(std::string_view key, presence needed,
                                    number_range range)
        -> std::optional<std::int64_t>;

    boost::json::object const* m_object;
    std::string m_path;
    error_collector* m_errors;
    std::set<std::string, std::less<>> m_read_keys;
};

/// True if the text is a valid name, see `object_reader::read_name`.
[[nodiscard]] auto is_name(std::string_view text) -> bool;

/// True if the text is a valid service name: 1 to 64 letters, digits, '.', '_'
/// or '-', because it is used as a URL path segment.
[[nodiscard]] auto is_service_name(std::string_view text) -> bool;

} // namespace hickorylatch::settings

#endif
