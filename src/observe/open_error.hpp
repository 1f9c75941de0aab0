#ifndef HICKORYLATCH_OBSERVE_OPEN_ERROR_HPP
#define HICKORYLATCH_OBSERVE_OPEN_ERROR_HPP

#include <string>

namespace hickorylatch::observe
{

/// Error object of what is opened here: the file and why it can't be written.
struct open_error
{
    std::string m_file;
    std::string m_reason;
};

} // namespace hickorylatch::observe

#endif
