#include "banyanloft/daemon/reference.h"

#include <fmt/format.h>

/// Prints the content of docs/reference.md.
int main() {
  fmt::print("{}", banyanloft::ReferenceText());
  return 0;
}
