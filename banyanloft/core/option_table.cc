#include "banyanloft/core/option_table.h"

#include <fmt/format.h>

#include <algorithm>
#include <boost/program_options.hpp>
#include <cctype>
#include <charconv>
#include <cstdlib>
#include <sstream>

#include "banyanloft/http/http_message.h"

namespace banyanloft {
namespace {

namespace po = boost::program_options;

std::string CheckAddress(const std::string& text) {
  Endpoint endpoint;
  return ParseEndpoint(text, &endpoint)
             ? ""
             : "is not ip:port, for example 127.0.0.1:7000";
}

}  // namespace

void OptionTable::Text(const std::string& name, std::string* target,
                       const std::string& help, bool required) {
  options_.push_back(
      {name, *target, help, required, [target](const std::string& text) {
         *target = text;
         return std::string();
       }});
}

void OptionTable::Number(const std::string& name, int64_t* target, int64_t min,
                         int64_t max, const std::string& help) {
  options_.push_back(
      {name, std::to_string(*target), help, false,
       [target, min, max](const std::string& text) {
         int64_t value = 0;
         const char* end = text.data() + text.size();
         auto [parsed_end, error] = std::from_chars(text.data(), end, value);
         bool valid = error == std::errc() && parsed_end == end &&
                      value >= min && value <= max;
         if (!valid)
           return fmt::format("is not an integer from {} to {}", min, max);
         *target = value;
         return std::string();
       }});
}

void OptionTable::Address(const std::string& name, std::string* target,
                          const std::string& help, bool required) {
  options_.push_back(
      {name, *target, help, required, [target](const std::string& text) {
         *target = text;
         return CheckAddress(text);
       }});
}

void OptionTable::Addresses(const std::string& name,
                            std::vector<std::string>* target,
                            const std::string& help) {
  options_.push_back({name, "", help, false, [target](const std::string& text) {
                        target->clear();
                        std::istringstream stream(text);
                        for (std::string item;
                             std::getline(stream, item, ',');) {
                          std::string problem = CheckAddress(item);
                          if (!problem.empty())
                            return "contains '" + item + "', which " + problem;
                          target->push_back(item);
                        }
                        return std::string();
                      }});
}

void OptionTable::Choice(const std::string& name, std::string* target,
                         std::vector<std::string> choices,
                         const std::string& help) {
  std::string list = fmt::format("{}", fmt::join(choices, ", "));
  options_.push_back(
      {name, *target, help + "; one of " + list, false,
       [target, choices = std::move(choices), list](const std::string& text) {
         bool known =
             std::find(choices.begin(), choices.end(), text) != choices.end();
         if (!known) return "is not one of " + list;
         *target = text;
         return std::string();
       }});
}

OptionTable::Parsed OptionTable::Parse(int argc,
                                       const char* const* argv) const {
  Parsed parsed;
  po::options_description description;
  description.add_options()("help", "");
  for (const Option& option : options_) {
    description.add_options()(option.name.c_str(), po::value<std::string>(),
                              "");
  }
  po::options_description hidden;
  hidden.add_options()("words", po::value<std::vector<std::string>>(), "");
  po::options_description all;
  all.add(description).add(hidden);
  po::positional_options_description positional;
  positional.add("words", -1);

  // Boost.Program_options reports errors by exceptions; they are handled here.
  po::variables_map values;
  try {
    po::store(po::command_line_parser(argc, argv)
                  .options(all)
                  .positional(positional)
                  .run(),
              values);
  } catch (const po::error& error) {
    parsed.errors.push_back(error.what());
    return parsed;
  }
  parsed.help = values.count("help") != 0;
  if (values.count("words") != 0)
    parsed.positional = values["words"].as<std::vector<std::string>>();

  for (const Option& option : options_) {
    std::string variable = EnvironmentVariableOf(option.name);
    const char* from_environment = std::getenv(variable.c_str());
    bool flag = values.count(option.name) != 0;
    if (!flag && from_environment == nullptr) {
      if (option.required)
        parsed.errors.push_back(
            fmt::format("--{} (or {}) is missing", option.name, variable));
      continue;
    }
    std::string text =
        flag ? values[option.name].as<std::string>() : from_environment;
    std::string problem = option.set(text);
    std::string source = flag ? "--" + option.name : variable;
    if (!problem.empty())
      parsed.errors.push_back(
          fmt::format("{}: '{}' {}", source, text, problem));
  }
  return parsed;
}

std::string OptionTable::Help() const {
  std::string out;
  for (const Option& option : options_) {
    std::string default_text =
        option.required ? "required" : "default '" + option.default_value + "'";
    out += fmt::format("  --{:<24} {} [{}; {}]\n", option.name, option.help,
                       default_text, EnvironmentVariableOf(option.name));
  }
  return out;
}

std::string OptionTable::EnvironmentVariableOf(const std::string& name) {
  std::string variable = "BANYANLOFT_";
  for (char c : name) {
    variable +=
        c == '-'
            ? '_'
            : static_cast<char>(std::toupper(static_cast<unsigned char>(c)));
  }
  return variable;
}

}  // namespace banyanloft
