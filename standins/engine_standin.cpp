// A thread per connection; tokens depend on the request body alone, so that
// another engine can resume the stream.
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
constexpr int kRefused = 503;
constexpr int kDefaultTokens = 32;
constexpr std::size_t kBlockBytes = 4096;
constexpr Duration kSilence = seconds(3600);
constexpr Duration kSleepStep = milliseconds(20);

struct Prompt {
  std::string body;
  std::string request_id;
  int resume_after = 0;
};

auto TokenText(std::uint64_t seed, int index) -> std::string {
  return "t" + std::to_string(StableHash(std::to_string(index), seed) % 10000) +
         " ";
}

// Events of the whole stream; the last two carry usage and the end.
auto StreamEvents(const std::string& body, int tokens)
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

auto WholeAnswer(const std::string& body, int tokens) -> std::string {
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
  // One answer on its way out.
  struct Stream {
    Server* server = nullptr;
    std::vector<std::string> events;
    std::size_t next = 0;
    std::size_t offset = 0;
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
      *state = new Prompt();
      return MHD_YES;
    }
    auto* prompt = static_cast<Prompt*>(*state);
    if (*upload_size != 0) {
      prompt->body.append(upload, *upload_size);
      *upload_size = 0;
      return MHD_YES;
    }
    return server->Answer(*prompt, connection, url);
  }

  static auto OnCompleted(void* /*user*/, MHD_Connection* /*connection*/,
                          void** state, MHD_RequestTerminationCode /*code*/)
      -> void {
    delete static_cast<Prompt*>(*state);
    *state = nullptr;
  }

  static auto Header(MHD_Connection* connection, const char* name)
      -> std::string {
    const auto* value =
        MHD_lookup_connection_value(connection, MHD_HEADER_KIND, name);
    return value == nullptr ? "" : value;
  }

  static auto QueueText(MHD_Connection* connection, int status,
                        const std::string& text, bool not_run = false)
      -> MHD_Result {
    auto* response = MHD_create_response_from_buffer(
        text.size(), const_cast<char*>(text.data()), MHD_RESPMEM_MUST_COPY);
    if (not_run) MHD_add_response_header(response, "X-Papayaplank-Ran", "no");
    const auto result =
        MHD_queue_response(connection, static_cast<unsigned>(status), response);
    MHD_destroy_response(response);
    return result;
  }

  auto Answer(Prompt& prompt, MHD_Connection* connection,
              const std::string& url) -> MHD_Result {
    if (url == "/admin/fault") {
      const auto is_set = faults_.Set(prompt.body);
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
    return Generate(prompt, connection);
  }

  auto Generate(Prompt& prompt, MHD_Connection* connection) -> MHD_Result {
    const auto fault = faults_.Take();
    if (fault.delay_ms > 0) Sleep(milliseconds(fault.delay_ms));
    if (fault.is_silent) Sleep(kSilence);
    if (fault.is_refused) {
      return QueueText(connection, kRefused, "busy\n", true);
    }
    if (fault.is_down) return QueueText(connection, kServerError, "down\n");
    if (fault.is_swallowed) return MHD_NO;
    const auto json = Json::parse(prompt.body, nullptr, false);
    const auto tokens =
        json.is_object() ? json.value("max_tokens", kDefaultTokens) : 1;
    const auto is_stream = json.is_object() && json.value("stream", false);
    auto* stream = new Stream{this, {}, 0, 0, true, fault, 0};
    std::string whole;
    if (is_stream) {
      stream->events = StreamEvents(prompt.body, tokens);
      for (const auto& event : stream->events) whole += event;
      const auto resume = Header(connection, "X-Resume-After-Tokens");
      if (!resume.empty()) {
        stream->next = static_cast<std::size_t>(std::atoi(resume.c_str()));
      }
    } else {
      whole = WholeAnswer(prompt.body, tokens);
      Sleep(Gap() * tokens);
      stream->events = {whole};
      stream->is_paced = false;
    }
    ++started_;
    ++active_;
    return QueueStream(connection, stream, whole, is_stream);
  }

  auto QueueStream(MHD_Connection* connection, Stream* stream,
                   const std::string& whole, bool is_stream) -> MHD_Result {
    auto* response = MHD_create_response_from_callback(
        is_stream ? MHD_SIZE_UNKNOWN : whole.size(), kBlockBytes,
        &Server::OnRead, stream, &Server::OnFreed);
    const auto id = stream->fault.is_crossed
                        ? "somebody-else"
                        : Header(connection, "X-Request-Id");
    MHD_add_response_header(response, "X-Request-Id", id.c_str());
    MHD_add_response_header(response, "X-Answer-Sha256",
                            Sha256Hex(whole).c_str());
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
    return static_cast<Stream*>(user)->server->Read(*static_cast<Stream*>(user),
                                                    buffer, size);
  }

  auto Read(Stream& stream, char* buffer, std::size_t size) -> ssize_t {
    const auto& fault = stream.fault;
    if (fault.cut_after_bytes >= 0 &&
        stream.sent_bytes >= fault.cut_after_bytes) {
      return MHD_CONTENT_READER_END_WITH_ERROR;
    }
    if (fault.silent_after_bytes >= 0 &&
        stream.sent_bytes >= fault.silent_after_bytes) {
      Sleep(kSilence);
    }
    if (stream.next >= stream.events.size()) {
      return MHD_CONTENT_READER_END_OF_STREAM;
    }
    const auto& event = stream.events[stream.next];
    if (stream.offset == 0 && stream.is_paced) Sleep(Gap());
    auto count = std::min(size, event.size() - stream.offset);
    if (fault.cut_after_bytes >= 0) {
      const auto left = fault.cut_after_bytes - stream.sent_bytes;
      count = std::min(count, static_cast<std::size_t>(left));
    }
    std::copy_n(event.data() + stream.offset, count, buffer);
    stream.offset += count;
    stream.sent_bytes += static_cast<std::int64_t>(count);
    if (stream.offset == event.size()) {
      ++stream.next;
      stream.offset = 0;
    }
    return static_cast<ssize_t>(count);
  }

  static auto OnFreed(void* user) -> void {
    auto* stream = static_cast<Stream*>(user);
    --stream->server->active_;
    if (stream->next >= stream->events.size()) ++stream->server->finished_;
    delete stream;
  }

  // More requests than slots share the same speed.
  auto Gap() const -> Duration {
    const auto load = static_cast<double>(active_) / options_.slots;
    return std::chrono::duration_cast<Duration>(options_.token_gap *
                                                std::max(1.0, load));
  }

  auto Sleep(Duration duration) -> void {
    const auto until = MonotonicClock::now() + duration;
    while (!is_stopping_) {
      const auto left = until - MonotonicClock::now();
      if (left <= Duration::zero()) return;
      std::this_thread::sleep_for(std::min<Duration>(left, kSleepStep));
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
