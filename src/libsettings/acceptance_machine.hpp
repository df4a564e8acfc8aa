#pragma once

#include "acceptance_run.hpp"

#include <memory>
#include <string>

namespace monsoondock::settings::pvt {

/// The head was read.
struct head_read
{
    head_state state_;
};


/// The index of the current head was read.
struct index_read
{
    settings_index index_;
};


/// A node of the current index was read.
struct node_read
{
    settings_node node_;
};


/// An object of the candidate was written.
struct object_written
{
    std::string key_;
};


/// A create failed because the key of the candidate already exists.
struct object_key_exists
{
    std::string key_;
};


/// An object that already existed under a key of the candidate was read.
struct object_read_back
{
    std::string key_;
    std::string text_;
};


/// The conditional update of the head succeeded.
struct head_written
{};


/// The condition of the head update failed, or its answer was lost.
struct head_not_confirmed
{
    bool answer_lost_ = false;
};


/// State machine of an acceptance; acceptance_machine_def.hpp has its states
/// and transitions.
class acceptance_machine
{
public:
    /// Works on run, which must outlive the machine.
    explicit acceptance_machine(acceptance_run& run);
    ~acceptance_machine();


    /// Enters the first state.
    void start();


    /// Each overload processes one event.
    void process_event(const head_read& event);
    void process_event(const index_read& event);
    void process_event(const node_read& event);
    void process_event(const object_written& event);
    void process_event(const object_key_exists& event);
    void process_event(const object_read_back& event);
    void process_event(const head_written& event);
    void process_event(const head_not_confirmed& event);


    /// Returns the state of the acceptance.
    acceptance_run& run();

private:
    struct impl;
    std::unique_ptr<impl> impl_;
};

} // namespace monsoondock::settings::pvt
