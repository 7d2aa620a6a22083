// Boost.Asio and Boost.Beast as this library uses them.
#ifndef RELAY_ASIO_H_
#define RELAY_ASIO_H_

// Boost 1.74 relies on <utility> without including it.
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <utility>

namespace papayaplank {

namespace asio = boost::asio;
using boost::asio::ip::tcp;
using boost::asio::ip::udp;
using boost::system::error_code;

}  // namespace papayaplank

#endif  // RELAY_ASIO_H_
