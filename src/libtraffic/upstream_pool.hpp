#pragma once

#include "upstream_connection.hpp"

#include <monsoondock/base/generation.hpp>

#include <compare>
#include <map>
#include <memory>
#include <vector>

namespace monsoondock::traffic::pvt {

/// Key of pooled connections. It includes the generation, so that a connection
/// to a group is never used for its successor at the same address.
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
    /// Removes and returns an idle connection, or null when there is none.
    std::unique_ptr<upstream_connection> take(const pool_key& key);


    /// Adds a connection whose last exchange ended with a complete response;
    /// closes it when the pool is full for this key.
    void put(const pool_key& key, std::unique_ptr<upstream_connection> c);


    /// Closes idle connections to the address of key in older generations.
    void close_older_generations(const pool_key& key);

private:
    static constexpr std::size_t max_idle_per_key = 64;

    std::map<pool_key, std::vector<std::unique_ptr<upstream_connection>>> idle_;
};

} // namespace monsoondock::traffic::pvt
