// Stand-in for a model engine: streams tokens at a fixed rate, resumes and
// cancels streams, and slows down when it runs more requests than it has slots.
#ifndef STANDINS_ENGINE_STANDIN_H_
#define STANDINS_ENGINE_STANDIN_H_

#include <memory>
#include <string>

#include "base/base.h"

namespace papayaplank {

// Options of one engine.
struct EngineOptions {
  // IP:port.
  std::string address;
  // Requests that run at full speed; more requests run, but slower.
  int slots = 16;
  // Time between two tokens while no more requests than slots run.
  Duration token_gap = milliseconds(20);
};

// Serves one engine until it is destroyed.
class EngineStandin {
 public:
  // kInvalidArgument for a bad address, kUnavailable if it cannot listen.
  static auto Open(const EngineOptions& options)
      -> Outcome<std::unique_ptr<EngineStandin>>;
  ~EngineStandin();

 private:
  class Server;
  explicit EngineStandin(std::unique_ptr<Server> server);
  std::unique_ptr<Server> server_;
};

}  // namespace papayaplank

#endif  // STANDINS_ENGINE_STANDIN_H_
