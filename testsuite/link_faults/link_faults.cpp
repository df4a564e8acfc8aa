// Library for the daemons of golden sessions and of the soak. It makes the
// connections of one process to given ports fail as links between hosts do,
// which no proxy on loopback can: a connection to a proxy is always
// established. link_faults.py writes the file that it reads.

#include <algorithm>
#include <arpa/inet.h>
#include <cerrno>
#include <cstdint>
#include <cstdlib>
#include <dlfcn.h>
#include <fcntl.h>
#include <iterator>
#include <netinet/in.h>
#include <sys/mman.h>
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


/// Content of the file, as link_faults.py writes it.
struct link_state
{
    link_mode mode_;
    /// Port of a listener that does not answer connections.
    std::uint16_t silent_port_;
    std::uint16_t port_count_;
    std::uint16_t ports_[256];
};


const link_state* map_state()
{
    const char* path = std::getenv("LINK_FAULTS_FILE");
    const int file = path == nullptr ? -1 : open(path, O_RDONLY | O_CLOEXEC);
    if (file < 0)
        return nullptr;
    void* memory =
        mmap(nullptr, sizeof(link_state), PROT_READ, MAP_SHARED, file, 0);
    close(file);
    return memory == MAP_FAILED ? nullptr
                                : static_cast<const link_state*>(memory);
}


const volatile link_state* state()
{
    static const volatile link_state* const mapped = map_state();
    return mapped;
}


bool is_cut(std::uint16_t port)
{
    const auto* const ports =
        std::begin(const_cast<link_state*>(state())->ports_);
    return std::find(ports, ports + state()->port_count_, port) !=
           ports + state()->port_count_;
}


/// Returns the mode of the link that a connected socket uses.
link_mode mode_of(int socket)
{
    if (state() == nullptr || state()->mode_ == link_mode::open)
        return link_mode::open;
    sockaddr_in peer{};
    socklen_t size = sizeof peer;
    if (getpeername(socket, reinterpret_cast<sockaddr*>(&peer), &size) != 0 ||
        peer.sin_family != AF_INET || !is_cut(ntohs(peer.sin_port)))
        return link_mode::open;
    return state()->mode_;
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
    if (state() == nullptr || state()->mode_ == link_mode::open ||
        to->sin_family != AF_INET || !is_cut(ntohs(to->sin_port)))
        return original(socket, address, size);
    if (state()->mode_ != link_mode::silent) {
        errno = ECONNREFUSED;
        return -1;
    }
    sockaddr_in silent = *to;
    silent.sin_port = htons(state()->silent_port_);
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
