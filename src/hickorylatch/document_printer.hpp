#ifndef HICKORYLATCH_HICKORYLATCH_DOCUMENT_PRINTER_HPP
#define HICKORYLATCH_HICKORYLATCH_DOCUMENT_PRINTER_HPP

#include <iosfwd>
#include <string_view>

namespace hickorylatch::program
{

/// Prints a JSON document in readable form: members as "name: value" lines,
/// lists of objects as tables. Text that is not JSON is printed as it is.
auto print_document(std::ostream& out, std::string_view json) -> void;

} // namespace hickorylatch::program

#endif
