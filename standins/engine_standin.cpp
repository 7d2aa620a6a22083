// Serves each connection on its own thread. Tokens depend on the request body
// alone, so that another engine can resume the stream.
#include "standins/engine_standin.h"

#include <microhttpd.h>

#include <algorithm>
#include <atomic>
#include <nlohmann/json.hpp>
#include <thread>
#include <utility>

#include "standins/fault_plan.h"
#include "transport/socket_address.h"

namespace papayaplank {
namespace {

using Json = nlohmann::json;

constexpr int kOk = 200;
constexpr int kServerError = 500;
constexpr int kServiceUnavailable = 503;
constexpr int kDefaultTokens = 32;
constexpr std::size_t kBlockBytes = 4096;
// Longer than any test runs; ends when the stand-in stops.
constexpr Duration kSilentTime = seconds(3600);
constexpr Duration kStopCheckInterval = milliseconds(20);

// A request; its body arrives in blocks.
struct ReceivedRequest {
  std::string body;
  std::string request_id;
  int resume_after = 0;
};

// Text that depends on the seed and the index alone.
auto TokenText(std::uint64_t seed, int index) -> std::string {
  return "t" + std::to_string(StableHash(std::to_string(index), seed) % 10000) +
         " ";
}

// All events of a stream; the last two carry the usage and the end marker.
auto BuildStreamEvents(const std::string& body, int tokens)
    -> std::vector<std::string> {
  const auto seed = StableHash(body);
  std::vector<std::string> events;
  for (int i = 0; i < tokens; ++i) {
    const Json event = {
        {"choices",
         {{{"index", 0}, {"delta", {{"content", TokenText(seed, i)}}}}}}};
    events.push_back("data: " + event.dump() + "\n\n");
  }
  const Json usage = {
      {"usage", {{"completion_tokens", tokens}, {"prompt_tokens", 10}}}};
  events.push_back("data: " + usage.dump() + "\n\n");
  events.push_back("data: [DONE]\n\n");
  return events;
}

auto CompleteAnswer(const std::string& body, int tokens) -> std::string {
  const auto seed = StableHash(body);
  std::string text;
  for (int i = 0; i < tokens; ++i) text += TokenText(seed, i);
  const Json answer = {
      {"choices", {{{"index", 0}, {"message", {{"content", text}}}}}},
      {"usage", {{"completion_tokens", tokens}, {"prompt_tokens", 10}}}};
  return answer.dump();
}

}  // namespace

class EngineStandin::Server {
 public:
  explicit Server(EngineOptions options) : options_(std::move(options)) {}
  ~Server() {
    is_stopping_ = true;
    if (daemon_ != nullptr) MHD_stop_daemon(daemon_);
  }

  auto Start() -> Outcome<Done> {
    auto address = ParseSocketAddress(options_.address);
    if (!IsOk(address)) return ErrorOf(address);
    const auto socket_address = ValueOf(address);
    daemon_ = MHD_start_daemon(
        MHD_USE_THREAD_PER_CONNECTION | MHD_USE_INTERNAL_POLLING_THREAD |
            MHD_USE_POLL,
        0, nullptr, nullptr, &Server::OnAccess, this, MHD_OPTION_SOCK_ADDR,
        &socket_address, MHD_OPTION_NOTIFY_COMPLETED, &Server::OnCompleted,
        this, MHD_OPTION_LISTENING_ADDRESS_REUSE, 1U, MHD_OPTION_END);
    if (daemon_ != nullptr) return Done{};
    return Error{ErrorCode::kUnavailable,
                 "cannot listen on " + options_.address};
  }

 private:
  // An answer that is being sent; a plain answer is a stream of one event.
  struct Stream {
    Server* server = nullptr;
    std::vector<std::string> events;
    std::size_t next_event = 0;
    // Bytes of the next event that are sent already.
    std::size_t event_offset = 0;
    // Whether to wait the token gap before each event.
    bool is_paced = true;
    Fault fault;
    std::int64_t sent_bytes = 0;
  };

  static auto OnAccess(void* user, MHD_Connection* connection, const char* url,
                       const char* /*method*/, const char* /*version*/,
                       const char* upload, std::size_t* upload_size,
                       void** state) -> MHD_Result {
    auto* server = static_cast<Server*>(user);
    if (*state == nullptr) {
      *state = new ReceivedRequest();
      return MHD_YES;
    }
    auto* request = static_cast<ReceivedRequest*>(*state);
    if (*upload_size != 0) {
      request->body.append(upload, *upload_size);
      *upload_size = 0;
      return MHD_YES;
    }
    return server->HandleRequest(*request, connection, url);
  }

  static auto OnCompleted(void* /*user*/, MHD_Connection* /*connection*/,
                          void** state, MHD_RequestTerminationCode /*code*/)
      -> void {
    delete static_cast<ReceivedRequest*>(*state);
    *state = nullptr;
  }

  static auto Header(MHD_Connection* connection, const char* name)
      -> std::string {
    const auto* value =
        MHD_lookup_connection_value(connection, MHD_HEADER_KIND, name);
    return value == nullptr ? "" : value;
  }

  static auto QueueText(MHD_Connection* connection, int status,
                        const std::string& text, bool has_not_run = false)
      -> MHD_Result {
    auto* response = MHD_create_response_from_buffer(
        text.size(), const_cast<char*>(text.data()), MHD_RESPMEM_MUST_COPY);
    if (has_not_run) {
      MHD_add_response_header(response, "X-Papayaplank-Ran", "no");
    }
    const auto result =
        MHD_queue_response(connection, static_cast<unsigned>(status), response);
    MHD_destroy_response(response);
    return result;
  }

  auto HandleRequest(ReceivedRequest& request, MHD_Connection* connection,
                     const std::string& url) -> MHD_Result {
    if (url == "/admin/fault") {
      const auto is_set = faults_.Set(request.body);
      return QueueText(connection, is_set ? kOk : kServerError, "{}\n");
    }
    if (url == "/admin/leave") {
      is_leaving_ = true;
      return QueueText(connection, kOk, "{}\n");
    }
    if (url == "/admin/counts") {
      const Json counts = {{"started", started_.load()},
                           {"finished", finished_.load()},
                           {"active", active_.load()}};
      return QueueText(connection, kOk, counts.dump() + "\n");
    }
    return Generate(request, connection);
  }

  // Answers a request for tokens, with the fault that is set.
  auto Generate(ReceivedRequest& request, MHD_Connection* connection)
      -> MHD_Result {
    const auto fault = faults_.NextFault();
    if (fault.delay_ms > 0) Sleep(milliseconds(fault.delay_ms));
    if (fault.is_silent) Sleep(kSilentTime);
    if (fault.is_refused) {
      return QueueText(connection, kServiceUnavailable, "busy\n", true);
    }
    if (fault.is_down) return QueueText(connection, kServerError, "down\n");
    if (fault.drops_answer) return MHD_NO;
    const auto json = Json::parse(request.body, nullptr, false);
    const auto tokens =
        json.is_object() ? json.value("max_tokens", kDefaultTokens) : 1;
    const auto is_stream = json.is_object() && json.value("stream", false);
    auto* stream = new Stream{this, {}, 0, 0, true, fault, 0};
    std::string complete_body;
    if (is_stream) {
      stream->events = BuildStreamEvents(request.body, tokens);
      for (const auto& event : stream->events) complete_body += event;
      const auto resume = Header(connection, "X-Resume-After-Tokens");
      if (!resume.empty()) {
        stream->next_event =
            static_cast<std::size_t>(std::atoi(resume.c_str()));
      }
    } else {
      complete_body = CompleteAnswer(request.body, tokens);
      Sleep(TokenGap() * tokens);
      stream->events = {complete_body};
      stream->is_paced = false;
    }
    ++started_;
    ++active_;
    return QueueStream(connection, stream, complete_body, is_stream);
  }

  auto QueueStream(MHD_Connection* connection, Stream* stream,
                   const std::string& complete_body, bool is_stream)
      -> MHD_Result {
    auto* response = MHD_create_response_from_callback(
        is_stream ? MHD_SIZE_UNKNOWN : complete_body.size(), kBlockBytes,
        &Server::OnRead, stream, &Server::OnFreed);
    const auto id = stream->fault.has_wrong_request_id
                        ? "somebody-else"
                        : Header(connection, "X-Request-Id");
    MHD_add_response_header(response, "X-Request-Id", id.c_str());
    const auto position = Header(connection, "X-Resume-After-Tokens");
    if (is_stream && !position.empty()) {
      MHD_add_response_header(response, "X-Resume-After-Tokens",
                              position.c_str());
    }
    MHD_add_response_header(response, "X-Answer-Sha256",
                            Sha256Hex(complete_body).c_str());
    MHD_add_response_header(
        response, "Content-Type",
        is_stream ? "text/event-stream" : "application/json");
    if (is_leaving_) MHD_add_response_header(response, "X-Target-Leaving", "1");
    const auto result = MHD_queue_response(connection, kOk, response);
    MHD_destroy_response(response);
    return result;
  }

  static auto OnRead(void* user, std::uint64_t /*position*/, char* buffer,
                     std::size_t size) -> ssize_t {
    return static_cast<Stream*>(user)->server->ReadStream(
        *static_cast<Stream*>(user), buffer, size);
  }

  auto ReadStream(Stream& stream, char* buffer, std::size_t size) -> ssize_t {
    const auto& fault = stream.fault;
    if (fault.cut_after_bytes >= 0 &&
        stream.sent_bytes >= fault.cut_after_bytes) {
      return MHD_CONTENT_READER_END_WITH_ERROR;
    }
    if (fault.silent_after_bytes >= 0 &&
        stream.sent_bytes >= fault.silent_after_bytes) {
      Sleep(kSilentTime);
    }
    if (stream.next_event >= stream.events.size()) {
      return MHD_CONTENT_READER_END_OF_STREAM;
    }
    const auto& event = stream.events[stream.next_event];
    if (stream.event_offset == 0 && stream.is_paced) Sleep(TokenGap());
    auto count = std::min(size, event.size() - stream.event_offset);
    if (fault.cut_after_bytes >= 0) {
      const auto left = fault.cut_after_bytes - stream.sent_bytes;
      count = std::min(count, static_cast<std::size_t>(left));
    }
    std::copy_n(event.data() + stream.event_offset, count, buffer);
    stream.event_offset += count;
    stream.sent_bytes += static_cast<std::int64_t>(count);
    if (stream.event_offset == event.size()) {
      ++stream.next_event;
      stream.event_offset = 0;
    }
    return static_cast<ssize_t>(count);
  }

  static auto OnFreed(void* user) -> void {
    auto* stream = static_cast<Stream*>(user);
    --stream->server->active_;
    if (stream->next_event >= stream->events.size()) {
      ++stream->server->finished_;
    }
    delete stream;
  }

  // Time between two tokens; it grows when more requests than slots run, so
  // that all of them share the speed of the slots.
  auto TokenGap() const -> Duration {
    const auto load = static_cast<double>(active_) / options_.slots;
    return std::chrono::duration_cast<Duration>(options_.token_gap *
                                                std::max(1.0, load));
  }

  auto Sleep(Duration duration) -> void {
    const auto until = MonotonicClock::now() + duration;
    while (!is_stopping_) {
      const auto left = until - MonotonicClock::now();
      if (left <= Duration::zero()) return;
      std::this_thread::sleep_for(std::min<Duration>(left, kStopCheckInterval));
    }
  }

  const EngineOptions options_;
  MHD_Daemon* daemon_ = nullptr;
  FaultPlan faults_;
  std::atomic<bool> is_stopping_ = false;
  std::atomic<bool> is_leaving_ = false;
  std::atomic<int> active_ = 0;
  std::atomic<int> started_ = 0;
  std::atomic<int> finished_ = 0;
};

auto EngineStandin::Open(const EngineOptions& options)
    -> Outcome<std::unique_ptr<EngineStandin>> {
  auto server = std::make_unique<Server>(options);
  auto started = server->Start();
  if (!IsOk(started)) return ErrorOf(started);
  return std::unique_ptr<EngineStandin>(new EngineStandin(std::move(server)));
}

EngineStandin::EngineStandin(std::unique_ptr<Server> server)
    : server_(std::move(server)) {}
EngineStandin::~EngineStandin() = default;

}  // namespace papayaplank
