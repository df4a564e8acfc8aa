#pragma once

#include "upstream_connection.hpp"

#include <monsoondock/base/generation.hpp>

#include <compare>
#include <map>
#include <memory>
#include <vector>

namespace monsoondock::traffic::pvt {

/// Connections are kept apart by generation, so one that was opened to a
/// group never carries a request for its successor at the same address.
struct pool_key
{
    boost::asio::ip::tcp::endpoint address_;
    base::generation generation_;

    friend bool operator<(const pool_key& a, const pool_key& b)
    {
        if (a.address_ != b.address_)
            return a.address_ < b.address_;
        return a.generation_ < b.generation_;
    }
};


/// Idle connections of one traffic thread.
class upstream_pool
{
public:
    /// Takes an idle connection, or returns null.
    std::unique_ptr<upstream_connection> take(const pool_key& key);


    /// Keeps a connection whose exchange ended with a whole answer.
    void give(const pool_key& key, std::unique_ptr<upstream_connection> c);


    /// Closes the idle connections of all older generations at an address.
    void drop_older(const pool_key& key);

private:
    /// Idle connections kept for one key.
    static constexpr std::size_t max_idle = 64;

    std::map<pool_key, std::vector<std::unique_ptr<upstream_connection>>> idle_;
};

} // namespace monsoondock::traffic::pvt
