#include "wire/codec.hpp"

#include "largest_allocation.hpp"

#include <boost/test/unit_test.hpp>

namespace core = hickorylatch::core;
namespace wire = hickorylatch::wire;
using namespace hickorylatch::tests;

// Guards against a false length of a string or a list, at any place, that
// makes the decoder allocate what it declares.
BOOST_AUTO_TEST_CASE(a_false_length_allocates_little)
{
    constexpr auto limit = std::size_t{64} * 1024;
    // Compact lengths of 2^21, 2^28 and 2^32 - 1.
    auto const lengths = {std::string{"\x80\x80\x80\x01"},
                          std::string{"\x80\x80\x80\x80\x01"},
                          std::string{"\xff\xff\xff\xff\x0f"}};
    auto work = core::submission{};
    work.m_customer = "Ipoh Cobblers";
    work.m_tasks.resize(20);
    auto const bytes = wire::encode(core::message{core::submit{1, work}});
    for (auto const& length : lengths)
    {
        for (auto at = std::size_t{0}; at < bytes.size(); ++at)
        {
            auto const forged =
                bytes.substr(0, at) + length + bytes.substr(at + 1);
            // A list of any element type whose header has a long form.
            auto const list = bytes.substr(0, at) + "\xfc" + length;
            reset_largest_allocation();
            static_cast<void>(wire::decode_message(forged));
            static_cast<void>(wire::decode_message(list));
            BOOST_TEST(largest_allocation() <= limit);
        }
    }
}
