#include "hickorylatch/document_printer.hpp"

#include <boost/json.hpp>

#include <algorithm>
#include <map>
#include <ostream>
#include <string>
#include <vector>

namespace hickorylatch::program
{

namespace
{

namespace json = boost::json;

auto to_cell(json::value const& value) -> std::string
{
    if (value.is_string())
        return std::string{value.as_string()};
    if (value.is_null())
        return "-";
    return json::serialize(value);
}

auto is_table(json::value const& value) -> bool
{
    return value.is_array() && !value.as_array().empty() &&
           std::ranges::all_of(value.as_array(),
                               [](json::value const& row)
                               {
                                   return row.is_object();
                               });
}

auto print_row(std::ostream& out, std::vector<std::string> const& cells,
               std::vector<std::size_t> const& widths) -> void
{
    for (auto column = std::size_t{0}; column < cells.size(); ++column)
    {
        auto const is_last = column + 1 == cells.size();
        auto const padding =
            is_last ? 0 : widths[column] - cells[column].size() + 2;
        out << cells[column] << std::string(padding, ' ');
    }
    out << '\n';
}

auto print_table(std::ostream& out, json::array const& rows) -> void
{
    auto lines = std::vector<std::vector<std::string>>{{}};
    for (auto const& member : rows.front().as_object())
        lines.front().emplace_back(member.key());
    for (auto const& row : rows)
    {
        auto& cells = lines.emplace_back();
        for (auto const& name : lines.front())
        {
            auto const* value = row.as_object().if_contains(name);
            cells.push_back(value == nullptr ? "-" : to_cell(*value));
        }
    }
    auto widths = std::vector<std::size_t>(lines.front().size());
    for (auto const& cells : lines)
    {
        for (auto column = std::size_t{0}; column < cells.size(); ++column)
            widths[column] = std::max(widths[column], cells[column].size());
    }
    for (auto const& cells : lines)
        print_row(out, cells, widths);
}

} // namespace

auto print_document(std::ostream& out, std::string_view text) -> void
{
    auto error = boost::system::error_code{};
    auto const document = json::parse(text, error);
    if (error || !document.is_object())
    {
        out << text << '\n';
        return;
    }
    for (auto const& [name, value] : document.as_object())
    {
        if (!is_table(value))
        {
            out << name << ": " << to_cell(value) << '\n';
            continue;
        }
        out << name << ":\n";
        print_table(out, value.as_array());
    }
}

} // namespace hickorylatch::program
