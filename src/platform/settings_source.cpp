#include "platform/settings_source.hpp"

#include <fstream>
#include <iterator>
#include <utility>

namespace hickorylatch::platform
{

namespace leaf = boost::leaf;

namespace
{

auto read_text(std::string const& name) -> leaf::result<std::string>
{
    auto file = std::ifstream{name};
    auto text = std::string{std::istreambuf_iterator<char>{file}, {}};
    if (!file)
        return leaf::new_error(settings_error{name + " can't be read"});
    return text;
}

} // namespace

settings_source::settings_source(std::string file, std::string listen_ip)
    : m_file{std::move(file)}, m_listen_ip{std::move(listen_ip)}
{
}

auto settings_source::parse() const -> leaf::result<host_settings>
{
    BOOST_LEAF_AUTO(parsed, parse_host_settings(m_text));
    if (!m_listen_ip.empty())
        parsed.m_listen_ip = m_listen_ip;
    return parsed;
}

auto settings_source::read() -> leaf::result<host_settings>
{
    BOOST_LEAF_ASSIGN(m_text, read_text(m_file));
    return parse();
}

auto settings_source::read_change()
    -> leaf::result<std::optional<host_settings>>
{
    BOOST_LEAF_AUTO(text, read_text(m_file));
    if (text == m_text)
        return std::optional<host_settings>{};
    m_text = std::move(text);
    BOOST_LEAF_AUTO(changed, parse());
    return std::optional{std::move(changed)};
}

} // namespace hickorylatch::platform
