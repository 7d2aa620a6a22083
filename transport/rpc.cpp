// Connects libjsonrpccpp's protocol handling to the hooks of rpc.h.
#include "transport/rpc.h"

#include <jsonrpccpp/client.h>
#include <jsonrpccpp/client/iclientconnector.h>
#include <jsonrpccpp/common/procedure.h>
#include <jsonrpccpp/server/iclientconnectionhandler.h>
#include <jsonrpccpp/server/iprocedureinvokationhandler.h>
#include <jsonrpccpp/server/requesthandlerfactory.h>

#include <map>
#include <utility>

namespace papayaplank {
namespace {

constexpr const char* kArgumentName = "argument";

// Sends requests of the library's client through the hook.
class HookConnector : public jsonrpc::IClientConnector {
 public:
  explicit HookConnector(const RpcSend& send) : send_(send) {}

  void SendRPCMessage(const std::string& message, std::string& result) throw(
      jsonrpc::JsonRpcException) override {
    if (send_(message, &result)) return;
    throw jsonrpc::JsonRpcException(jsonrpc::Errors::ERROR_CLIENT_CONNECTOR,
                                    "the server did not answer");
  }

 private:
  const RpcSend& send_;
};

}  // namespace

class RpcServer::Implementation : public jsonrpc::IProcedureInvokationHandler {
 public:
  Implementation()
      : handler_(jsonrpc::RequestHandlerFactory::createProtocolHandler(
            jsonrpc::JSONRPC_SERVER_V2, *this)) {}

  auto AddMethod(const std::string& name, RpcMethod method) -> void {
    methods_[name] = std::move(method);
    handler_->AddProcedure(
        jsonrpc::Procedure(name, jsonrpc::PARAMS_BY_NAME, jsonrpc::JSON_STRING,
                           kArgumentName, jsonrpc::JSON_STRING, nullptr));
  }

  auto Handle(const std::string& request) -> std::string {
    std::string answer;
    handler_->HandleRequest(request, answer);
    return answer;
  }

  void HandleMethodCall(jsonrpc::Procedure& procedure, const Json::Value& input,
                        Json::Value& output) override {
    const auto found = methods_.find(procedure.GetProcedureName());
    const auto answer = found->second(input[kArgumentName].asString());
    if (!answer.is_ok) {
      throw jsonrpc::JsonRpcException(answer.error_code, answer.error);
    }
    output = answer.result;
  }

  void HandleNotificationCall(jsonrpc::Procedure& /*procedure*/,
                              const Json::Value& /*input*/) override {}

 private:
  std::map<std::string, RpcMethod> methods_;
  std::unique_ptr<jsonrpc::IProtocolHandler> handler_;
};

RpcServer::RpcServer() : implementation_(new Implementation()) {}
RpcServer::~RpcServer() = default;

auto RpcServer::AddMethod(const std::string& name, RpcMethod method) -> void {
  implementation_->AddMethod(name, std::move(method));
}

auto RpcServer::Handle(const std::string& request) -> std::string {
  return implementation_->Handle(request);
}

auto CallRpc(const RpcSend& send, const std::string& method,
             const std::string& argument) -> RpcAnswer {
  HookConnector connector(send);
  jsonrpc::Client client(connector, jsonrpc::JSONRPC_CLIENT_V2);
  Json::Value parameters;
  parameters[kArgumentName] = argument;
  RpcAnswer answer;
  try {
    answer.result = client.CallMethod(method, parameters).asString();
    answer.is_ok = true;
  } catch (const jsonrpc::JsonRpcException& exception) {
    answer.error_code = exception.GetCode();
    answer.error = exception.GetMessage();
  } catch (const std::exception& exception) {
    answer.error_code = jsonrpc::Errors::ERROR_CLIENT_INVALID_RESPONSE;
    answer.error = exception.what();
  }
  return answer;
}

}  // namespace papayaplank
