#pragma once

#include <monsoondock/base/await_tuple.hpp>
#include <monsoondock/platform/memory_store.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>

#include <string>
#include <thread>
#include <utility>

namespace monsoondock::traffic::test {

/// Store of the platform on a thread of its own, as far as claims need it:
/// reads and conditional writes of single objects.
class fake_store
{
public:
    fake_store()
    {
        boost::asio::co_spawn(context_, accept_all(), boost::asio::detached);
        thread_ = std::thread([this] { context_.run(); });
    }

    fake_store(const fake_store&) = delete;
    fake_store& operator=(const fake_store&) = delete;


    ~fake_store()
    {
        context_.stop();
        thread_.join();
    }


    boost::asio::ip::tcp::endpoint address() const
    {
        return acceptor_.local_endpoint();
    }

private:
    using request =
        boost::beast::http::request<boost::beast::http::string_body>;
    using response =
        boost::beast::http::response<boost::beast::http::string_body>;


    static platform::version expected_version(const request& r)
    {
        const std::string tag(r[boost::beast::http::field::if_match]);
        return {std::stoull(tag.substr(1))};
    }


    response write(const request& r, const std::string& key)
    {
        namespace http = boost::beast::http;
        platform::write_outcome outcome = platform::condition_failed{};
        if (r.method() == http::verb::delete_)
            outcome = store_.erase(key, expected_version(r));
        else if (r.count(http::field::if_none_match) > 0)
            outcome = store_.put(key, r.body(), platform::if_absent{});
        else
            outcome = store_.put(
                key, r.body(), platform::if_version{expected_version(r)});
        response answer(http::status::precondition_failed, r.version());
        const auto* done = std::get_if<platform::written>(&outcome);
        if (done == nullptr)
            return answer;
        answer.result(http::status::ok);
        answer.body() =
            "{\"version\":" + std::to_string(done->version_.value_) + "}";
        return answer;
    }


    response read(const request& r, const std::string& key)
    {
        namespace http = boost::beast::http;
        response answer(http::status::not_found, r.version());
        const auto found = store_.get(key);
        if (!found)
            return answer;
        answer.result(http::status::ok);
        answer.body() = "{\"key\":\"" + key + "\",\"version\":" +
                        std::to_string(found->version_.value_) +
                        ",\"value\":" + found->value_ + "}";
        return answer;
    }


    boost::asio::awaitable<void> serve(boost::asio::ip::tcp::socket socket)
    {
        namespace http = boost::beast::http;
        boost::beast::flat_buffer buffer;
        for (;;) {
            request r;
            const auto [failure, size] =
                co_await http::async_read(socket, buffer, r, base::await_tuple);
            if (failure)
                co_return;
            const std::string key(r.target());
            response answer =
                r.method() == http::verb::get ? read(r, key) : write(r, key);
            answer.prepare_payload();
            co_await http::async_write(socket, answer, base::await_tuple);
        }
    }


    boost::asio::awaitable<void> accept_all()
    {
        for (;;) {
            auto [failure, socket] =
                co_await acceptor_.async_accept(base::await_tuple);
            if (failure)
                co_return;
            boost::asio::co_spawn(
                context_, serve(std::move(socket)), boost::asio::detached);
        }
    }


    platform::memory_store store_;
    boost::asio::io_context context_{1};
    boost::asio::ip::tcp::acceptor acceptor_{
        context_, {boost::asio::ip::address_v4::loopback(), 0}};
    std::thread thread_;
};

} // namespace monsoondock::traffic::test
