#include <fmt/format.h>

#include <boost/asio/io_context.hpp>

#include "banyanloft/core/option_table.h"
#include "soak/soak.h"

int main(int argc, char** argv) {
  using banyanloft::OptionTable;
  banyanloft::soak::SoakSettings settings;
  OptionTable table;
  table.Text("program", &settings.program, "Path of the daemon", true);
  table.Text("dir", &settings.dir, "Directory for settings files and logs",
             true);
  table.Number("seed", &settings.seed, 0, INT64_MAX, "Seed to run");
  table.Number("daemons", &settings.daemons, 4, 400, "Number of daemons");
  table.Number("base-port", &settings.base_port, 1024, 60000,
               "First port; 20 ports per daemon and 20 more are used");
  table.Number("rate", &settings.rate, 1, 5000, "Requests per second");
  OptionTable::Parsed parsed = table.Parse(argc, argv);
  if (parsed.help || !parsed.errors.empty()) {
    for (const std::string& error : parsed.errors)
      fmt::print(stderr, "banyanloft_soak: {}\n", error);
    fmt::print("banyanloft_soak: runs one seed of the fault soak\n\n{}",
               table.Help());
    return parsed.errors.empty() ? 0 : 2;
  }
  boost::asio::io_context io;
  banyanloft::soak::Soak soak(io, settings);
  if (!soak.Start()) {
    fmt::print("seed {} NOT RUN: cannot bind an address or start the program\n",
               settings.seed);
    return 3;
  }
  io.run();
  return soak.Report() ? 0 : 1;
}
