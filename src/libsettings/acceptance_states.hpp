#pragma once

#include "acceptance_machine.hpp"

#include <boost/msm/back/state_machine.hpp>
#include <boost/msm/front/functor_row.hpp>
#include <boost/msm/front/state_machine_def.hpp>

namespace monsoondock::settings::pvt {

namespace msm = boost::msm;
using msm::front::none;
using msm::front::Row;


inline void ask_head(acceptance_run& run)
{
    ask(run, {read_object{std::string(HEAD_KEY)}, {}});
}


/// Returns true when the known nodes cover the index.
inline bool covers(const acceptance_run& run, const settings_index& index)
{
    for (const auto& [path, at] : index.nodes_) {
        const auto known = run.nodes_.find(path);
        if (known == run.nodes_.end() || known->second.revision_ != at)
            return false;
    }
    return true;
}


/// Asks for the head.
struct reading_head : msm::front::state<>
{
    template <class Event, class Machine>
    void on_entry(const Event& /*event*/, Machine& machine)
    {
        ask_head(*machine.run_);
    }
};


/// Asks for the index of the head.
struct reading_index : msm::front::state<>
{
    template <class Event, class Machine>
    void on_entry(const Event& /*event*/, Machine& machine)
    {
        const revision at = machine.run_->current_.head_.revision_;
        ask(*machine.run_, {read_object{index_object_key(at)}, {}});
    }
};


/// Asks for the nodes of the index that are not known.
struct reading_nodes : msm::front::state<>
{
    template <class Event, class Machine>
    void on_entry(const Event& /*event*/, Machine& machine)
    {
        for (const std::string& key : missing_nodes(*machine.run_))
            ask(*machine.run_, {read_object{key}, {}});
    }
};


/// Applies the edit and leaves at once.
struct deciding : msm::front::state<>
{
    template <class Event, class Machine>
    void on_entry(const Event& /*event*/, Machine& machine)
    {
        decide(*machine.run_);
    }
};


/// Creates the node objects and the index object of the candidate.
struct writing_objects : msm::front::state<>
{
    template <class Event, class Machine>
    void on_entry(const Event& /*event*/, Machine& machine)
    {
        for (const auto& [key, text] : machine.run_->unwritten_)
            ask(*machine.run_,
                {write_object{key, text, platform::if_absent{}}, {}});
    }
};


/// Asks for the head after an object of the candidate turned out to be that of
/// another edit, which may have been accepted.
struct checking_head : msm::front::state<>
{
    template <class Event, class Machine>
    void on_entry(const Event& /*event*/, Machine& machine)
    {
        ask_head(*machine.run_);
    }
};


/// Writes the head on the condition that nobody else did.
struct writing_head : msm::front::state<>
{
    template <class Event, class Machine>
    void on_entry(const Event& /*event*/, Machine& machine)
    {
        ask(*machine.run_, head_write(*machine.run_));
    }
};


/// Reads the head to learn whether it was written.
struct reading_back : msm::front::state<>
{
    template <class Event, class Machine>
    void on_entry(const Event& /*event*/, Machine& machine)
    {
        ask_head(*machine.run_);
    }
};


struct finished : msm::front::state<>
{};

} // namespace monsoondock::settings::pvt
