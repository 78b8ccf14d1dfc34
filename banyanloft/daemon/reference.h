#pragma once

#include <string>

namespace banyanloft {

/// Reference of settings, headers, error kinds, metrics and log events in
/// Markdown, generated from the tables in the code. docs/reference.md holds a
/// copy, which a test compares with this text.
std::string ReferenceText();

}  // namespace banyanloft
