#include "command.hpp"
#include "print_objects.hpp"

namespace monsoondockctl {

exit_code list_hosts(const command_input& input)
{
    return print_objects(input.options_, "hosts/", "host");
}

} // namespace monsoondockctl
