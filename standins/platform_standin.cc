#include <fmt/format.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <fstream>

#include "banyanloft/core/option_table.h"
#include "standins/platform_server.h"

namespace banyanloft {
namespace {

namespace asio = boost::asio;

int Main(int argc, char** argv) {
  std::string listen = "127.0.0.1:0";
  std::string address_file;
  OptionTable options;
  options.Address("listen", &listen, "address to listen on");
  options.Text("address-file", &address_file, "file to write the address to");
  OptionTable::Parsed parsed = options.Parse(argc, argv);
  for (const std::string& error : parsed.errors)
    fmt::print(stderr, "platform_standin: {}\n", error);
  if (!parsed.errors.empty()) return 2;

  asio::io_context io;
  HttpServerSettings settings;
  ParseEndpoint(listen, &settings.listen);
  settings.max_connections = 10000;
  PlatformServer standin(io, settings);
  Result<Endpoint> started = standin.Start();
  if (const Error* error = ErrorOf(started)) {
    fmt::print(stderr, "platform_standin: {}\n", error->detail);
    return 3;
  }
  if (!address_file.empty()) {
    std::ofstream(address_file + ".partial")
        << ValueOf(started)->Text() << "\n";
    std::rename((address_file + ".partial").c_str(), address_file.c_str());
  }
  asio::signal_set signals(io, SIGTERM, SIGINT);
  signals.async_wait([&](boost::system::error_code, int) { io.stop(); });
  io.run();
  return 0;
}

}  // namespace
}  // namespace banyanloft

int main(int argc, char** argv) { return banyanloft::Main(argc, argv); }
