#pragma once

#include <cstddef>
#include <list>
#include <string>

namespace monsoondock::engine_standin {

/// Prompt prefixes cached by a host, with least-recently-used eviction.
class prefix_cache
{
public:
    /// Keeps at most capacity prefixes.
    explicit prefix_cache(std::size_t capacity) : capacity_(capacity) {}


    /// Marks prefix as the most recently used one, adding it when it is
    /// missing. Returns true on a cache hit.
    bool touch(const std::string& prefix);


    void clear();


    std::size_t size() const;

private:
    std::size_t capacity_;
    /// Most recently used first.
    std::list<std::string> entries_;
};

} // namespace monsoondock::engine_standin
