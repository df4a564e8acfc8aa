#pragma once

#include "acceptance_machine.hpp"

#include <boost/msm/back/state_machine.hpp>
#include <boost/msm/front/functor_row.hpp>
#include <boost/msm/front/state_machine_def.hpp>

namespace monsoondock::settings::pvt {

namespace msm = boost::msm;
using msm::front::none;
using msm::front::Row;


inline void request_head(acceptance_run& run)
{
    request_call(run, {read_object{std::string(HEAD_KEY)}, {}});
}


/// Returns true when all nodes of the index have been read.
inline bool
has_all_nodes(const acceptance_run& run, const settings_index& index)
{
    for (const auto& [path, at] : index.nodes_) {
        const auto known = run.nodes_.find(path);
        if (known == run.nodes_.end() || known->second.revision_ != at)
            return false;
    }
    return true;
}


/// Reads the head.
struct reading_head : msm::front::state<>
{
    template <class Event, class Machine>
    void on_entry(const Event& /*event*/, Machine& machine)
    {
        request_head(*machine.run_);
    }
};


/// Reads the index of the head.
struct reading_index : msm::front::state<>
{
    template <class Event, class Machine>
    void on_entry(const Event& /*event*/, Machine& machine)
    {
        const revision at = machine.run_->current_.head_.revision_;
        request_call(*machine.run_, {read_object{index_object_key(at)}, {}});
    }
};


/// Reads the nodes of the index that have not been read.
struct reading_nodes : msm::front::state<>
{
    template <class Event, class Machine>
    void on_entry(const Event& /*event*/, Machine& machine)
    {
        for (const std::string& key : missing_nodes(*machine.run_))
            request_call(*machine.run_, {read_object{key}, {}});
    }
};


/// Applies the edit and is left immediately.
struct applying_edit : msm::front::state<>
{
    template <class Event, class Machine>
    void on_entry(const Event& /*event*/, Machine& machine)
    {
        apply_edit(*machine.run_);
    }
};


/// Creates the node objects and the index object of the candidate.
struct writing_objects : msm::front::state<>
{
    template <class Event, class Machine>
    void on_entry(const Event& /*event*/, Machine& machine)
    {
        for (const auto& [key, text] : machine.run_->unwritten_)
            request_call(
                *machine.run_,
                {write_object{key, text, platform::if_absent{}}, {}});
    }
};


/// Reads the head after a key of the candidate was found to hold an object of
/// another edit, which may have been accepted.
struct checking_head : msm::front::state<>
{
    template <class Event, class Machine>
    void on_entry(const Event& /*event*/, Machine& machine)
    {
        request_head(*machine.run_);
    }
};


/// Writes the head on the condition that it has not changed.
struct writing_head : msm::front::state<>
{
    template <class Event, class Machine>
    void on_entry(const Event& /*event*/, Machine& machine)
    {
        request_call(*machine.run_, head_write(*machine.run_));
    }
};


/// Reads the head to find out whether the write took effect.
struct reading_back : msm::front::state<>
{
    template <class Event, class Machine>
    void on_entry(const Event& /*event*/, Machine& machine)
    {
        request_head(*machine.run_);
    }
};


struct finished : msm::front::state<>
{};

} // namespace monsoondock::settings::pvt
