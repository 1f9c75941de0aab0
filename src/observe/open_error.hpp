#ifndef HICKORYLATCH_OBSERVE_OPEN_ERROR_HPP
#define HICKORYLATCH_OBSERVE_OPEN_ERROR_HPP

#include <string>

namespace hickorylatch::observe
{

/// LEAF error object: the file that can't be opened for writing and the reason.
struct open_error
{
    std::string m_file;
    std::string m_reason;
};

} // namespace hickorylatch::observe

#endif
