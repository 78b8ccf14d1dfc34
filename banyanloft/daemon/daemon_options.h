#pragma once

#include <string>

#include "banyanloft/core/option_table.h"
#include "banyanloft/daemon/daemon.h"

namespace banyanloft {

/// Command-line flags and environment variables of the daemon.
class DaemonOptions {
 public:
  DaemonOptions();
  DaemonOptions(const DaemonOptions&) = delete;
  DaemonOptions& operator=(const DaemonOptions&) = delete;

  /// Parses and validates all settings.
  OptionTable::Parsed Parse(int argc, const char* const* argv);
  std::string Help() const { return table_.Help(); }
  const OptionTable& Table() const { return table_; }
  /// The settings; valid only after Parse() returned no errors.
  DaemonSettings Settings() const;
  /// File to write the listening addresses to; empty: none.
  const std::string& AddressFile() const { return address_file_; }

 private:
  OptionTable table_;
  std::string zone_;
  std::string secret_;
  std::string caller_ = "127.0.0.1:0";
  std::string link_ = "127.0.0.1:0";
  std::string gossip_ = "127.0.0.1:0";
  std::string admin_ = "127.0.0.1:0";
  std::string backend_;
  std::string platform_;
  std::vector<std::string> peers_;
  std::string address_file_;
  std::string log_level_ = "info";
  int64_t backend_connections_ = 100;
  int64_t max_body_bytes_ = 1024 * 1024;
  int64_t request_timeout_ms_ = 5000;
  int64_t expected_fleet_ = 20;
  int64_t max_wait_ms_ = 500;
  int64_t seed_ = 0;
};

}  // namespace banyanloft
