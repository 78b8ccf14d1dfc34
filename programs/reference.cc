#include "banyanloft/daemon/reference.h"

#include <fmt/format.h>

/// Prints the reference that docs/reference.md holds.
int main() {
  fmt::print("{}", banyanloft::ReferenceText());
  return 0;
}
