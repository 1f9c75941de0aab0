#include "settings/parse_errors.hpp"

namespace hickorylatch::settings
{

auto to_string(parse_errors const& errors, std::string_view separator)
    -> std::string
{
    auto text = std::string{};
    for (auto const& message : errors.m_messages)
    {
        if (!text.empty())
            text += separator;
        text += message;
    }
    return text;
}

} // namespace hickorylatch::settings
