#pragma once

#include <string>

#include "core/error.h"

namespace savoryglade {

// Returns the log lines of a request in their order, followed by its outcome and the reason. The
// log is that of the daemons that handled the request. Skips lines of other requests and lines that
// can't be parsed. Returns kNotFound if no line contains the request.
Result<std::string> ExplainRequest(const std::string& log, const std::string& request);

}  // namespace savoryglade
