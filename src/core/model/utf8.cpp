#include "core/model/utf8.hpp"

#include <boost/locale/encoding_utf.hpp>
#include <boost/locale/utf.hpp>

namespace hickorylatch::core
{

auto is_utf8(std::string_view bytes) -> bool
{
    namespace utf = boost::locale::utf;
    for (auto const* at = bytes.begin(); at != bytes.end();)
    {
        auto const point = utf::utf_traits<char>::decode(at, bytes.end());
        if (point == utf::illegal || point == utf::incomplete)
            return false;
    }
    return true;
}

auto skip_invalid_utf8(std::string_view bytes) -> std::string
{
    namespace conv = boost::locale::conv;
    return conv::utf_to_utf<char>(bytes.data(), bytes.data() + bytes.size(),
                                  conv::skip);
}

} // namespace hickorylatch::core
