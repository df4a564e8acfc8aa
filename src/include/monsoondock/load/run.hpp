#pragma once

#include <monsoondock/base/result.hpp>
#include <monsoondock/load/arrival.hpp>
#include <monsoondock/load/summary.hpp>
#include <monsoondock/load/workspace.hpp>

#include <chrono>
#include <string>
#include <vector>

namespace monsoondock::load {

/// Where and how a plan is sent.
struct run_options
{
    /// Daemons that are asked which entry host to use.
    std::vector<std::string> entry_hosts_;
    std::vector<workspace> workspaces_;
    /// Deployment of the completions.
    std::string model_;
    /// Deployment and path of the calls.
    std::string service_;
    std::string service_path_;
    deadlines deadlines_;
    /// Time after which the tool gives a request up.
    std::chrono::milliseconds timeout_{30000};
    /// Address of a service stand-in whose runs are compared with the answers
    /// at the end; empty: they are not.
    std::string verify_runs_;
};


/// Sends the plan and returns what became of it. Problem code unavailable:
/// the service stand-in did not tell its runs.
base::result<summary>
run(const run_options& options, const std::vector<arrival>& plan);

} // namespace monsoondock::load
