#include "settings/content_digest.hpp"

#include <string_view>

namespace hickorylatch::settings
{

namespace
{

class fnv_1a
{
public:
    auto add(std::uint64_t number) -> void
    {
        for (auto shift = 0; shift < 64; shift += 8)
            add_byte(static_cast<std::uint8_t>(number >> shift));
    }

    auto add(std::string_view text) -> void
    {
        add(std::uint64_t{text.size()});
        for (auto const c : text)
            add_byte(static_cast<std::uint8_t>(c));
    }

    [[nodiscard]] auto value() const -> std::uint64_t
    {
        return m_value;
    }

private:
    auto add_byte(std::uint8_t byte) -> void
    {
        constexpr auto prime = std::uint64_t{0x100000001b3};
        m_value = (m_value ^ byte) * prime;
    }

    std::uint64_t m_value = 0xcbf29ce484222325;
};

// Digested in place of a missing priority; not a valid priority itself.
constexpr auto no_priority = std::uint64_t{0xff};

} // namespace

auto content_digest(core::submission const& content) -> std::uint64_t
{
    auto digest = fnv_1a{};
    digest.add(static_cast<std::uint64_t>(content.m_kind));
    digest.add(content.m_service);
    digest.add(content.m_path);
    digest.add(content.m_customer);
    digest.add(content.m_priority ? *content.m_priority : no_priority);
    digest.add(content.m_account_manager);
    digest.add(std::uint64_t{content.m_tasks.size()});
    for (auto const& task : content.m_tasks)
    {
        digest.add(task.m_body);
        digest.add(std::uint64_t{task.m_cores});
        digest.add(std::uint64_t{task.m_memory_mb});
        digest.add(std::uint64_t{task.m_accelerators});
        digest.add(std::uint64_t{task.m_run_time_ms});
    }
    digest.add(content.m_unknown_fields);
    return digest.value();
}

} // namespace hickorylatch::settings
