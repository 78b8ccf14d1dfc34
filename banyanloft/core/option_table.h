#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace banyanloft {

/// One setting of a program: a flag, an environment variable and a check.
struct Option {
  std::string name;           ///< Flag without dashes, for example `zone`.
  std::string default_value;  ///< Text of the default; empty if there is none.
  std::string help;           ///< One line with the unit.
  bool required = false;      ///< Must be given.
  /// Takes the text over; returns what is wrong with it, or nothing.
  std::function<std::string(const std::string&)> set;
};

/// The settings of a program, read from flags and from environment variables
/// named `BANYANLOFT_` and the flag in capitals; a flag goes before a variable.
class OptionTable {
 public:
  /// Result of reading the settings.
  struct Parsed {
    std::vector<std::string>
        errors;  ///< Every error, by name; empty if all is well.
    std::vector<std::string> positional;  ///< Words that belong to no flag.
    bool help = false;                    ///< Help was asked for.
  };

  /// Adds a text setting.
  void Text(const std::string& name, std::string* target,
            const std::string& help, bool required = false);
  /// Adds a whole-number setting with its bounds.
  void Number(const std::string& name, int64_t* target, int64_t min,
              int64_t max, const std::string& help);
  /// Adds an `ip:port` setting.
  void Address(const std::string& name, std::string* target,
               const std::string& help, bool required = false);
  /// Adds a list of `ip:port`, separated by commas.
  void Addresses(const std::string& name, std::vector<std::string>* target,
                 const std::string& help);
  /// Adds a setting with one of several words.
  void Choice(const std::string& name, std::string* target,
              std::vector<std::string> words, const std::string& help);

  /// Reads flags and environment.
  Parsed Parse(int argc, const char* const* argv) const;
  /// Help text, one setting a line.
  std::string Help() const;
  const std::vector<Option>& All() const { return options_; }
  /// Environment variable of a flag.
  static std::string EnvironmentVariableOf(const std::string& name);

 private:
  std::vector<Option> options_;
};

}  // namespace banyanloft
