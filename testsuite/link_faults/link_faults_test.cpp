// Part of the daemon with which golden sessions and the soak cut links. It
// makes the connections of one process to given ports fail as links between
// hosts do, which no proxy on loopback can: a connection to a proxy is always
// established. Its functions stand in for those of the C library.
// link_faults_test.py writes the file that it reads.

#include <algorithm>
#include <arpa/inet.h>
#include <cerrno>
#include <cstdint>
#include <cstdlib>
#include <dlfcn.h>
#include <fcntl.h>
#include <iterator>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

namespace {

enum class link_mode : std::uint32_t
{
    open,
    /// Connections are refused; open ones are reset.
    reset,
    /// Connections are not answered; open ones carry no bytes.
    silent,
    /// Connections are refused; open ones go on.
    new_refused,
    last = new_refused
};


/// Content of the file, as link_faults_test.py writes it.
struct link_state
{
    link_mode mode_;
    /// Port of a listener that does not answer connections.
    std::uint16_t silent_port_;
    std::uint16_t port_count_;
    std::uint16_t ports_[256];
};


int open_file()
{
    const char* path = std::getenv("LINK_FAULTS_FILE");
    return path == nullptr ? -1 : open(path, O_RDONLY | O_CLOEXEC);
}


link_state read_state()
{
    static const int file = open_file();
    link_state state{};
    if (file < 0 || pread(file, &state, sizeof state, 0) != sizeof state)
        return {};
    return state;
}


bool is_cut(const link_state& state, std::uint16_t port)
{
    const auto* const end = std::begin(state.ports_) + state.port_count_;
    return state.mode_ != link_mode::open &&
           std::find(std::begin(state.ports_), end, port) != end;
}


/// Returns the mode of the link that a connected socket uses.
link_mode mode_of(int socket)
{
    const link_state state = read_state();
    if (state.mode_ == link_mode::open)
        return link_mode::open;
    sockaddr_in peer{};
    socklen_t size = sizeof peer;
    if (getpeername(socket, reinterpret_cast<sockaddr*>(&peer), &size) != 0 ||
        peer.sin_family != AF_INET || !is_cut(state, ntohs(peer.sin_port)))
        return link_mode::open;
    return state.mode_;
}


template <class Function>
Function* next(const char* name)
{
    return reinterpret_cast<Function*>(dlsym(RTLD_NEXT, name));
}


// Calls the function of the C library unless the link is cut; then reports the
// result of a cut link.
template <class Call>
ssize_t transfer(int socket, ssize_t if_silent, const Call& call)
{
    switch (mode_of(socket)) {
    case link_mode::reset:
        errno = ECONNRESET;
        return -1;
    case link_mode::silent:
        errno = EAGAIN;
        return if_silent;
    default:
        return call();
    }
}

} // namespace

extern "C" {

int connect(int socket, const sockaddr* address, socklen_t size)
{
    static const auto original = next<decltype(connect)>("connect");
    const auto* const to = reinterpret_cast<const sockaddr_in*>(address);
    const link_state state = read_state();
    if (to->sin_family != AF_INET || !is_cut(state, ntohs(to->sin_port)))
        return original(socket, address, size);
    if (state.mode_ != link_mode::silent) {
        errno = ECONNREFUSED;
        return -1;
    }
    sockaddr_in silent = *to;
    silent.sin_port = htons(state.silent_port_);
    return original(
        socket, reinterpret_cast<const sockaddr*>(&silent), sizeof silent);
}


ssize_t recv(int socket, void* bytes, size_t size, int flags)
{
    static const auto original = next<decltype(recv)>("recv");
    return transfer(
        socket, -1, [&] { return original(socket, bytes, size, flags); });
}


ssize_t recvmsg(int socket, msghdr* message, int flags)
{
    static const auto original = next<decltype(recvmsg)>("recvmsg");
    return transfer(
        socket, -1, [&] { return original(socket, message, flags); });
}


// A silent link takes the bytes and loses them.
ssize_t send(int socket, const void* bytes, size_t size, int flags)
{
    static const auto original = next<decltype(send)>("send");
    return transfer(socket, static_cast<ssize_t>(size), [&] {
        return original(socket, bytes, size, flags);
    });
}


ssize_t sendmsg(int socket, const msghdr* message, int flags)
{
    static const auto original = next<decltype(sendmsg)>("sendmsg");
    std::size_t total = 0;
    for (std::size_t i = 0; i < message->msg_iovlen; ++i)
        total += message->msg_iov[i].iov_len;
    return transfer(socket, static_cast<ssize_t>(total), [&] {
        return original(socket, message, flags);
    });
}

} // extern "C"
