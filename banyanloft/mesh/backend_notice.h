#pragma once

#include <optional>
#include <string>

namespace banyanloft {

/// What a backend server says of itself in a response, besides the response.
struct BackendNotice {
  /// Requests per second that it accepts from all callers together; empty if it
  /// names no limit.
  std::optional<double> limit_per_s;
  /// Text of a limit that is no number, for the log; empty if there is none.
  std::string malformed_limit;
  bool leaving = false;  ///< It stops soon and should get no new requests.
};

}  // namespace banyanloft
