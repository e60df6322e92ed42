#pragma once

#include <string>

#include "core/error.h"

namespace savoryglade {

// Explains what became of one request, from the log lines of the daemons that it passed: each of
// its lines in their order, and the cause of its end in a sentence. Lines of other requests and
// lines that can't be read are skipped. The error code is kNotFound if no line names the request.
Result<std::string> ExplainRequest(const std::string& log, const std::string& request);

}  // namespace savoryglade
