#include "command.hpp"
#include "store_rows.hpp"

namespace monsoondockctl {

exit_code list_hosts(const request& r)
{
    return print_objects(r.options_, "hosts/", "host");
}

} // namespace monsoondockctl
