#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace banyanloft {

/// A setting of a program: a flag, an environment variable and its validation.
struct Option {
  std::string name;           ///< Flag without dashes, for example `zone`.
  std::string default_value;  ///< Text of the default; empty if there is none.
  std::string help;           ///< One line of help text, with the unit.
  bool required = false;
  /// Parses and stores the text. Returns an error message, empty on success.
  std::function<std::string(const std::string&)> set;
};

/// The settings of a program, read from flags and from environment variables
/// named `BANYANLOFT_` plus the flag in upper case. Flags take precedence.
class OptionTable {
 public:
  /// Result of parsing.
  struct Parsed {
    std::vector<std::string>
        errors;  ///< All errors, each with the name of its setting.
    std::vector<std::string> positional;  ///< Arguments that are not flags.
    bool help = false;                    ///< `--help` was given.
  };

  /// Adds a string setting.
  void Text(const std::string& name, std::string* target,
            const std::string& help, bool required = false);
  /// Adds an integer setting from `min` to `max`.
  void Number(const std::string& name, int64_t* target, int64_t min,
              int64_t max, const std::string& help);
  /// Adds an `ip:port` setting.
  void Address(const std::string& name, std::string* target,
               const std::string& help, bool required = false);
  /// Adds a comma-separated list of `ip:port`.
  void Addresses(const std::string& name, std::vector<std::string>* target,
                 const std::string& help);
  /// Adds a setting that takes one of the given values.
  void Choice(const std::string& name, std::string* target,
              std::vector<std::string> choices, const std::string& help);

  /// Parses flags and environment variables.
  Parsed Parse(int argc, const char* const* argv) const;
  /// Help text, one setting per line.
  std::string Help() const;
  const std::vector<Option>& All() const { return options_; }
  /// Name of the environment variable that corresponds to a flag.
  static std::string EnvironmentVariableOf(const std::string& name);

 private:
  std::vector<Option> options_;
};

}  // namespace banyanloft
