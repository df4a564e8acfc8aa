#pragma once

#include <monsoondock/base/result.hpp>
#include <monsoondock/load/arrival.hpp>
#include <monsoondock/load/summary.hpp>
#include <monsoondock/load/workspace.hpp>

#include <chrono>
#include <string>
#include <vector>

namespace monsoondock::load {

/// Targets and parameters of a load run.
struct run_options
{
    /// Daemons that are queried for entry hosts (IP address:port).
    std::vector<std::string> entry_hosts_;
    std::vector<workspace> workspaces_;
    /// Deployment of the completions.
    std::string model_;
    /// Deployment and path of the calls.
    std::string service_;
    std::string service_path_;
    deadlines deadlines_;
    /// Timeout of one HTTP request.
    std::chrono::milliseconds timeout_{30000};
    /// Address of a service stand-in whose execution counts are compared with
    /// the answers after the run; empty disables the comparison.
    std::string verify_runs_;
};


/// Sends the requests of the plan and summarizes their outcomes. Blocks until
/// the last one has ended. Problem code unavailable: the service stand-in did
/// not return its execution counts.
base::result<summary>
run(const run_options& options, const std::vector<arrival>& plan);

} // namespace monsoondock::load
