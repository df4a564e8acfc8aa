#include "roles.hpp"

#include <gflags/gflags.h>
#include <glog/logging.h>

#include <iostream>

DEFINE_string(
    role, "", "role of this process: engine, relay, server or client");
DEFINE_uint32(listen, 0, "port to listen on, on 127.0.0.1");
DEFINE_uint32(target, 0, "port to connect to, on 127.0.0.1");
DEFINE_uint32(streams, 1, "number of concurrent streams of the client");
DEFINE_uint32(tokens, 64, "number of tokens in each response");
DEFINE_uint32(token_ms, 68, "milliseconds between two tokens");
DEFINE_uint32(
    seconds, 5, "length of the client's measurement window in seconds");

namespace {

namespace bench = monsoondock::bench;

constexpr int exit_bad_usage = 2;


boost::asio::ip::tcp::endpoint loopback(std::uint32_t port)
{
    return {
        boost::asio::ip::address_v4::loopback(),
        static_cast<std::uint16_t>(port)};
}

} // namespace

int main(int argc, char** argv)
{
    gflags::SetUsageMessage(
        "Runs one role of the relay benchmark; bench.py starts all of them.");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    FLAGS_logtostderr = true;
    google::InitGoogleLogging(argv[0]);
    bench::bench_options options;
    options.listen_ = loopback(FLAGS_listen);
    options.target_ = loopback(FLAGS_target);
    options.streams_ = FLAGS_streams;
    options.tokens_ = FLAGS_tokens;
    options.token_interval_ = std::chrono::milliseconds(FLAGS_token_ms);
    options.measurement_time_ = std::chrono::seconds(FLAGS_seconds);
    if (FLAGS_role == "engine")
        return bench::run_engine(options);
    if (FLAGS_role == "relay")
        return bench::run_relay(options);
    if (FLAGS_role == "server")
        return bench::run_server(options);
    if (FLAGS_role == "client")
        return bench::run_client(options);
    std::cerr << "monsoondock-bench: --role must be engine, relay, server or "
                 "client\n";
    return exit_bad_usage;
}
