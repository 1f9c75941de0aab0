#include "net/tls_context.hpp"

#include "net/error.hpp"

#include <event2/bufferevent.h>
#include <event2/bufferevent_ssl.h>

#include <boost/leaf/error.hpp>

#include <openssl/err.h>
#include <openssl/ssl.h>

#include <array>
#include <new>
#include <utility>

namespace hickorylatch::net
{

namespace leaf = boost::leaf;

namespace
{

auto file_error(std::string const& file) -> leaf::error_id
{
    auto reason = std::array<char, 256>{};
    ERR_error_string_n(ERR_peek_last_error(), reason.data(), reason.size());
    ERR_clear_error();
    return leaf::new_error(
        error{"cannot use TLS file " + file + ": " + reason.data()});
}

} // namespace

auto bufferevent_deleter::operator()(bufferevent* handle) const noexcept -> void
{
    bufferevent_free(handle);
}

auto tls_context::context_deleter::operator()(SSL_CTX* handle) const noexcept
    -> void
{
    SSL_CTX_free(handle);
}

tls_context::tls_context(context_handle context) : m_context{std::move(context)}
{
}

auto tls_context::load(tls_files const& files)
    -> leaf::result<std::shared_ptr<tls_context const>>
{
    auto context = context_handle{SSL_CTX_new(TLS_method())};
    if (!context)
        throw std::bad_alloc{};
    auto* const raw = context.get();
    SSL_CTX_set_min_proto_version(raw, TLS1_2_VERSION);
    SSL_CTX_set_verify(raw, SSL_VERIFY_PEER | SSL_VERIFY_FAIL_IF_NO_PEER_CERT,
                       nullptr);
    // Without session resumption every handshake verifies the certificates.
    SSL_CTX_set_session_cache_mode(raw, SSL_SESS_CACHE_OFF);
    SSL_CTX_set_num_tickets(raw, 0);
    if (SSL_CTX_use_certificate_chain_file(raw, files.m_certificate.c_str()) !=
        1)
        return file_error(files.m_certificate);
    if (SSL_CTX_use_PrivateKey_file(raw, files.m_key.c_str(),
                                    SSL_FILETYPE_PEM) != 1 ||
        SSL_CTX_check_private_key(raw) != 1)
        return file_error(files.m_key);
    if (SSL_CTX_load_verify_file(raw, files.m_authority.c_str()) != 1)
        return file_error(files.m_authority);
    return std::shared_ptr<tls_context const>{
        new tls_context{std::move(context)}};
}

auto tls_context::open(event_loop& loop, int socket) const -> bufferevent_handle
{
    auto* const session = SSL_new(m_context.get());
    if (session == nullptr)
        return nullptr;
    auto const state =
        socket < 0 ? BUFFEREVENT_SSL_CONNECTING : BUFFEREVENT_SSL_ACCEPTING;
    auto connection = bufferevent_handle{bufferevent_openssl_socket_new(
        loop.base(), socket, session, state,
        BEV_OPT_CLOSE_ON_FREE | BEV_OPT_DEFER_CALLBACKS)};
    if (!connection)
        return nullptr;
    // Frames contain their length, so a truncated message is detected without a
    // close_notify alert.
    bufferevent_openssl_set_allow_dirty_shutdown(connection.get(), 1);
    return connection;
}

} // namespace hickorylatch::net
