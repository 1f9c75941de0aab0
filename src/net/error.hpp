#ifndef HICKORYLATCH_NET_ERROR_HPP
#define HICKORYLATCH_NET_ERROR_HPP

#include <string>

namespace hickorylatch::net
{

/// A failed operation on a socket, an address or a certificate, as plain text
/// that names what failed.
struct error
{
    std::string m_text;
};

} // namespace hickorylatch::net

#endif
