#include "net/http_message.hpp"

#include <strings.h>

#include <algorithm>

namespace hickorylatch::net
{

auto find_header(http_headers const& headers, std::string_view name)
    -> std::optional<std::string_view>
{
    auto const is_named = [name](auto const& header)
    {
        return header.first.size() == name.size() &&
               strncasecmp(header.first.data(), name.data(), name.size()) == 0;
    };
    auto const found = std::ranges::find_if(headers, is_named);
    if (found == headers.end())
        return std::nullopt;
    return found->second;
}

} // namespace hickorylatch::net
