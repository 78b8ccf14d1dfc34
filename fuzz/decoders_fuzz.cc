#include <cstddef>
#include <cstdint>
#include <string>

#include "banyanloft/config/codec.h"
#include "banyanloft/distribution/head.h"
#include "banyanloft/distribution/zone_status.h"
#include "banyanloft/links/frame.h"
#include "banyanloft/links/peer_message.h"
#include "banyanloft/run_once/key.h"

/// Passes the input to one of the decoders, selected by the first byte.
extern "C" int LLVMFuzzerTestOneInput(const uint8_t* data, size_t size) {
  using namespace banyanloft;
  if (size == 0) return 0;
  std::string input(reinterpret_cast<const char*>(data) + 1, size - 1);
  const std::string secret = "secret of the fuzzer";
  switch (data[0] % 8) {
    case 0:
      DecodePeerMessage(input);
      break;
    case 1:
      DecodeChallenge(input);
      DecodeHello(input);
      break;
    case 2:
      DecodeDatagram(input, secret);
      break;
    case 3:
      ConfigurationFromJson(input);
      break;
    case 4:
      HeadFromJson(input);
      ZoneSummaryFromJson(input);
      break;
    case 5:
      ManifestFromJson(input);
      break;
    case 6:
      ParseKey(input, "route", secret);
      break;
    default: {
      FrameAssembler assembler{FrameSettings()};
      for (size_t at = 0; at < input.size(); at += 32)
        assembler.Push(input.substr(at, 32));
    }
  }
  return 0;
}
