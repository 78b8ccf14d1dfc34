#pragma once

#include <string>

#include "banyanloft/core/shared_bytes.h"

namespace banyanloft {

/// An encoded message. Its body is shared with the message it was encoded from.
struct EncodedMessage {
  std::string head;
  SharedBytes body;
  std::string tail;

  size_t size() const { return head.size() + body.size() + tail.size(); }
};

}  // namespace banyanloft
