#define BOOST_MPL_LIMIT_VECTOR_SIZE 30

#include "acceptance_machine_def.hpp"

namespace monsoondock::settings::pvt {

struct acceptance_machine::impl
{
    msm::back::state_machine<machine_def> machine_;
};


acceptance_machine::acceptance_machine(acceptance_run& run)
    : impl_(std::make_unique<impl>())
{
    impl_->machine_.run_ = &run;
}


acceptance_machine::~acceptance_machine() = default;


void acceptance_machine::start()
{
    impl_->machine_.start();
}


void acceptance_machine::process_event(const head_read& event)
{
    impl_->machine_.process_event(event);
}


void acceptance_machine::process_event(const index_read& event)
{
    impl_->machine_.process_event(event);
}


void acceptance_machine::process_event(const node_read& event)
{
    impl_->machine_.process_event(event);
}


void acceptance_machine::process_event(const object_written& event)
{
    impl_->machine_.process_event(event);
}


void acceptance_machine::process_event(const object_key_exists& event)
{
    impl_->machine_.process_event(event);
}


void acceptance_machine::process_event(const object_read_back& event)
{
    impl_->machine_.process_event(event);
}


void acceptance_machine::process_event(const head_written& event)
{
    impl_->machine_.process_event(event);
}


void acceptance_machine::process_event(const head_not_confirmed& event)
{
    impl_->machine_.process_event(event);
}


acceptance_run& acceptance_machine::run()
{
    return *impl_->machine_.run_;
}

} // namespace monsoondock::settings::pvt
