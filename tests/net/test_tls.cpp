#include "net/error.hpp"
#include "net/loop_runner.hpp"
#include "net/peer_links.hpp"
#include "net/tls_context.hpp"

#include <boost/leaf/handle_errors.hpp>
#include <boost/test/unit_test.hpp>

#include <openssl/evp.h>
#include <openssl/pem.h>
#include <openssl/x509.h>

#include <unistd.h>

#include <cstdio>
#include <filesystem>
#include <functional>
#include <memory>
#include <string>

namespace core = hickorylatch::core;
namespace leaf = boost::leaf;
namespace net = hickorylatch::net;

namespace
{

using key_handle = std::unique_ptr<EVP_PKEY, decltype(&EVP_PKEY_free)>;

/// A folder with a key and a self-signed certificate, which is also the
/// authority.
struct tls_identity
{
    tls_identity()
        : m_folder{std::filesystem::temp_directory_path() /
                   ("test-tls-" + std::to_string(getpid()) + "-" +
                    std::to_string(++s_count))},
          m_files{m_folder / "certificate.pem", m_folder / "key.pem",
                  m_folder / "certificate.pem"}
    {
        std::filesystem::create_directories(m_folder);
        auto const key = key_handle{EVP_EC_gen("P-256"), &EVP_PKEY_free};
        auto const certificate =
            std::unique_ptr<X509, decltype(&X509_free)>{X509_new(), &X509_free};
        auto* const subject = X509_get_subject_name(certificate.get());
        auto const name = std::to_string(s_count);
        X509_NAME_add_entry_by_txt(
            subject, "CN", MBSTRING_ASC,
            reinterpret_cast<unsigned char const*>(name.c_str()), -1, -1, 0);
        X509_set_issuer_name(certificate.get(), subject);
        X509_gmtime_adj(X509_getm_notBefore(certificate.get()), 0);
        X509_gmtime_adj(X509_getm_notAfter(certificate.get()), 3'600);
        X509_set_pubkey(certificate.get(), key.get());
        X509_sign(certificate.get(), key.get(), EVP_sha256());
        write(m_files.m_certificate,
              [&](std::FILE* file)
              {
                  PEM_write_X509(file, certificate.get());
              });
        write(m_files.m_key,
              [&](std::FILE* file)
              {
                  PEM_write_PrivateKey(file, key.get(), nullptr, nullptr, 0,
                                       nullptr, nullptr);
              });
    }

    ~tls_identity()
    {
        std::filesystem::remove_all(m_folder);
    }

    static auto write(std::string const& path,
                      std::function<void(std::FILE*)> const& write_content)
        -> void
    {
        auto const file = std::unique_ptr<std::FILE, decltype(&std::fclose)>{
            std::fopen(path.c_str(), "w"), &std::fclose};
        write_content(file.get());
    }

    static inline int s_count = 0;
    std::filesystem::path m_folder;
    net::tls_files m_files;
};

auto make_links(net::event_loop& loop, std::uint64_t node,
                net::tls_files const& files) -> std::unique_ptr<net::peer_links>
{
    auto settings = net::peer_links_settings{};
    settings.m_hello.m_node = core::node_id{node};
    settings.m_tls = leaf::try_handle_all(
        [&]
        {
            return net::tls_context::load(files);
        },
        []
        {
            return std::shared_ptr<net::tls_context const>{};
        });
    BOOST_REQUIRE(settings.m_tls != nullptr);
    return std::make_unique<net::peer_links>(loop, settings);
}

/// Connects two nodes; true if the server received a message, false if it
/// rejected the link.
auto is_message_received(net::tls_files const& server_files,
                         net::tls_files const& client_files) -> bool
{
    auto loop = net::event_loop{};
    auto const server = make_links(loop, 1, server_files);
    auto const client = make_links(loop, 2, client_files);
    auto is_received = false;
    auto is_rejected = false;
    client->peer_connected().connect(
        [&](core::hello const& peer)
        {
            client->send(
                peer.m_node,
                core::install_snapshot{.m_data = std::string(1'000'000, 'x')});
        });
    server->message_received().connect(
        [&](core::node_id, core::message const&)
        {
            is_received = true;
        });
    server->line_logged().connect(
        [&](core::log_line const&)
        {
            is_rejected = true;
        });
    leaf::try_handle_all(
        [&]
        {
            return server->listen("127.0.0.1:0");
        },
        []
        {
            BOOST_FAIL("cannot listen");
        });
    auto const address = "127.0.0.1:" + std::to_string(server->port());
    client->set_targets(std::vector<std::string>{address});
    BOOST_TEST(run_until(loop,
                         [&]
                         {
                             return is_received || is_rejected;
                         }));
    return is_received;
}

} // namespace

// Guards against links that do not work with TLS, and against accepting a
// certificate of another authority, on either side.
BOOST_AUTO_TEST_CASE(only_certificates_of_the_authority_are_accepted)
{
    auto const trusted = tls_identity{};
    auto const other = tls_identity{};
    BOOST_TEST(is_message_received(trusted.m_files, trusted.m_files));
    BOOST_TEST(!is_message_received(trusted.m_files, other.m_files));
    auto mixed_files = other.m_files;
    mixed_files.m_authority = trusted.m_files.m_authority;
    BOOST_TEST(!is_message_received(trusted.m_files, mixed_files));
    BOOST_TEST(!is_message_received(mixed_files, trusted.m_files));
}

// Guards against an unclear error message about a missing file or a wrong key.
BOOST_AUTO_TEST_CASE(tls_error_contains_the_file)
{
    auto const trusted = tls_identity{};
    auto const other = tls_identity{};
    auto const text = [](net::tls_files const& files)
    {
        return leaf::try_handle_all(
            [&]() -> leaf::result<std::string>
            {
                BOOST_LEAF_CHECK(net::tls_context::load(files));
                return std::string{};
            },
            [](net::error const& failure)
            {
                return failure.m_text;
            },
            []
            {
                return std::string{};
            });
    };
    auto files = trusted.m_files;
    files.m_key = other.m_files.m_key;
    BOOST_TEST(text(files).starts_with("cannot use TLS file " + files.m_key));
    files = trusted.m_files;
    files.m_authority = "missing.pem";
    BOOST_TEST(text(files).starts_with("cannot use TLS file missing.pem"));
}
