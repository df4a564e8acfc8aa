#include <monsoondock/base/event_line.hpp>
#include <monsoondock/base/event_writer.hpp>

#include <criterion/criterion.h>

#include <array>
#include <fcntl.h>
#include <string>
#include <unistd.h>

using namespace monsoondock::base;
using namespace std::chrono_literals;

namespace {

/// A pipe that nobody reads until read_all is called.
struct pipe_pair
{
    pipe_pair()
    {
        cr_assert_eq(::pipe(ends_.data()), 0);
        ::fcntl(ends_[0], F_SETFL, O_NONBLOCK);
    }


    std::string read_all() const
    {
        std::string text;
        std::array<char, 4096> block{};
        for (;;) {
            const auto size = ::read(ends_[0], block.data(), block.size());
            if (size <= 0)
                return text;
            text.append(block.data(), static_cast<std::size_t>(size));
        }
    }

    std::array<int, 2> ends_{};
};

const time_point start{1000s};

} // namespace

Test(event_writer, lines_beyond_the_rate_are_counted_and_said)
{
    const pipe_pair p;
    event_writer w(p.ends_[1], {2, 1024});
    for (int i = 0; i < 5; ++i)
        w.write("flood", "event=flood", start);
    w.write("flood", "event=flood n=6", start + 1s);
    cr_assert(
        p.read_all() == "event=flood\nevent=flood\n"
                        "event=log_suppressed kind=flood lines=3\n"
                        "event=flood n=6\n");
    cr_assert_eq(w.left_out(), 3);
}


Test(event_writer, kinds_have_rates_of_their_own)
{
    const pipe_pair p;
    event_writer w(p.ends_[1], {1, 1024});
    w.write("a", "event=a", start);
    w.write("b", "event=b", start);
    cr_assert(p.read_all() == "event=a\nevent=b\n");
}


// A write that waited would hang this test, since nobody reads the pipe.
Test(event_writer, a_full_pipe_does_not_block)
{
    const pipe_pair p;
    event_writer w(p.ends_[1], {100'000, 64 * 1024});
    const std::string line(1000, 'x');
    for (int i = 0; i < 1000; ++i)
        w.write("big", line, start);
    cr_assert(w.left_out() > 0);
    p.read_all();
    w.write("big", "event=last", start + 1s);
    p.read_all();
    w.write("big", "event=after", start + 2s);
    cr_assert(p.read_all().find("event=log_dropped") != std::string::npos);
}


Test(event_writer, event_lines_go_to_the_installed_writer)
{
    const pipe_pair p;
    event_writer w(p.ends_[1]);
    install_event_writer(&w);
    event_line("hello").field("to", "world");
    install_event_writer(nullptr);
    const std::string text = p.read_all();
    cr_assert(text.starts_with("time="));
    cr_assert(
        text.find(" level=info event=hello to=world\n") != std::string::npos);
}
