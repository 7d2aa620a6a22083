// Runs one thread per stream of a load plan. The plan bounds the number of
// requests and the time.
#include "apps/load_command.h"

#include <curl/curl.h>

#include <algorithm>
#include <atomic>
#include <fstream>
#include <iomanip>
#include <iostream>
#include <map>
#include <mutex>
#include <nlohmann/json.hpp>
#include <sstream>
#include <thread>

#include "metrics/metrics.h"
#include "transport/transport.h"

namespace papayaplank {
namespace {

using Json = nlohmann::json;

constexpr std::size_t kMaxStreams = 1000;
constexpr int kMaxRequests = 1000000;
constexpr double kMaxSeconds = 3600;
constexpr long kRequestTimeoutSeconds = 300;  // NOLINT: libcurl's type
constexpr Duration kRetryDelay = milliseconds(200);
constexpr int kFirstErrorStatus = 400;

// The requests of one customer and class in the plan.
struct LoadPart {
  CustomerId customer;
  std::string key;
  std::string data_center;
  ClassId request_class;
  std::string method = "POST";
  std::string path;
  // Sent as it is, with "@" replaced by a number unique in the run.
  std::string body;
  // Number of threads that send requests.
  int streams = 1;
  // Total over all streams.
  int requests = 1;
  // Whether to retry without an answer, and to reuse connections.
  bool is_idempotent = false;
};

// A parsed load plan.
struct LoadPlan {
  // Caller addresses of routers.
  std::vector<std::string> routers;
  double seconds = 60;
  std::vector<LoadPart> parts;
};

// Number of answers of one part, by result.
struct LoadCounts {
  std::uint64_t good = 0;
  // Errors which state that the request has not run.
  std::uint64_t refused = 0;
  // Other errors, and incomplete or missing answers.
  std::uint64_t failed = 0;
  // Answers whose body does not match X-Answer-Sha256.
  std::uint64_t wrong = 0;
  double tokens_and_bytes = 0;
};

auto ParsePlan(const std::string& file) -> Outcome<LoadPlan> {
  std::ifstream in(file);
  const auto invalid = [&file](const std::string& why) {
    return Error{ErrorCode::kInvalidArgument,
                 "load plan '" + file + "': " + why};
  };
  if (!in) return invalid("cannot be read");
  std::ostringstream text;
  text << in.rdbuf();
  const auto json = Json::parse(text.str(), nullptr, false);
  if (!json.is_object()) return invalid("is not a JSON object");
  LoadPlan plan;
  for (const auto& router : json.value("routers", Json::array())) {
    if (router.is_string()) plan.routers.push_back(router);
  }
  if (plan.routers.empty()) return invalid("/routers names no router");
  plan.seconds = json.value("seconds", plan.seconds);
  if (plan.seconds <= 0 || plan.seconds > kMaxSeconds) {
    return invalid("/seconds must lie in (0, 3600]");
  }
  std::size_t streams = 0;
  for (const auto& item : json.value("parts", Json::array())) {
    LoadPart part;
    part.customer = CustomerId(item.value("customer", ""));
    part.key = item.value("key", "");
    part.data_center = item.value("data_center", "");
    part.request_class = ClassId(item.value("class", ""));
    part.method = item.value("method", part.method);
    part.path = item.value("path", "");
    part.body = item.value("body", "");
    part.streams = item.value("streams", 1);
    part.requests = item.value("requests", 1);
    part.is_idempotent = item.value("idempotent", false);
    if (part.path.empty()) return invalid("a part has no path");
    if (part.streams < 1 || part.requests < 1 || part.requests > kMaxRequests) {
      return invalid(
          "/parts: streams must be at least 1, requests 1 to 1000000");
    }
    streams += static_cast<std::size_t>(part.streams);
    plan.parts.push_back(std::move(part));
  }
  if (plan.parts.empty()) return invalid("/parts is empty");
  if (streams > kMaxStreams) return invalid("more than 1000 streams");
  return plan;
}

// One answer as received, complete or not.
struct Answer {
  int status = 0;
  std::string body;
  std::string sha256;
  // Value of X-Papayaplank-Ran; "no" too if the connection was refused.
  std::string ran;
  // Since the start of the last attempt.
  double first_byte_seconds = 0;
  bool is_complete = false;
};

auto CollectHeader(char* data, std::size_t size, std::size_t count, void* user)
    -> std::size_t {
  auto* answer = static_cast<Answer*>(user);
  const std::string_view line(data, size * count);
  const auto value_of = [line](std::string_view name) -> std::string {
    if (line.size() <= name.size()) return "";
    const auto head = line.substr(0, name.size());
    const auto is_same =
        std::equal(head.begin(), head.end(), name.begin(), [](char a, char b) {
          return std::tolower(static_cast<unsigned char>(a)) ==
                 std::tolower(static_cast<unsigned char>(b));
        });
    if (!is_same) return "";
    auto value = line.substr(name.size());
    while (!value.empty() && value.front() == ' ') value.remove_prefix(1);
    while (!value.empty() &&
           std::isspace(static_cast<unsigned char>(value.back())) != 0) {
      value.remove_suffix(1);
    }
    return std::string(value);
  };
  if (auto hash = value_of("x-answer-sha256:"); !hash.empty()) {
    answer->sha256 = hash;
  }
  if (auto ran = value_of("x-papayaplank-ran:"); !ran.empty()) {
    answer->ran = ran;
  }
  return size * count;
}

auto CollectBody(char* data, std::size_t size, std::size_t count, void* user)
    -> std::size_t {
  static_cast<Answer*>(user)->body.append(data, size * count);
  return size * count;
}

// Sends requests one after the other, like one caller.
class LoadStream {
 public:
  LoadStream(const LoadPlan& plan, const LoadPart& part, Time deadline)
      : plan_(plan),
        part_(part),
        deadline_(deadline),
        curl_(curl_easy_init()) {}
  ~LoadStream() { curl_easy_cleanup(curl_); }
  LoadStream(const LoadStream&) = delete;
  auto operator=(const LoadStream&) -> LoadStream& = delete;

  // Sends one request. Retries an answer which states that the request has not
  // run; without an answer, retries only an idempotent request.
  auto SendWithRetries(std::uint64_t number) -> Answer {
    Answer answer;
    for (;;) {
      answer = SendOnce(CurrentAddress(), number);
      const auto is_unanswered_or_not_run =
          answer.ran == "no" || answer.status == 0;
      const auto may_retry =
          answer.status == 0 ? part_.is_idempotent : is_unanswered_or_not_run;
      if (answer.is_complete && answer.status < kFirstErrorStatus) {
        return answer;
      }
      if (!answer.is_complete) addresses_.clear();
      if (!may_retry || MonotonicClock::now() > deadline_) return answer;
      std::this_thread::sleep_for(kRetryDelay);
    }
  }

 private:
  auto CurrentAddress() -> std::string {
    if (!addresses_.empty() && MonotonicClock::now() < addresses_expire_at_) {
      return addresses_.front();
    }
    for (std::size_t i = 0; i < plan_.routers.size(); ++i) {
      const auto& router = plan_.routers[next_router_++ % plan_.routers.size()];
      if (FetchAddresses(router)) return addresses_.front();
    }
    return plan_.routers[next_router_ % plan_.routers.size()];
  }

  auto FetchAddresses(const std::string& router) -> bool {
    auto response = client_.Fetch(
        {"GET", router, "/v1/addresses?data_center=" + part_.data_center, "",
         "Bearer " + part_.key, seconds(2)});
    if (!IsOk(response)) return false;
    const auto json = Json::parse(ValueOf(response).body, nullptr, false);
    if (!json.is_object() || !json.contains("addresses")) return false;
    addresses_.clear();
    for (const auto& address : json["addresses"]) {
      addresses_.push_back(address);
    }
    addresses_expire_at_ =
        MonotonicClock::now() + seconds(json.value("keep_seconds", 10));
    return !addresses_.empty();
  }

  auto SendOnce(const std::string& address, std::uint64_t number) -> Answer {
    Answer answer;
    auto body = part_.body;
    const auto placeholder = body.find('@');
    if (placeholder != std::string::npos) {
      body.replace(placeholder, 1, std::to_string(number));
    }
    const auto url = "http://" + address + part_.path;
    curl_easy_reset(curl_);
    curl_slist* headers = curl_slist_append(nullptr, "Expect:");
    const auto add = [&headers](const std::string& line) {
      headers = curl_slist_append(headers, line.c_str());
    };
    add("Authorization: Bearer " + part_.key);
    add("Content-Type: application/json");
    if (!part_.request_class.is_empty()) {
      add("X-Papayaplank-Class: " + part_.request_class.value());
    }
    add("X-Run-Key: " + part_.customer.value() + "-" +
        part_.request_class.value() + "-" + std::to_string(number));
    curl_easy_setopt(curl_, CURLOPT_URL, url.c_str());
    curl_easy_setopt(curl_, CURLOPT_CUSTOMREQUEST, part_.method.c_str());
    curl_easy_setopt(curl_, CURLOPT_HTTPHEADER, headers);
    curl_easy_setopt(curl_, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(curl_, CURLOPT_PROXY, "");
    curl_easy_setopt(curl_, CURLOPT_TIMEOUT, kRequestTimeoutSeconds);
    if (part_.method != "GET") {
      curl_easy_setopt(curl_, CURLOPT_POSTFIELDSIZE_LARGE,
                       static_cast<curl_off_t>(body.size()));
      curl_easy_setopt(curl_, CURLOPT_POSTFIELDS, body.data());
    }
    // libcurl repeats a request by itself if a reused connection turns out to
    // be closed.
    if (!part_.is_idempotent) {
      curl_easy_setopt(curl_, CURLOPT_FRESH_CONNECT, 1L);
    }
    curl_easy_setopt(curl_, CURLOPT_HEADERFUNCTION, CollectHeader);
    curl_easy_setopt(curl_, CURLOPT_HEADERDATA, &answer);
    curl_easy_setopt(curl_, CURLOPT_WRITEFUNCTION, CollectBody);
    curl_easy_setopt(curl_, CURLOPT_WRITEDATA, &answer);
    const auto code = curl_easy_perform(curl_);
    curl_slist_free_all(headers);
    answer.is_complete = code == CURLE_OK;
    // Without a connection no byte was sent, so the request has not run.
    if (code == CURLE_COULDNT_CONNECT) answer.ran = "no";
    long status = 0;  // NOLINT: libcurl's type
    curl_easy_getinfo(curl_, CURLINFO_RESPONSE_CODE, &status);
    answer.status = static_cast<int>(status);
    curl_easy_getinfo(curl_, CURLINFO_STARTTRANSFER_TIME,
                      &answer.first_byte_seconds);
    return answer;
  }

  const LoadPlan& plan_;
  const LoadPart& part_;
  const Time deadline_;
  CURL* curl_;
  BlockingHttpClient client_;
  std::vector<std::string> addresses_;
  Time addresses_expire_at_{};
  std::size_t next_router_ = 0;
};

// Runs all streams of a plan and keeps the results.
class LoadRun {
 public:
  explicit LoadRun(const LoadPlan& plan) : plan_(plan) {}

  auto Run() -> void {
    const auto deadline = MonotonicClock::now() +
                          std::chrono::duration_cast<Duration>(
                              std::chrono::duration<double>(plan_.seconds));
    counts_.resize(plan_.parts.size());
    std::vector<std::atomic<int>> remaining(plan_.parts.size());
    std::vector<std::thread> threads;
    for (std::size_t i = 0; i < plan_.parts.size(); ++i) {
      const auto& part = plan_.parts[i];
      remaining[i] = part.requests;
      for (int stream = 0; stream < part.streams; ++stream) {
        threads.emplace_back([this, i, &part, &remaining, deadline] {
          LoadStream load_stream(plan_, part, deadline);
          while (MonotonicClock::now() < deadline &&
                 remaining[i].fetch_sub(1) > 0) {
            Record(i, load_stream.SendWithRetries(next_number_++));
          }
        });
      }
    }
    for (auto& thread : threads) thread.join();
  }

  auto Print(bool is_json) const -> void {
    if (is_json) return PrintJson();
    std::cout << std::left << std::setw(18) << "CUSTOMER" << std::setw(12)
              << "CLASS" << std::right << std::setw(8) << "GOOD" << std::setw(9)
              << "REFUSED" << std::setw(8) << "FAILED" << std::setw(7)
              << "WRONG" << std::setw(12) << "TTFB p50" << std::setw(10)
              << "p95" << std::setw(10) << "p99" << '\n';
    for (std::size_t i = 0; i < plan_.parts.size(); ++i) {
      const auto& part = plan_.parts[i];
      const auto& counts = counts_[i];
      const auto quantiles = metrics_.ComputeQuantiles(
          Measure::kFirstByte, part.customer, part.request_class);
      std::cout << std::left << std::setw(18) << part.customer.value()
                << std::setw(12) << part.request_class.value() << std::right
                << std::setw(8) << counts.good << std::setw(9) << counts.refused
                << std::setw(8) << counts.failed << std::setw(7) << counts.wrong
                << std::fixed << std::setprecision(3) << std::setw(11)
                << quantiles.p50 << 's' << std::setw(9) << quantiles.p95 << 's'
                << std::setw(9) << quantiles.p99 << "s\n";
    }
  }

  auto HasWrongAnswers() const -> bool {
    return std::any_of(counts_.begin(), counts_.end(),
                       [](const LoadCounts& each) { return each.wrong > 0; });
  }

 private:
  auto Record(std::size_t index, const Answer& answer) -> void {
    const auto& part = plan_.parts[index];
    const std::lock_guard lock(mutex_);
    auto& counts = counts_[index];
    const auto is_error = answer.status >= kFirstErrorStatus;
    const auto is_refused =
        answer.is_complete && is_error && answer.ran == "no";
    if (is_refused) {
      ++counts.refused;
    } else if (!answer.is_complete || is_error) {
      ++counts.failed;
    } else if (!answer.sha256.empty() &&
               answer.sha256 != Sha256Hex(answer.body)) {
      ++counts.wrong;
    } else {
      ++counts.good;
      metrics_.Observe(Measure::kFirstByte, part.customer, part.request_class,
                       answer.first_byte_seconds);
    }
  }

  auto PrintJson() const -> void {
    auto list = Json::array();
    for (std::size_t i = 0; i < plan_.parts.size(); ++i) {
      const auto& part = plan_.parts[i];
      const auto& counts = counts_[i];
      const auto quantiles = metrics_.ComputeQuantiles(
          Measure::kFirstByte, part.customer, part.request_class);
      list.push_back({{"customer", part.customer.value()},
                      {"class", part.request_class.value()},
                      {"good", counts.good},
                      {"refused", counts.refused},
                      {"failed", counts.failed},
                      {"wrong", counts.wrong},
                      {"first_byte_p50", quantiles.p50},
                      {"first_byte_p95", quantiles.p95},
                      {"first_byte_p99", quantiles.p99}});
    }
    std::cout << Json{{"parts", std::move(list)}}.dump(2) << '\n';
  }

  const LoadPlan& plan_;
  std::atomic<std::uint64_t> next_number_ = 1;
  MetricRegistry metrics_;
  std::mutex mutex_;
  // Guarded by `mutex_` while streams run; one for each part.
  std::vector<LoadCounts> counts_;
};

}  // namespace

auto RunLoad(const std::string& plan_file, bool is_json) -> int {
  auto plan = ParsePlan(plan_file);
  if (!IsOk(plan)) {
    std::cerr << ErrorOf(plan).message << '\n';
    return kExitInvalidInput;
  }
  LoadRun run(ValueOf(plan));
  run.Run();
  run.Print(is_json);
  return run.HasWrongAnswers() ? kExitWrongAnswers : kExitOk;
}

}  // namespace papayaplank
