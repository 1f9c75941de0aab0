#include "wire/codec.hpp"

#include "largest_allocation.hpp"

#include <boost/test/unit_test.hpp>

namespace core = hickorylatch::core;
namespace wire = hickorylatch::wire;
using namespace hickorylatch::tests;

// Guards against a false length of a string or list, anywhere in a message,
// that makes the decoder allocate the declared size.
BOOST_AUTO_TEST_CASE(false_length_does_not_cause_a_large_allocation)
{
    constexpr auto limit = std::size_t{64} * 1024;
    // Compact lengths of 2^21, 2^28 and 2^32 - 1.
    auto const lengths = {std::string{"\x80\x80\x80\x01"},
                          std::string{"\x80\x80\x80\x80\x01"},
                          std::string{"\xff\xff\xff\xff\x0f"}};
    auto submission = core::submission{};
    submission.m_customer = "Ipoh Cobblers";
    submission.m_tasks.resize(20);
    auto const bytes = wire::encode(core::message{core::submit{1, submission}});
    for (auto const& length : lengths)
    {
        for (auto offset = std::size_t{0}; offset < bytes.size(); ++offset)
        {
            auto const with_length =
                bytes.substr(0, offset) + length + bytes.substr(offset + 1);
            // The long form of a list header, for any element type.
            auto const with_list = bytes.substr(0, offset) + "\xfc" + length;
            reset_largest_allocation();
            static_cast<void>(wire::decode_message(with_length));
            static_cast<void>(wire::decode_message(with_list));
            BOOST_TEST(largest_allocation() <= limit);
        }
    }
}
