#ifndef HICKORYLATCH_NET_TLS_CONTEXT_HPP
#define HICKORYLATCH_NET_TLS_CONTEXT_HPP

#include "net/event_loop.hpp"

#include <boost/leaf/result.hpp>

#include <openssl/types.h>

#include <memory>
#include <string>

struct bufferevent;

namespace hickorylatch::net
{

struct bufferevent_deleter
{
    auto operator()(bufferevent* handle) const noexcept -> void;
};
using bufferevent_handle = std::unique_ptr<bufferevent, bufferevent_deleter>;

/// PEM files for TLS links between processes.
struct tls_files
{
    /// Own certificate, followed by intermediate certificates if there are any.
    std::string m_certificate;
    std::string m_key;
    /// Certificates of the authorities that are trusted to sign a peer's
    /// certificate.
    std::string m_authority;
};

/// TLS configuration of links. Both sides verify the peer's certificate. Any
/// certificate that the authority has signed is accepted, whatever its subject
/// name, so the authority should sign only certificates of processes of this
/// system.
class tls_context
{
public:
    /// Fails with a `net::error` that contains the file that can't be used.
    [[nodiscard]] static auto load(tls_files const& files)
        -> boost::leaf::result<std::shared_ptr<tls_context const>>;

    /// Creates a connection over an accepted socket, or over a new one if the
    /// socket is -1. Its callbacks are deferred. Null if out of memory.
    [[nodiscard]] auto open(event_loop& loop, int socket) const
        -> bufferevent_handle;

private:
    struct context_deleter
    {
        auto operator()(SSL_CTX* handle) const noexcept -> void;
    };
    using context_handle = std::unique_ptr<SSL_CTX, context_deleter>;

    explicit tls_context(context_handle context);

    context_handle m_context;
};

} // namespace hickorylatch::net

#endif
