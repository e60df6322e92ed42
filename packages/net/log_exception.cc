#include "net/log_exception.h"

#include "logging/logger.h"

namespace savoryglade {
namespace {

const Logger kLog("net");

}  // namespace

void LogException::operator()(const std::exception_ptr& exception) const {
  if (!exception) {
    return;
  }
  try {
    std::rethrow_exception(exception);
  } catch (const std::exception& error) {
    kLog.Error("An exception ended a coroutine.",
               {{"coroutine", coroutine_}, {"error", error.what()}});
  } catch (...) {
    kLog.Error("An exception ended a coroutine.",
               {{"coroutine", coroutine_}, {"error", "of an unknown type"}});
  }
}

}  // namespace savoryglade
