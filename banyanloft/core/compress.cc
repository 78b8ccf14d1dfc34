#include "banyanloft/core/compress.h"

#include <zlib.h>

#include <algorithm>
#include <cassert>

namespace banyanloft {
namespace {

/// Effort of compression, 1 to 9: documents of many like routes shrink to a
/// tenth already here, and each step more costs processor time.
constexpr int kLevel = 3;
/// Bytes unpacked at a time.
constexpr size_t kPieceBytes = 16384;

/// zlib's interface takes input without const and does not write to it.
Bytef* InputOf(std::string_view data) {
  return const_cast<Bytef*>(reinterpret_cast<const Bytef*>(data.data()));
}

}  // namespace

std::string Compress(std::string_view data) {
  uLongf size = compressBound(data.size());
  std::string out(size, '\0');
  int result = compress2(reinterpret_cast<Bytef*>(out.data()), &size,
                         InputOf(data), data.size(), kLevel);
  // The only other end is a lack of memory or of room.
  assert(result == Z_OK);
  (void)result;
  out.resize(size);
  return out;
}

std::optional<std::string> Decompress(std::string_view packed,
                                      size_t max_bytes) {
  z_stream stream = {};
  if (inflateInit(&stream) != Z_OK) return std::nullopt;
  stream.next_in = InputOf(packed);
  stream.avail_in = static_cast<uInt>(packed.size());
  std::string out;
  int result = Z_OK;
  // Ends by error if there is no more input or no more room.
  while (result == Z_OK) {
    size_t done = out.size();
    size_t room = std::min(kPieceBytes, max_bytes - done);
    out.resize(done + room);
    stream.next_out = reinterpret_cast<Bytef*>(out.data()) + done;
    stream.avail_out = static_cast<uInt>(room);
    result = inflate(&stream, Z_NO_FLUSH);
    out.resize(done + room - stream.avail_out);
  }
  inflateEnd(&stream);
  if (result != Z_STREAM_END) return std::nullopt;
  return out;
}

}  // namespace banyanloft
