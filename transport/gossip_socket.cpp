// A task that polls one UDP socket and a wake-up descriptor.
#include "transport/gossip_socket.h"

#include <poll.h>
#include <sys/eventfd.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <cstring>
#include <utility>

#include "transport/socket_address.h"

namespace papayaplank {
namespace {

constexpr std::size_t kMaxDatagramBytes = 65536;
constexpr std::size_t kIpAndUdpHeaderBytes = 28;  // IPv4 20, UDP 8
constexpr std::size_t kMaxQueuedDatagrams = 10000;
constexpr int kPollMilliseconds = 500;

}  // namespace

auto GossipSocket::Open(const std::string& address, DatagramGuard guard,
                        OnDatagram on_datagram)
    -> Outcome<std::unique_ptr<GossipSocket>> {
  auto parsed = ParseSocketAddress(address);
  if (!IsOk(parsed)) return ErrorOf(parsed);
  const auto socket_address = ValueOf(parsed);
  const int descriptor =
      socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  const auto* raw = reinterpret_cast<const sockaddr*>(&socket_address);
  if (descriptor < 0 || bind(descriptor, raw, sizeof(socket_address)) != 0) {
    const std::string why = std::strerror(errno);
    if (descriptor >= 0) close(descriptor);
    return Error{ErrorCode::kUnavailable,
                 "cannot bind the gossip address " + address + ": " + why};
  }
  const int wake = eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC);
  return std::unique_ptr<GossipSocket>(new GossipSocket(
      descriptor, wake, std::move(guard), std::move(on_datagram)));
}

GossipSocket::GossipSocket(int socket, int wake, DatagramGuard guard,
                           OnDatagram on_datagram)
    : socket_(socket),
      wake_(wake),
      guard_(std::move(guard)),
      on_datagram_(std::move(on_datagram)),
      task_([this] { Run(); }) {}

GossipSocket::~GossipSocket() {
  is_stopping_ = true;
  eventfd_write(wake_, 1);
  task_.join();
  close(socket_);
  close(wake_);
}

auto GossipSocket::Send(const std::string& address, std::string body) -> void {
  {
    const std::lock_guard lock(mutex_);
    if (outgoing_.size() >= kMaxQueuedDatagrams) return;
    outgoing_.push_back({address, std::move(body)});
  }
  eventfd_write(wake_, 1);
}

auto GossipSocket::counters() const -> GossipCounters {
  const std::lock_guard lock(mutex_);
  return counters_;
}

auto GossipSocket::Run() -> void {
  while (!is_stopping_) {
    std::array<pollfd, 2> descriptors{pollfd{socket_, POLLIN, 0},
                                      pollfd{wake_, POLLIN, 0}};
    poll(descriptors.data(), descriptors.size(), kPollMilliseconds);
    eventfd_t ignored = 0;
    eventfd_read(wake_, &ignored);
    SendQueued();
    ReceiveAll();
  }
  SendQueued();
}

auto GossipSocket::SendQueued() -> void {
  std::deque<Outgoing> outgoing;
  {
    const std::lock_guard lock(mutex_);
    outgoing.swap(outgoing_);
  }
  for (const auto& each : outgoing) {
    auto parsed = ParseSocketAddress(each.address);
    if (!IsOk(parsed)) continue;
    const auto to = ValueOf(parsed);
    const auto datagram = guard_.Seal(each.body);
    const auto sent =
        sendto(socket_, datagram.data(), datagram.size(), 0,
               reinterpret_cast<const sockaddr*>(&to), sizeof(to));
    if (sent < 0) continue;
    const std::lock_guard lock(mutex_);
    ++counters_.sent;
    counters_.sent_bytes += datagram.size() + kIpAndUdpHeaderBytes;
  }
}

auto GossipSocket::ReceiveAll() -> void {
  std::string buffer(kMaxDatagramBytes, '\0');
  for (;;) {
    sockaddr_in from{};
    socklen_t size = sizeof(from);
    const auto received = recvfrom(socket_, buffer.data(), buffer.size(), 0,
                                   reinterpret_cast<sockaddr*>(&from), &size);
    if (received < 0) return;
    const auto length = static_cast<std::size_t>(received);
    auto body = guard_.Open(std::string_view(buffer.data(), length));
    {
      const std::lock_guard lock(mutex_);
      ++counters_.received;
      counters_.received_bytes += length + kIpAndUdpHeaderBytes;
      if (!body) ++counters_.rejected;
    }
    if (body) on_datagram_(FormatSocketAddress(from), std::move(*body));
  }
}

}  // namespace papayaplank
