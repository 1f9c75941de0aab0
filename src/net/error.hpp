#ifndef HICKORYLATCH_NET_ERROR_HPP
#define HICKORYLATCH_NET_ERROR_HPP

#include <string>

namespace hickorylatch::net
{

/// Describes a failed operation on a socket, an address, a certificate or a
/// frame, with the address, file or size concerned.
struct error
{
    std::string m_text;
};

} // namespace hickorylatch::net

#endif
