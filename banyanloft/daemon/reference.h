#pragma once

#include <string>

namespace banyanloft {

/// The reference of settings, headers, error kinds and metrics, made from the
/// tables that the code itself uses. docs/reference.md holds this text.
std::string ReferenceText();

}  // namespace banyanloft
