// libmicrohttpd callbacks that collect a request and queue its answer.
#include "transport/http_service.h"

#include <microhttpd.h>

#include <algorithm>
#include <cctype>
#include <utility>

#include "transport/socket_address.h"

namespace papayaplank {
namespace {

constexpr unsigned kIdleSeconds = 60;
constexpr int kTooLarge = 413;

struct PendingCall {
  HttpCall call;
  bool is_too_large = false;
};

auto ToLower(std::string text) -> std::string {
  std::transform(text.begin(), text.end(), text.begin(),
                 [](unsigned char c) { return std::tolower(c); });
  return text;
}

auto AddValue(void* user, MHD_ValueKind /*kind*/, const char* name,
              const char* value) -> MHD_Result {
  auto* values = static_cast<std::map<std::string, std::string>*>(user);
  (*values)[ToLower(name)] = value == nullptr ? "" : value;
  return MHD_YES;
}

auto QueueAnswer(MHD_Connection* connection, const HttpAnswer& answer)
    -> MHD_Result {
  auto* response = MHD_create_response_from_buffer(
      answer.body.size(), const_cast<char*>(answer.body.data()),
      MHD_RESPMEM_MUST_COPY);
  MHD_add_response_header(response, "Content-Type",
                          answer.content_type.c_str());
  const auto result = MHD_queue_response(
      connection, static_cast<unsigned>(answer.status), response);
  MHD_destroy_response(response);
  return result;
}

}  // namespace

struct HttpService::Server {
  HttpServiceOptions options;
  Handler handler;
  MHD_Daemon* daemon = nullptr;

  static auto OnAccess(void* user, MHD_Connection* connection, const char* url,
                       const char* method, const char* /*version*/,
                       const char* upload, std::size_t* upload_size,
                       void** state) -> MHD_Result {
    auto* server = static_cast<Server*>(user);
    if (*state == nullptr) {
      auto* pending = new PendingCall();
      pending->call.method = method;
      pending->call.path = url;
      MHD_get_connection_values(connection, MHD_HEADER_KIND, AddValue,
                                &pending->call.headers);
      MHD_get_connection_values(connection, MHD_GET_ARGUMENT_KIND, AddValue,
                                &pending->call.query);
      *state = pending;
      return MHD_YES;
    }
    auto* pending = static_cast<PendingCall*>(*state);
    if (*upload_size != 0) {
      auto& body = pending->call.body;
      const auto size = body.size() + *upload_size;
      pending->is_too_large |= size > server->options.max_body_bytes;
      if (!pending->is_too_large) body.append(upload, *upload_size);
      *upload_size = 0;
      return MHD_YES;
    }
    if (pending->is_too_large) {
      return QueueAnswer(connection,
                         {kTooLarge, "text/plain", "body too large\n"});
    }
    const auto answer = server->handler(pending->call);
    if (answer.status == 0) return MHD_NO;
    return QueueAnswer(connection, answer);
  }

  static auto OnCompleted(void* /*user*/, MHD_Connection* /*connection*/,
                          void** state, MHD_RequestTerminationCode /*code*/)
      -> void {
    delete static_cast<PendingCall*>(*state);
    *state = nullptr;
  }
};

auto HttpService::Open(const HttpServiceOptions& options, Handler handler)
    -> Outcome<std::unique_ptr<HttpService>> {
  auto address = ParseSocketAddress(options.address);
  if (!IsOk(address)) return ErrorOf(address);
  const auto socket_address = ValueOf(address);
  auto server = std::make_unique<Server>();
  server->options = options;
  server->handler = std::move(handler);
  server->daemon = MHD_start_daemon(
      MHD_USE_EPOLL_INTERNAL_THREAD, 0, nullptr, nullptr, &Server::OnAccess,
      server.get(), MHD_OPTION_SOCK_ADDR, &socket_address,
      MHD_OPTION_THREAD_POOL_SIZE, options.threads,
      MHD_OPTION_CONNECTION_TIMEOUT, kIdleSeconds, MHD_OPTION_NOTIFY_COMPLETED,
      &Server::OnCompleted, nullptr, MHD_OPTION_LISTENING_ADDRESS_REUSE, 1U,
      MHD_OPTION_END);
  if (server->daemon == nullptr) {
    return Error{ErrorCode::kUnavailable,
                 "cannot listen on " + options.address +
                     "; check that the address is local and free"};
  }
  return std::unique_ptr<HttpService>(new HttpService(std::move(server)));
}

HttpService::HttpService(std::unique_ptr<Server> server)
    : server_(std::move(server)) {}

HttpService::~HttpService() { MHD_stop_daemon(server_->daemon); }

}  // namespace papayaplank
