// JSON-RPC 2.0 over libjsonrpccpp, for infrequent calls between routers and
// from operators. This header and rpc.cpp are C++14, the newest standard with
// which that library compiles; its types and exceptions don't leave rpc.cpp.
#ifndef TRANSPORT_RPC_H_
#define TRANSPORT_RPC_H_

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace papayaplank {

// Result of a call: JSON text, or an error with a JSON-RPC error code.
struct RpcAnswer {
  bool is_ok = false;
  std::string result;
  int error_code = 0;
  std::string error;
};

// A method that takes one argument, usually JSON text.
using RpcMethod = std::function<RpcAnswer(const std::string& argument)>;

// Sends a request body to the server and returns its answer body; false if
// the server did not answer.
using RpcSend =
    std::function<bool(const std::string& request, std::string* answer)>;

// Serves methods by name.
class RpcServer {
 public:
  RpcServer();
  ~RpcServer();
  RpcServer(const RpcServer&) = delete;
  auto operator=(const RpcServer&) -> RpcServer& = delete;

  // Adds a method that is called on the threads that call `Handle`.
  auto AddMethod(const std::string& name, RpcMethod method) -> void;

  // Answers one request body, which may be malformed.
  auto Handle(const std::string& request) -> std::string;

 private:
  class Implementation;
  std::unique_ptr<Implementation> implementation_;
};

// Calls one method of a server and waits for its answer. A failure is in the
// returned answer; nothing is thrown.
auto CallRpc(const RpcSend& send, const std::string& method,
             const std::string& argument) -> RpcAnswer;

}  // namespace papayaplank

#endif  // TRANSPORT_RPC_H_
