#pragma once

#include <cstddef>
#include <list>
#include <string>

namespace monsoondock::engine_standin {

/// Prompt prefixes that a host holds; the one used longest ago goes first.
class prefix_cache
{
public:
    /// Keeps up to limit prefixes.
    explicit prefix_cache(std::size_t limit) : limit_(limit) {}


    /// Returns whether prefix was held, and holds it from now on.
    bool use(const std::string& prefix);


    /// Forgets every prefix.
    void clear();


    /// Returns the number of prefixes held.
    std::size_t size() const;

private:
    std::size_t limit_;
    std::list<std::string> recent_;
};

} // namespace monsoondock::engine_standin
