// libmicrohttpd callbacks of the callers' server.
#include "transport/caller_server.h"

#include <microhttpd.h>
#include <sys/socket.h>

#include <atomic>
#include <map>
#include <mutex>
#include <nlohmann/json.hpp>
#include <thread>
#include <unordered_map>
#include <utility>

#include "transport/caller_connections.h"
#include "transport/caller_headers.h"
#include "transport/socket_address.h"

namespace papayaplank {
namespace {

constexpr int kUnauthorized = 401;
constexpr int kTooLarge = 413;
constexpr int kBadRequest = 400;
// Not a standard status; nginx uses it for a caller that closed its connection.
constexpr int kClientClosed = 499;
constexpr int kUnavailable = 503;
constexpr std::size_t kResponseBlockBytes = 16384;
constexpr std::size_t kConnectionMemoryBytes = 24576;
constexpr std::size_t kMaxIdempotencyKeyBytes = 200;
constexpr std::size_t kRequestIdBytes = 12;
constexpr Duration kSocketCheckPeriod = milliseconds(500);

// One request on a connection.
struct Call {
  HttpCall http;
  CallerRequest request;
  std::string body;
  RequestId id;
  int refusal_status = 0;
  // Such a caller knows no chunks: without a length, the end of the connection
  // ends the answer.
  bool is_http_1_0 = false;
  // Whether the request was passed to `on_request`.
  bool is_passed_on = false;
  // Null if libmicrohttpd has not reported the connection.
  CallerConnection* connection = nullptr;
  // Names the body while it is unfinished.
  HolderId holder;
};

auto AddHeader(void* user, MHD_ValueKind /*kind*/, const char* name,
               const char* value) -> MHD_Result {
  auto* call = static_cast<Call*>(user);
  const auto lower = ToLower(name);
  const std::string text = value == nullptr ? "" : value;
  const auto [entry, is_new] = call->http.headers.try_emplace(lower, text);
  if (!is_new && lower == kTransferEncoding) {
    entry->second += ", " + text;
  } else {
    entry->second = text;
  }
  if (!IsHiddenFromTargets(lower)) {
    call->request.headers.push_back({name, text});
  }
  return MHD_YES;
}

auto AddArgument(void* user, MHD_ValueKind /*kind*/, const char* name,
                 const char* value) -> MHD_Result {
  auto* call = static_cast<Call*>(user);
  call->http.query[name] = value == nullptr ? "" : value;
  return MHD_YES;
}

}  // namespace

auto FormatErrorBody(const RequestId& id, const std::string& type,
                     const std::string& message, const std::string& ran)
    -> std::string {
  const nlohmann::json json = {{"error",
                                {{"type", type},
                                 {"message", message},
                                 {"ran", ran},
                                 {"request_id", id.value()}}}};
  return json.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) +
         "\n";
}

// The HTTP daemon, its requests, and the thread that detects callers that have
// disconnected.
class CallerServer::Server {
 public:
  Server(CallerServerOptions options, CallerServerHooks hooks)
      : options_(std::move(options)),
        hooks_(std::move(hooks)),
        connections_(options_.max_connections) {}

  ~Server() {
    is_stopping_ = true;
    if (socket_check_thread_.joinable()) socket_check_thread_.join();
    if (daemon_ == nullptr) return;
    AbortAll();
    MHD_stop_daemon(daemon_);
  }

  auto Start() -> Outcome<Done> {
    auto address = ParseSocketAddress(options_.address);
    if (!IsOk(address)) return ErrorOf(address);
    const auto socket_address = ValueOf(address);
    daemon_ = MHD_start_daemon(
        MHD_USE_EPOLL_INTERNAL_THREAD | MHD_ALLOW_SUSPEND_RESUME, 0, nullptr,
        nullptr, &Server::OnAccess, this, MHD_OPTION_SOCK_ADDR, &socket_address,
        MHD_OPTION_CONNECTION_TIMEOUT, options_.idle_seconds,
        MHD_OPTION_CONNECTION_LIMIT, options_.max_connections,
        MHD_OPTION_CONNECTION_MEMORY_LIMIT, kConnectionMemoryBytes,
        MHD_OPTION_NOTIFY_COMPLETED, &Server::OnCompleted, this,
        MHD_OPTION_URI_LOG_CALLBACK, &Server::OnUri, this,
        MHD_OPTION_NOTIFY_CONNECTION, &Server::OnConnection, this,
        MHD_OPTION_LISTENING_ADDRESS_REUSE, 1U, MHD_OPTION_END);
    if (daemon_ == nullptr) {
      return Error{ErrorCode::kUnavailable,
                   "cannot listen on " + options_.address +
                       "; check that the address is local and free"};
    }
    socket_check_thread_ = std::thread([this] { CheckSockets(); });
    return Done{};
  }

  auto CloseAfterAnswers() -> void { should_close_after_answers_ = true; }
  auto StopListening() -> void { MHD_quiesce_daemon(daemon_); }

  auto OpenConnections() const -> unsigned {
    const auto* info =
        MHD_get_daemon_info(daemon_, MHD_DAEMON_INFO_CURRENT_CONNECTIONS);
    return info == nullptr ? 0 : info->num_connections;
  }

  auto OpenRequests() -> std::size_t {
    const std::lock_guard lock(mutex_);
    return open_.size();
  }

 private:
  // A request that was passed on, with the socket that `CheckSockets` checks.
  struct OpenRequest {
    std::shared_ptr<AnswerBuffer> answer;
    int socket = -1;
    bool is_cancelled = false;
  };

  static auto OnConnection(void* user, MHD_Connection* connection,
                           void** context, MHD_ConnectionNotificationCode code)
      -> void {
    auto& connections = static_cast<Server*>(user)->connections_;
    if (code == MHD_CONNECTION_NOTIFY_STARTED) {
      const auto* info = MHD_get_connection_info(
          connection, MHD_CONNECTION_INFO_CONNECTION_FD);
      *context = connections.Add(info->connect_fd);
    } else if (*context != nullptr) {
      connections.Remove(static_cast<CallerConnection*>(*context));
      *context = nullptr;
    }
  }

  // Keeps the path with its query as the caller sent it.
  static auto OnUri(void* user, const char* uri, MHD_Connection* connection)
      -> void* {
    auto* call = new Call();
    call->request.path = uri;
    const auto* info =
        MHD_get_connection_info(connection, MHD_CONNECTION_INFO_SOCKET_CONTEXT);
    call->connection = static_cast<CallerConnection*>(info->socket_context);
    static_cast<Server*>(user)->NoteActivity(*call, false);
    return call;
  }

  auto NoteActivity(const Call& call, bool is_answering) -> void {
    if (call.connection == nullptr) return;
    connections_.NoteActivity(*call.connection, is_answering);
  }

  static auto OnAccess(void* user, MHD_Connection* connection, const char* url,
                       const char* method, const char* version,
                       const char* upload, std::size_t* upload_size,
                       void** state) -> MHD_Result {
    auto* server = static_cast<Server*>(user);
    auto* call = static_cast<Call*>(*state);
    if (call == nullptr) return MHD_NO;
    if (call->http.method.empty()) {
      call->is_http_1_0 = std::string_view(version) == MHD_HTTP_VERSION_1_0;
      return server->BeginCall(*call, connection, url, method);
    }
    if (*upload_size != 0) {
      server->AppendUpload(*call, upload, *upload_size);
      *upload_size = 0;
      return MHD_YES;
    }
    if (!call->is_passed_on) return server->FinishUpload(*call, connection);
    return server->Continue(*call, connection);
  }

  auto BeginCall(Call& call, MHD_Connection* connection, const char* url,
                 const char* method) -> MHD_Result {
    call.http.method = method;
    call.http.path = url;
    call.id = RequestId(RandomHex(kRequestIdBytes));
    MHD_get_connection_values(connection, MHD_HEADER_KIND, AddHeader, &call);
    MHD_get_connection_values(connection, MHD_GET_ARGUMENT_KIND, AddArgument,
                              &call);
    if (const auto status = RefuseCoding(call.http, call.is_http_1_0);
        status != 0) {
      return QueueCompleteAnswer(
          connection, call, status, "application/json",
          FormatErrorBody(call.id, "bad_request",
                          "unknown Transfer-Encoding; send the body with a "
                          "length or in chunks",
                          "no"));
    }
    const auto key = ParseBearerKey(call.http);
    if (!key.empty()) call.request.customer = hooks_.authenticate(key);
    const auto local =
        hooks_.answer_locally(call.http, call.request.customer.get());
    if (local.status != 0) {
      return QueueCompleteAnswer(connection, call, local.status,
                                 local.content_type, local.body);
    }
    // A request with an unknown key is refused before its body is read.
    if (!call.request.customer) {
      return QueueCompleteAnswer(
          connection, call, kUnauthorized, "application/json",
          FormatErrorBody(call.id, "unauthorized",
                          "unknown API key; send Authorization: "
                          "Bearer KEY",
                          "no"));
    }
    return MHD_YES;
  }

  auto AppendUpload(Call& call, const char* upload, std::size_t size) -> void {
    NoteActivity(call, false);
    if (call.refusal_status != 0) return;
    if (call.body.size() + size > options_.max_body_bytes) {
      return DropBody(call, kTooLarge);
    }
    call.body.append(upload, size);
    if (call.holder.is_empty()) {
      call.holder = HolderId(++last_holder_);
      unfinished_[call.holder] = &call;
    }
    for (const auto victim : options_.held_bodies->Update(
             call.holder, call.request.customer->id.value(),
             call.body.capacity())) {
      DropBody(*unfinished_.at(victim), kUnavailable);
    }
  }

  // Refuses a request with `status`. What it still sends is read and discarded,
  // because libmicrohttpd answers only after the body.
  auto DropBody(Call& call, int status) -> void {
    call.refusal_status = status;
    // An assignment of an empty string would keep the allocated bytes.
    std::string().swap(call.body);
    ForgetUnfinished(call);
  }

  auto ForgetUnfinished(const Call& call) -> void {
    options_.held_bodies->Remove(call.holder);
    unfinished_.erase(call.holder);
  }

  auto FinishUpload(Call& call, MHD_Connection* connection) -> MHD_Result {
    const auto key = call.http.headers.find("idempotency-key");
    if (key != call.http.headers.end()) {
      call.request.idempotency_key = key->second;
    }
    if (call.refusal_status == kTooLarge) {
      return QueueCompleteAnswer(
          connection, call, kTooLarge, "application/json",
          FormatErrorBody(call.id, "too_large",
                          "the body is longer than " +
                              std::to_string(options_.max_body_bytes) +
                              " bytes",
                          "no"));
    }
    if (call.refusal_status == kUnavailable) {
      return QueueCompleteAnswer(
          connection, call, kUnavailable, "application/json",
          FormatErrorBody(call.id, "overloaded",
                          "the router holds too many request bodies; send the "
                          "request again later",
                          "no"));
    }
    if (call.request.idempotency_key.size() > kMaxIdempotencyKeyBytes) {
      return QueueCompleteAnswer(
          connection, call, kBadRequest, "application/json",
          FormatErrorBody(call.id, "bad_request",
                          "Idempotency-Key is longer than 200 bytes", "no"));
    }
    return PassOn(call, connection);
  }

  auto PassOn(Call& call, MHD_Connection* connection) -> MHD_Result {
    if (is_stopping_) {
      return QueueCompleteAnswer(
          connection, call, kUnavailable, "application/json",
          FormatErrorBody(call.id, "stopping", "the router is stopping", "no"));
    }
    auto& request = call.request;
    request.method = call.http.method;
    const auto found = call.http.headers.find("x-papayaplank-class");
    if (found != call.http.headers.end()) request.class_header = found->second;
    request.body =
        options_.held_bodies->Complete(call.holder, std::move(call.body));
    unfinished_.erase(call.holder);
    NoteActivity(call, true);
    request.answer = std::make_shared<AnswerBuffer>(
        call.id, !request.idempotency_key.empty());
    request.answer->SetOnReadable(
        [connection] { MHD_resume_connection(connection); });
    const auto* info =
        MHD_get_connection_info(connection, MHD_CONNECTION_INFO_CONNECTION_FD);
    {
      const std::lock_guard lock(mutex_);
      open_[call.id] = {request.answer, info->connect_fd, false};
    }
    call.is_passed_on = true;
    hooks_.on_request(request);
    return Continue(call, connection);
  }

  auto Continue(Call& call, MHD_Connection* connection) -> MHD_Result {
    const auto& answer = call.request.answer;
    const auto is_suspended = answer->SuspendUntilHead(
        [connection] { MHD_suspend_connection(connection); });
    if (is_suspended) return MHD_YES;
    const auto head = answer->Head();
    if (!head) {
      return QueueCompleteAnswer(connection, call, kClientClosed, "text/plain",
                                 "");
    }
    return QueueStreamedAnswer(connection, call, *head);
  }

  auto AddCommonHeaders(MHD_Response* response, const Call& call) -> void {
    MHD_add_response_header(response, "X-Request-Id", call.id.value().c_str());
    if (should_close_after_answers_) {
      MHD_add_response_header(response, MHD_HTTP_HEADER_CONNECTION, "close");
    }
  }

  auto QueueCompleteAnswer(MHD_Connection* connection, const Call& call,
                           int status, const std::string& content_type,
                           const std::string& body) -> MHD_Result {
    NoteActivity(call, true);
    auto* response = MHD_create_response_from_buffer(
        body.size(), const_cast<char*>(body.data()), MHD_RESPMEM_MUST_COPY);
    MHD_add_response_header(response, "Content-Type", content_type.c_str());
    if (status >= kBadRequest) {
      MHD_add_response_header(response, "X-Papayaplank-Ran", "no");
    }
    if (call.refusal_status == kUnavailable) {
      MHD_add_response_header(response, "Retry-After", "1");
    }
    AddCommonHeaders(response, call);
    const auto result =
        MHD_queue_response(connection, static_cast<unsigned>(status), response);
    MHD_destroy_response(response);
    return result;
  }

  // Arguments of the content reader; they live as long as the response.
  struct Reader {
    std::shared_ptr<AnswerBuffer> answer;
    MHD_Connection* connection;
    // Whether the end of the connection is all that ends the answer.
    bool is_unframed;
  };

  static auto OnRead(void* user, std::uint64_t /*position*/, char* buffer,
                     std::size_t size) -> ssize_t {
    auto* reader = static_cast<Reader*>(user);
    const auto result = reader->answer->Read(
        buffer, size, [reader] { MHD_suspend_connection(reader->connection); });
    switch (result.state) {
      case ReadState::kData:
        return static_cast<ssize_t>(result.bytes);
      case ReadState::kEmpty:
        return 0;
      case ReadState::kEnd:
        return MHD_CONTENT_READER_END_OF_STREAM;
      case ReadState::kAborted:
        if (reader->is_unframed) Reset(reader->connection);
        return MHD_CONTENT_READER_END_WITH_ERROR;
    }
    return MHD_CONTENT_READER_END_WITH_ERROR;
  }

  // Resets a connection, so that its end doesn't look like that of an answer.
  static auto Reset(MHD_Connection* connection) -> void {
    const auto* info =
        MHD_get_connection_info(connection, MHD_CONNECTION_INFO_CONNECTION_FD);
    // libmicrohttpd shuts a socket down before it closes it, which ends the
    // connection in an orderly way; Linux resets it for this address.
    sockaddr address{};
    address.sa_family = AF_UNSPEC;
    // If it fails, the connection has ended already.
    static_cast<void>(connect(info->connect_fd, &address, sizeof(address)));
  }

  static auto OnReaderFreed(void* user) -> void {
    delete static_cast<Reader*>(user);
  }

  auto QueueStreamedAnswer(MHD_Connection* connection, const Call& call,
                           const AnswerHead& head) -> MHD_Result {
    auto* reader = new Reader{call.request.answer, connection,
                              call.is_http_1_0 && !head.length};
    auto* response = MHD_create_response_from_callback(
        head.length.value_or(MHD_SIZE_UNKNOWN), kResponseBlockBytes,
        &Server::OnRead, reader, &Server::OnReaderFreed);
    for (const auto& header : head.headers) {
      MHD_add_response_header(response, header.name.c_str(),
                              header.value.c_str());
    }
    AddCommonHeaders(response, call);
    const auto result = MHD_queue_response(
        connection, static_cast<unsigned>(head.status), response);
    MHD_destroy_response(response);
    return result;
  }

  static auto OnCompleted(void* user, MHD_Connection* /*connection*/,
                          void** state, MHD_RequestTerminationCode code)
      -> void {
    auto* server = static_cast<Server*>(user);
    auto* call = static_cast<Call*>(*state);
    *state = nullptr;
    if (call == nullptr) return;
    if (call->is_passed_on) server->EndCall(*call, code);
    server->ForgetUnfinished(*call);
    server->NoteActivity(*call, false);
    delete call;
  }

  auto EndCall(const Call& call, MHD_RequestTerminationCode code) -> void {
    const auto& answer = call.request.answer;
    answer->SetOnReadable(nullptr);
    bool is_cancelled = false;
    {
      const std::lock_guard lock(mutex_);
      const auto found = open_.find(call.id);
      is_cancelled = found->second.is_cancelled;
      open_.erase(found);
    }
    const auto is_complete = code == MHD_REQUEST_TERMINATED_COMPLETED_OK;
    if (is_complete || is_cancelled) return;
    answer->Abort();
    hooks_.on_cancel(call.id);
  }

  // libmicrohttpd does not poll a suspended connection, so this thread peeks at
  // its socket to detect that the caller has disconnected.
  auto CheckSockets() -> void {
    while (!is_stopping_) {
      std::this_thread::sleep_for(kSocketCheckPeriod);
      connections_.MakeRoom();
      options_.held_bodies->Tick();
      std::vector<RequestId> gone;
      {
        const std::lock_guard lock(mutex_);
        for (auto& [id, open] : open_) {
          if (open.is_cancelled || !IsClosed(open.socket)) continue;
          open.is_cancelled = true;
          open.answer->Abort();
          gone.push_back(id);
        }
      }
      for (const auto& id : gone) hooks_.on_cancel(id);
    }
  }

  static auto IsClosed(int socket) -> bool {
    char byte = 0;
    const auto result = recv(socket, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    if (result > 0) return false;
    if (result == 0) return true;
    return errno != EAGAIN && errno != EWOULDBLOCK && errno != EINTR;
  }

  auto AbortAll() -> void {
    const std::lock_guard lock(mutex_);
    for (auto& [id, open] : open_) open.answer->Abort();
  }

  const CallerServerOptions options_;
  const CallerServerHooks hooks_;
  CallerConnections connections_;
  // Calls by the holder of their unfinished body; used on the daemon's thread.
  std::unordered_map<HolderId, Call*> unfinished_;
  std::uint64_t last_holder_ = 0;
  MHD_Daemon* daemon_ = nullptr;
  std::atomic<bool> is_stopping_ = false;
  std::atomic<bool> should_close_after_answers_ = false;
  std::mutex mutex_;
  // Guarded by `mutex_`. A socket stays open while its entry is here, because
  // libmicrohttpd closes it only after `OnCompleted`.
  std::map<RequestId, OpenRequest> open_;
  std::thread socket_check_thread_;
};

auto CallerServer::Open(const CallerServerOptions& options,
                        CallerServerHooks hooks)
    -> Outcome<std::unique_ptr<CallerServer>> {
  auto server = std::make_unique<Server>(options, std::move(hooks));
  auto started = server->Start();
  if (!IsOk(started)) return ErrorOf(started);
  return std::unique_ptr<CallerServer>(new CallerServer(std::move(server)));
}

CallerServer::CallerServer(std::unique_ptr<Server> server)
    : server_(std::move(server)) {}
CallerServer::~CallerServer() = default;

auto CallerServer::CloseAfterAnswers() -> void { server_->CloseAfterAnswers(); }
auto CallerServer::StopListening() -> void { server_->StopListening(); }
auto CallerServer::open_requests() const -> std::size_t {
  return server_->OpenRequests();
}
auto CallerServer::open_connections() const -> unsigned {
  return server_->OpenConnections();
}

}  // namespace papayaplank
