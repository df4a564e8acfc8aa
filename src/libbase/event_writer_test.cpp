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

/// Pipe that stays unread until read_all is called.
struct unread_pipe
{
    unread_pipe()
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

Test(event_writer, lines_above_the_rate_limit_are_counted_and_reported)
{
    const unread_pipe p;
    event_writer w(p.ends_[1], {2, 1024});
    for (int i = 0; i < 5; ++i)
        w.write("flood", "event=flood", start);
    w.write("flood", "event=flood n=6", start + 1s);
    cr_assert(
        p.read_all() == "event=flood\nevent=flood\n"
                        "event=log_suppressed kind=flood lines=3\n"
                        "event=flood n=6\n");
    cr_assert_eq(w.discarded_lines(), 3);
}


Test(event_writer, rate_limit_applies_to_each_event_name)
{
    const unread_pipe p;
    event_writer w(p.ends_[1], {1, 1024});
    w.write("a", "event=a", start);
    w.write("b", "event=b", start);
    cr_assert(p.read_all() == "event=a\nevent=b\n");
}


// Nothing reads the pipe meanwhile, so a blocking write would hang this test.
Test(event_writer, full_pipe_does_not_block)
{
    const unread_pipe p;
    event_writer w(p.ends_[1], {100'000, 64 * 1024});
    const std::string line(1000, 'x');
    for (int i = 0; i < 1000; ++i)
        w.write("big", line, start);
    cr_assert(w.discarded_lines() > 0);
    p.read_all();
    w.write("big", "event=last", start + 1s);
    p.read_all();
    w.write("big", "event=after", start + 2s);
    cr_assert(p.read_all().find("event=log_dropped") != std::string::npos);
}


Test(event_writer, event_lines_go_to_the_installed_writer)
{
    const unread_pipe p;
    event_writer w(p.ends_[1]);
    install_event_writer(&w);
    event_line("hello").field("to", "world");
    install_event_writer(nullptr);
    const std::string text = p.read_all();
    cr_assert(text.starts_with("time="));
    cr_assert(
        text.find(" level=info event=hello to=world\n") != std::string::npos);
}
