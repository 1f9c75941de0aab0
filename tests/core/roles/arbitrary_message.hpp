#ifndef HICKORYLATCH_TESTS_CORE_ROLES_ARBITRARY_MESSAGE_HPP
#define HICKORYLATCH_TESTS_CORE_ROLES_ARBITRARY_MESSAGE_HPP

#include "core/model/message.hpp"

#include <boost/describe.hpp>
#include <boost/mp11.hpp>

#include <array>
#include <concepts>
#include <cstdint>
#include <limits>
#include <optional>
#include <random>
#include <string>
#include <type_traits>
#include <variant>
#include <vector>

namespace hickorylatch::test
{

/// Fills described aggregates with values that can be decoded but need not be
/// valid: mostly small numbers and known names, so that they often refer to
/// something that exists, and sometimes the limits of the type.
class arbitrary_values
{
public:
    explicit arbitrary_values(std::uint64_t seed) : m_random{seed}
    {
    }

    /// A message of any type.
    auto message() -> core::message
    {
        auto made = core::message{};
        fill(made);
        return made;
    }

    auto number(std::uint64_t limit) -> std::uint64_t
    {
        return m_random() % limit;
    }

private:
    template <typename T>
    auto fill(std::vector<T>& value) -> void
    {
        value.resize(number(4));
        for (auto& each : value)
            fill(each);
    }

    template <typename T>
    auto fill(std::optional<T>& value) -> void
    {
        if (number(2) == 0)
            fill(value.emplace());
    }

    template <typename... Alternatives>
    auto fill(std::variant<Alternatives...>& value) -> void
    {
        boost::mp11::mp_with_index<sizeof...(Alternatives)>(
            number(sizeof...(Alternatives)),
            [&](auto index)
            {
                fill(value.template emplace<index>());
            });
    }

    auto fill(std::string& value) -> void
    {
        static auto const names = std::to_array<std::string>(
            {"", "desk", "w", "fast", "00000000000000aa", "10.0.0.1:1",
             std::string(300, '\xff')});
        value = names[number(names.size())];
    }

    auto fill(core::duration& value) -> void
    {
        auto count = std::int64_t{0};
        fill(count);
        value = core::duration{count};
    }

    template <typename T>
    auto fill(T& value) -> void
    {
        if constexpr (boost::describe::has_describe_members<T>::value)
            boost::mp11::mp_for_each<boost::describe::describe_members<
                T, boost::describe::mod_public>>(
                [&](auto member)
                {
                    fill(value.*member.pointer);
                });
        else if constexpr (std::same_as<T, bool>)
            value = number(2) == 0;
        else if constexpr (std::is_enum_v<T>)
            value = static_cast<T>(number(5));
        else
        {
            auto const drawn = number(12);
            value = drawn == 0   ? std::numeric_limits<T>::max()
                    : drawn == 1 ? std::numeric_limits<T>::min()
                                 : static_cast<T>(drawn - 2);
        }
    }

    std::mt19937_64 m_random;
};

} // namespace hickorylatch::test

#endif
