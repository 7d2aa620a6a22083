// The Boost.Asio headers that this library uses, and short names of their
// types.
#ifndef RELAY_ASIO_H_
#define RELAY_ASIO_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <utility>  // Boost 1.74 relies on it without including it.

namespace papayaplank {

namespace asio = boost::asio;
using boost::asio::ip::tcp;
using boost::asio::ip::udp;
using boost::system::error_code;

}  // namespace papayaplank

#endif  // RELAY_ASIO_H_
