// Decoding and encoding of the platform's formats.
#include <gtest/gtest.h>

#include "platform/platform.h"

namespace papayaplank {
namespace {

constexpr char kDocument[] = R"({"version":7,"routes":[
  {"name":"r","host":"h.example","prefix":"/p/","route-kind":"streaming",
   "timeout-ms":15000,"goal-ms":800,"split":[{"service":"a","weight":90},
   {"service":"b","weight":10}],"max-attempts":2,"resumable":true}],
  "services":[{"name":"a","max-conns":360,"engine":{"slots":64,
   "kv-capacity":605159}},{"name":"b","max-conns":100}],
  "limits":{"max-header-bytes":1000,"idle-timeout-ms":15000,
   "tokens-per-s":250000},
  "tenants":[{"name":"t","api-keys":["k1","k2"]}]})";

TEST(ConfigurationDocumentTest, DecodesAllMembers) {
  const auto decoded = DecodeConfiguration(kDocument);
  ASSERT_TRUE(IsOk(decoded));
  const auto& document = ValueOf(decoded);
  const auto& route = document.routes.at(0);
  EXPECT_EQ(document.version, 7U);
  EXPECT_EQ(route.kind, RequestKind::kStream);
  EXPECT_TRUE(route.is_resumable);
  EXPECT_EQ(route.objective, milliseconds(800));
  EXPECT_EQ(route.pools.at(1).weight, 10);
  EXPECT_EQ(document.services.at(0).engine->slots, 64);
  EXPECT_FALSE(document.services.at(1).engine);
  EXPECT_EQ(document.limits.header_bytes, 1000U);
  EXPECT_EQ(document.customer_of_key.at("k2"), CustomerId("t"));
  EXPECT_TRUE(document.has_customers);
}

TEST(ConfigurationDocumentTest, RejectsDocumentWithError) {
  for (const auto* text :
       {"", "[]", "{}", R"({"version":0})",
        R"({"version":1,"routes":[{"name":"r"}]})",
        R"({"version":1,"routes":[{"name":"r","host":"h","prefix":"/",
            "route-kind":"odd","service":"s"}]})"}) {
    const auto decoded = DecodeConfiguration(text);
    ASSERT_FALSE(IsOk(decoded)) << text;
    EXPECT_FALSE(ErrorOf(decoded).message.empty());
  }
}

TEST(TargetRowTest, RejectsMalformedRows) {
  const std::string good =
      R"({"service":"s","address":"10.0.0.1:80","zone":"z","slots":4,
          "state":"draining","seq":3,"born":17,"version":"v1",
          "cold-left-ms":0})";
  const auto row = DecodeTargetRow("i", good);
  ASSERT_TRUE(IsOk(row));
  EXPECT_TRUE(ValueOf(row).is_draining);
  EXPECT_EQ(ValueOf(row).started_unix_ms, 17);
  for (const auto* text :
       {"", "{}", "\xff\xfe",
        R"({"service":1,"address":"a:1","zone":"z","slots":4,"state":"ready"})",
        R"({"service":"s","address":"a:1","zone":"z","slots":4,"state":"x"})",
        R"({"service":"s","address":"a:1","zone":"z","slots":"4",
            "state":"ready"})"}) {
    EXPECT_FALSE(IsOk(DecodeTargetRow("i", text))) << text;
  }
}

TEST(RequestHeadersTest, ReplacesReservedHeadersOfCallers) {
  const HttpFields fields = {{"Host", "h.example"},
                             {"Attempt-Id", "id1"},
                             {"Credential", "secret"},
                             {"Tenant", "forged"},
                             {"Expect-Runner", "forged"},
                             {"kv-from", "1.2.3.4:5/x"},
                             {"Kv-Hold", "x"},
                             {"Pin-Ms", "9"},
                             {"Kv-Backup", "1.2.3.4:5"},
                             {"Connection", "close, X-Once"},
                             {"X-Once", "1"},
                             {"X-Kept", "2"},
                             {"Token-Counts", "1460,80"},
                             {"Prefix-Hash", "5c1e07a2:800,91bd3f06:660"},
                             {"Deadline-Ms", "1500"}};
  const auto request = DecodeCallerRequest("POST", "/p/1", fields);
  EXPECT_EQ(request.api_key, "secret");
  EXPECT_EQ(request.caller_wait, milliseconds(1500));
  EXPECT_EQ(request.prompt.parts.size(), 2U);
  EXPECT_EQ(request.prompt.prompt_tokens, 1460);
  TargetAttempt attempt;
  attempt.target = TargetId("i-1");
  attempt.customer = CustomerId("real");
  attempt.time_left = milliseconds(1200);
  attempt.body_bytes = 3;
  const auto head = EncodeTargetRequest(request, attempt);
  EXPECT_EQ(head.find("secret"), std::string::npos);
  EXPECT_EQ(head.find("forged"), std::string::npos);
  for (const auto* name :
       {"kv-from", "Kv-Hold", "Pin-Ms", "Kv-Backup", "X-Once", "Connection"}) {
    EXPECT_EQ(head.find(name), std::string::npos) << name;
  }
  for (const auto* line :
       {"Attempt-Id: id1\r\n", "Tenant: real\r\n", "Expect-Runner: i-1\r\n",
        "Deadline-Ms: 1200\r\n", "X-Kept: 2\r\n", "Token-Counts: 1460,80\r\n",
        "Prefix-Hash: 5c1e07a2:800,91bd3f06:660\r\n",
        "Content-Length: 3\r\n"}) {
    EXPECT_NE(head.find(line), std::string::npos) << line;
  }
}

TEST(RequestHeadersTest, LogsNamePromptPartsAsRequestsDo) {
  const auto request = DecodeCallerRequest(
      "POST", "/p/1", {{"Prefix-Hash", "5c1e07a2:800, 91bd3f06 :410,part:9"}});
  ASSERT_EQ(request.prompt.parts.size(), 3U);
  EXPECT_EQ(EncodePartId(request.prompt.parts[0].id), "5c1e07a2");
  EXPECT_EQ(EncodePartId(request.prompt.parts[1].id), "91bd3f06");
  EXPECT_EQ(request.prompt.parts[2].id, StableHash("part"));
}

TEST(RequestHeadersTest, DecodesAnswerOfTarget) {
  EXPECT_TRUE(DecodeTargetAnswer(503, {{"Not-Executed", "1"}}).is_not_executed);
  EXPECT_FALSE(DecodeTargetAnswer(503, {}).is_not_executed);
  EXPECT_TRUE(DecodeTargetAnswer(421, {}).is_wrong_target);
  const auto answer =
      DecodeTargetAnswer(200, {{"Runner-Signature", "s"},
                               {"Attempt-Id", "id1"},
                               {"Keep-Alive", "timeout=4, max=9"},
                               {"Transfer-Encoding", "chunked"}});
  EXPECT_TRUE(answer.is_signed);
  EXPECT_EQ(answer.request_id, "id1");
  EXPECT_EQ(answer.keep_alive, seconds(4));
  EXPECT_EQ(answer.forwarded.size(), 2U);
}

TEST(RequestHeadersTest, DecodesTheLimitOfATarget) {
  EXPECT_FALSE(DecodeTargetAnswer(200, {}).statement.limit);
  const auto named = DecodeTargetAnswer(200, {{"Server-Limit", " 3.25 "}});
  EXPECT_EQ(named.statement.limit, RequestRate{3.25});
  EXPECT_FALSE(named.statement.is_limit_malformed);
  // Callers get it as the target sent it.
  EXPECT_EQ(named.forwarded.size(), 1U);
  EXPECT_EQ(DecodeTargetAnswer(503, {{"server-limit", "0"}}).statement.limit,
            RequestRate{0});
}

TEST(RequestHeadersTest, AMalformedLimitIsNone) {
  for (const auto* text :
       {"", " ", ".", "-1", "+1", "1e3", "0x10", "inf", "nan", "1,5", "1.2.3",
        "3 4", "3/s", "99999999999"}) {
    const auto answer = DecodeTargetAnswer(200, {{"Server-Limit", text}});
    EXPECT_TRUE(answer.statement.is_limit_malformed) << text;
    EXPECT_FALSE(answer.statement.limit) << text;
  }
  EXPECT_TRUE(
      DecodeTargetAnswer(200, {{"Server-Limit", "3"}, {"Server-Limit", "4"}})
          .statement.is_limit_malformed);
}

TEST(RequestHeadersTest, DecodesThatATargetLeaves) {
  EXPECT_FALSE(DecodeTargetAnswer(200, {}).statement.is_leaving);
  const auto answer = DecodeTargetAnswer(503, {{"server-leaving", " 1 "}});
  EXPECT_TRUE(answer.statement.is_leaving);
  EXPECT_FALSE(answer.statement.is_leaving_malformed);
  // Callers get it as the target sent it.
  EXPECT_EQ(answer.forwarded.size(), 1U);
  const auto stays = DecodeTargetAnswer(200, {{"Server-Leaving", "0"}});
  EXPECT_FALSE(stays.statement.is_leaving);
  EXPECT_FALSE(stays.statement.is_leaving_malformed);
  for (const auto* text : {"", "no", "true", "2", "-1", "1.0", "1,1"}) {
    const auto odd = DecodeTargetAnswer(200, {{"Server-Leaving", text}});
    EXPECT_FALSE(odd.statement.is_leaving) << text;
    EXPECT_TRUE(odd.statement.is_leaving_malformed) << text;
  }
}

TEST(RequestHeadersTest, DecodesThePauseOfATarget) {
  const auto decode = [](int status, const std::string& text) {
    return DecodeTargetAnswer(status, {{"Retry-After", text}}).statement;
  };
  EXPECT_EQ(decode(503, " 2.5 ").pause, milliseconds(2500));
  EXPECT_EQ(decode(503, "0").pause, Duration{});
  EXPECT_FALSE(decode(200, "2").pause);
  EXPECT_FALSE(decode(429, "2").pause);
  const auto several = DecodeTargetAnswer(
      503, {{"Retry-After", "1"}, {"retry-after", "3"}, {"Retry-After", "2"}});
  EXPECT_EQ(several.statement.pause, seconds(3));
  for (const auto& text :
       {std::string(""), std::string("-3"), std::string("soon"),
        std::string("inf"), std::string("1e3"), std::string("1,2"),
        std::string("Fri, 31 Dec 1999 23:59:59 GMT"), std::string(400, '9')}) {
    EXPECT_FALSE(decode(503, text).pause) << text;
    EXPECT_TRUE(decode(503, text).is_pause_malformed) << text;
  }
}

TEST(RequestHeadersTest, ParsesEventId) {
  EXPECT_EQ(ParseEventId("id: 12\ndata: x\n\n"), 12);
  EXPECT_EQ(ParseEventId("weight-versions: 2\r\nid:3\r\ndata: x\r\n\r\n"), 3);
  EXPECT_FALSE(ParseEventId("data: id: 4\n\n"));
  EXPECT_FALSE(ParseEventId("id: x\n\n"));
}

TEST(StoreCallsTest, SkipsMalformedRows) {
  const auto rows = DecodeStoreRows(
      R"({"rows":[{"key":"a","value":"aGk=","ver":3},
                  {"key":"b","removed":true},{"value":"aGk="}],
          "truncated":true,"ver":9})");
  ASSERT_TRUE(IsOk(rows));
  EXPECT_EQ(ValueOf(rows).rows.size(), 2U);
  EXPECT_EQ(ValueOf(rows).rows[0].value, "hi");
  EXPECT_TRUE(ValueOf(rows).rows[1].is_removed);
  EXPECT_EQ(ValueOf(rows).version, 9U);
  EXPECT_FALSE(IsOk(DecodeStoreRows("{}")));
  EXPECT_FALSE(IsOk(DecodeStoreRows("")));
}

TEST(RouterDiscoveryTest, ParsesDiscoveryRequests) {
  EXPECT_TRUE(IsDiscoveryRequest("/v1/resolve?name=h&zone=z1"));
  EXPECT_EQ(ParseCallerDataCenter("/v1/resolve?name=h&region=r&zone=z1"),
            DataCenterId("z1"));
  EXPECT_TRUE(ParseCallerDataCenter("/v1/resolve").is_empty());
  EXPECT_TRUE(IsReadinessRequest("/v1/readyz"));
}

}  // namespace
}  // namespace papayaplank
