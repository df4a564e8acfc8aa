#include "platform_session.hpp"

#include <monsoondock/platform/http_client.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>

#include <algorithm>

namespace monsoondockctl {

namespace asio = boost::asio;
namespace base = monsoondock::base;
namespace platform = monsoondock::platform;
namespace settings = monsoondock::settings;

namespace {

constexpr std::size_t MAX_PARALLEL_READS = 16;


std::vector<asio::ip::tcp::endpoint>
endpoints(const std::vector<settings::socket_address>& addresses)
{
    std::vector<asio::ip::tcp::endpoint> result;
    result.reserve(addresses.size());
    for (const settings::socket_address& address : addresses)
        result.emplace_back(asio::ip::make_address(address.ip_), address.port_);
    return result;
}

} // namespace

struct platform_session::impl
{
    explicit impl(const options& o)
        : client_(context_.get_executor(), endpoints(o.platform_), o.timeout_)
    {}


    /// Runs the event loop until call completes and returns its result.
    template <class Value>
    Value run_blocking(asio::awaitable<Value> call)
    {
        std::optional<Value> result;
        asio::co_spawn(
            context_,
            std::move(call),
            [&](const std::exception_ptr& error, Value value) {
                if (!error)
                    result = std::move(value);
            });
        context_.restart();
        context_.run();
        return std::move(*result);
    }

    asio::io_context context_;
    platform::http_client client_;
};


platform_session::platform_session(const options& o)
    : impl_(std::make_unique<impl>(o))
{}


platform_session::~platform_session() = default;


platform_session::object_result platform_session::get(const std::string& key)
{
    return impl_->run_blocking(impl_->client_.get(key));
}


std::vector<platform_session::object_result>
platform_session::get_all(const std::vector<std::string>& keys)
{
    std::vector<object_result> results(keys.size());
    for (std::size_t begin = 0; begin < keys.size();
         begin += MAX_PARALLEL_READS) {
        const std::size_t end =
            std::min(begin + MAX_PARALLEL_READS, keys.size());
        for (std::size_t i = begin; i < end; ++i)
            asio::co_spawn(
                impl_->context_,
                impl_->client_.get(keys[i]),
                [&results, i](const std::exception_ptr&, object_result r) {
                    results[i] = std::move(r);
                });
        impl_->context_.restart();
        impl_->context_.run();
    }
    return results;
}


base::result<platform::listing>
platform_session::list(const std::string& prefix)
{
    return impl_->run_blocking(impl_->client_.list(prefix));
}


platform::write_outcome platform_session::put(
    const std::string& key,
    const std::string& value,
    platform::write_condition condition)
{
    return impl_->run_blocking(impl_->client_.put(key, value, condition));
}


platform::write_outcome
platform_session::erase(const std::string& key, platform::version expected)
{
    return impl_->run_blocking(impl_->client_.erase(key, expected));
}

} // namespace monsoondockctl
