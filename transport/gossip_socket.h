// UDP socket for messages between routers, and the task that owns it.
#ifndef TRANSPORT_GOSSIP_SOCKET_H_
#define TRANSPORT_GOSSIP_SOCKET_H_

#include <atomic>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <thread>

#include "transport/datagram_guard.h"

namespace papayaplank {

// Numbers of datagrams and bytes; bytes include UDP and IP headers. `rejected`
// are the received datagrams that the guard did not accept.
struct GossipCounters {
  std::uint64_t sent = 0;
  std::uint64_t sent_bytes = 0;
  std::uint64_t received = 0;
  std::uint64_t received_bytes = 0;
  std::uint64_t rejected = 0;
};

// Sends and receives authenticated datagrams.
class GossipSocket {
 public:
  // Called on the socket's task with the sender's address ("IP:port") and the
  // body of a verified datagram.
  using OnDatagram =
      std::function<void(const std::string& from, std::string body)>;

  // Binds `address` ("IP:port") and starts the task. Errors: `kInvalidArgument`
  // for a malformed address, `kUnavailable` if it cannot be bound.
  static auto Open(const std::string& address, DatagramGuard guard,
                   OnDatagram on_datagram)
      -> Outcome<std::unique_ptr<GossipSocket>>;
  ~GossipSocket();
  GossipSocket(const GossipSocket&) = delete;
  auto operator=(const GossipSocket&) -> GossipSocket& = delete;

  // Queues a body for sending to `address` ("IP:port"). A datagram that cannot
  // be sent is dropped, as the network may do; so is one for a malformed
  // address or above the queue's limit.
  auto Send(const std::string& address, std::string body) -> void;

  auto counters() const -> GossipCounters;

 private:
  struct Outgoing {
    std::string address;
    std::string body;
  };

  GossipSocket(int socket, int wake, DatagramGuard guard,
               OnDatagram on_datagram);
  auto Run() -> void;
  auto SendQueued() -> void;
  auto ReceiveAll() -> void;

  int socket_;
  // An eventfd that wakes the task.
  int wake_;
  // Used by the task only.
  DatagramGuard guard_;
  OnDatagram on_datagram_;
  mutable std::mutex mutex_;
  // Guarded by `mutex_`, as are the counters.
  std::deque<Outgoing> outgoing_;
  GossipCounters counters_;
  std::atomic<bool> is_stopping_ = false;
  std::thread task_;
};

}  // namespace papayaplank

#endif  // TRANSPORT_GOSSIP_SOCKET_H_
