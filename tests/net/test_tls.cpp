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

/// A folder with a self-signed certificate, which is its own authority.
struct identity
{
    identity()
        : m_folder{std::filesystem::temp_directory_path() /
                   ("test-tls-" + std::to_string(getpid()) + "-" +
                    std::to_string(++s_made))},
          m_files{m_folder / "certificate.pem", m_folder / "key.pem",
                  m_folder / "certificate.pem"}
    {
        std::filesystem::create_directories(m_folder);
        auto const key = key_handle{EVP_EC_gen("P-256"), &EVP_PKEY_free};
        auto const certificate =
            std::unique_ptr<X509, decltype(&X509_free)>{X509_new(), &X509_free};
        auto* const subject = X509_get_subject_name(certificate.get());
        auto const name = std::to_string(s_made);
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

    ~identity()
    {
        std::filesystem::remove_all(m_folder);
    }

    static auto write(std::string const& path,
                      std::function<void(std::FILE*)> const& print) -> void
    {
        auto const file = std::unique_ptr<std::FILE, decltype(&std::fclose)>{
            std::fopen(path.c_str(), "w"), &std::fclose};
        print(file.get());
    }

    static inline int s_made = 0;
    std::filesystem::path m_folder;
    net::tls_files m_files;
};

auto links(net::event_loop& loop, std::uint64_t node,
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

/// Connects two nodes; true once one got a message, false once one refused.
auto is_message_received(net::tls_files const& server_files,
                         net::tls_files const& client_files) -> bool
{
    auto loop = net::event_loop{};
    auto const server = links(loop, 1, server_files);
    auto const client = links(loop, 2, client_files);
    auto is_received = false;
    auto is_refused = false;
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
            is_refused = true;
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
    client->keep(std::vector<std::string>{address});
    BOOST_TEST(run_until(loop,
                         [&]
                         {
                             return is_received || is_refused;
                         }));
    return is_received;
}

} // namespace

// Guards against links that TLS breaks, and against peers whose certificate
// another authority signed, on either side.
BOOST_AUTO_TEST_CASE(only_certificates_of_the_authority_are_accepted)
{
    auto const own = identity{};
    auto const other = identity{};
    BOOST_TEST(is_message_received(own.m_files, own.m_files));
    BOOST_TEST(!is_message_received(own.m_files, other.m_files));
    auto stranger = other.m_files;
    stranger.m_authority = own.m_files.m_authority;
    BOOST_TEST(!is_message_received(own.m_files, stranger));
    BOOST_TEST(!is_message_received(stranger, own.m_files));
}

// Guards against an unclear message about a missing file or a wrong key.
BOOST_AUTO_TEST_CASE(unusable_tls_file_is_named)
{
    auto const own = identity{};
    auto const other = identity{};
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
    auto files = own.m_files;
    files.m_key = other.m_files.m_key;
    BOOST_TEST(text(files).starts_with("cannot use TLS file " + files.m_key));
    files = own.m_files;
    files.m_authority = "missing.pem";
    BOOST_TEST(text(files).starts_with("cannot use TLS file missing.pem"));
}
