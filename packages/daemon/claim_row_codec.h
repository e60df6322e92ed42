#pragma once

#include <optional>
#include <string>

#include "core/error.h"
#include "recovery/claim_types.h"

namespace savoryglade {

// Returns the table key of a claim's row: "claim/<account>/<service>/<key>". '%' and '/' inside the
// parts are percent-encoded, so that different claims never share a row.
std::string ClaimRowKey(const ClaimKey& key);

// Formats a claim row as JSON for the table.
std::string FormatClaimRow(const ClaimRow& row);

// Parses the value of a claim's row. The error code is kInvalid.
Result<ClaimRow> ParseClaimRow(const std::string& text);

// Formats and parses a claim token for messages between daemons: daemon, incarnation, nonce and
// sequence. The error code is kInvalid.
std::string FormatClaimToken(const ClaimToken& token);
Result<ClaimToken> ParseClaimToken(const std::string& text);

// Formats and parses a claim key for messages between daemons. The error code is kInvalid.
std::string FormatClaimKey(const ClaimKey& key);
Result<ClaimKey> ParseClaimKey(const std::string& text);

}  // namespace savoryglade
