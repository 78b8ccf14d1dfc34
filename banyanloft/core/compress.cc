#include "banyanloft/core/compress.h"

#include <zlib.h>

#include <algorithm>
#include <cassert>

namespace banyanloft {
namespace {

/// zlib compression level (1 to 9). At this level documents with many similar
/// routes already shrink to a tenth; higher levels cost more CPU time.
constexpr int kCompressionLevel = 3;
/// Output bytes produced per call of inflate().
constexpr size_t kChunkBytes = 16384;

/// zlib takes its input as a pointer to non-const but does not write to it.
Bytef* InputOf(std::string_view data) {
  return const_cast<Bytef*>(reinterpret_cast<const Bytef*>(data.data()));
}

}  // namespace

std::string Compress(std::string_view data) {
  uLongf size = compressBound(data.size());
  std::string out(size, '\0');
  int result = compress2(reinterpret_cast<Bytef*>(out.data()), &size,
                         InputOf(data), data.size(), kCompressionLevel);
  // Any other result would mean that memory or output space ran out;
  // compressBound() rules out the latter.
  assert(result == Z_OK);
  (void)result;
  out.resize(size);
  return out;
}

std::optional<std::string> Decompress(std::string_view compressed,
                                      size_t max_bytes) {
  z_stream stream = {};
  if (inflateInit(&stream) != Z_OK) return std::nullopt;
  stream.next_in = InputOf(compressed);
  stream.avail_in = static_cast<uInt>(compressed.size());
  std::string out;
  int result = Z_OK;
  // inflate() fails when the input or the output space is exhausted.
  while (result == Z_OK) {
    size_t done = out.size();
    size_t chunk_bytes = std::min(kChunkBytes, max_bytes - done);
    out.resize(done + chunk_bytes);
    stream.next_out = reinterpret_cast<Bytef*>(out.data()) + done;
    stream.avail_out = static_cast<uInt>(chunk_bytes);
    result = inflate(&stream, Z_NO_FLUSH);
    out.resize(done + chunk_bytes - stream.avail_out);
  }
  inflateEnd(&stream);
  if (result != Z_STREAM_END) return std::nullopt;
  return out;
}

}  // namespace banyanloft
