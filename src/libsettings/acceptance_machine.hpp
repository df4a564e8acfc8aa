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


/// An object of the candidate exists with our text.
struct object_written
{
    std::string key_;
};


/// An object with a key of the candidate exists already.
struct object_taken
{
    std::string key_;
};


/// An object that exists already was read.
struct object_read_back
{
    std::string key_;
    std::string text_;
};


/// The conditional update of the head succeeded.
struct head_written
{};


/// The update of the head failed its condition or its answer was lost.
struct head_not_confirmed
{
    bool answer_lost_ = false;
};


/// Flow of an acceptance, see acceptance_machine.cpp for its states.
class acceptance_machine
{
public:
    /// Works on run, which must live as long.
    explicit acceptance_machine(acceptance_run& run);
    ~acceptance_machine();


    /// Enters the first state.
    void start();


    /// Each overload lets the machine react to an event.
    void process_event(const head_read& event);
    void process_event(const index_read& event);
    void process_event(const node_read& event);
    void process_event(const object_written& event);
    void process_event(const object_taken& event);
    void process_event(const object_read_back& event);
    void process_event(const head_written& event);
    void process_event(const head_not_confirmed& event);


    /// Returns what the acceptance knows.
    acceptance_run& run();

private:
    struct impl;
    std::unique_ptr<impl> impl_;
};

} // namespace monsoondock::settings::pvt
