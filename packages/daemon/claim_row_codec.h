#pragma once

#include <optional>
#include <string>

#include "core/error.h"
#include "recovery/claim_types.h"

namespace savoryglade {

// Returns the name of a claim's row in the table: "claim/<account>/<service>/<key>", with '%' and
// '/' inside the parts escaped, so that different claims never share a row.
std::string ClaimRowName(const ClaimKey& key);

// Prints a claim for the table as JSON.
std::string PrintClaimRow(const ClaimRow& row);

// Parses the value of a claim's row. The error code is kInvalid.
Result<ClaimRow> ParseClaimRow(const std::string& text);

// Prints and parses a token for the inner protocol: daemon, incarnation, nonce and sequence.
std::string PrintClaimToken(const ClaimToken& token);
Result<ClaimToken> ParseClaimToken(const std::string& text);

// Prints and parses a claim key for the inner protocol.
std::string PrintClaimKey(const ClaimKey& key);
Result<ClaimKey> ParseClaimKey(const std::string& text);

}  // namespace savoryglade
