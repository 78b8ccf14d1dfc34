#include "banyanloft/links/frame.h"

#include <algorithm>
#include <cassert>

namespace banyanloft {
namespace {

/// Frame: 1 byte of flags, 4 bytes of stream id (little-endian), payload.
constexpr size_t kHeaderBytes = 5;
constexpr char kLastFrameFlag = 1;

std::string HeaderOf(uint32_t id, bool last) {
  std::string header(kHeaderBytes, '\0');
  header[0] = last ? kLastFrameFlag : 0;
  for (size_t i = 0; i < 4; ++i)
    header[1 + i] = static_cast<char>((id >> (8 * i)) & 0xff);
  return header;
}

bool IsWellFormed(const std::string& frame) {
  return frame.size() > kHeaderBytes && (frame[0] & ~kLastFrameFlag) == 0;
}

bool IsLast(const std::string& frame) { return frame[0] == kLastFrameFlag; }

uint32_t StreamOf(const std::string& frame) {
  uint32_t id = 0;
  for (size_t i = 0; i < 4; ++i) {
    id |= static_cast<uint32_t>(static_cast<unsigned char>(frame[1 + i]))
          << (8 * i);
  }
  return id;
}

/// Appends `size` bytes of a message from `begin` on.
void AppendPart(const EncodedMessage& message, size_t begin, size_t size,
                std::string* out) {
  for (const std::string* part :
       {&message.head, &message.body.Get(), &message.tail}) {
    if (begin < part->size()) {
      size_t taken = std::min(size, part->size() - begin);
      out->append(*part, begin, taken);
      size -= taken;
      begin = 0;
    } else {
      begin -= part->size();
    }
  }
}

}  // namespace

bool FrameScheduler::Push(int rank, uint64_t tag, EncodedMessage message) {
  bool too_long = message.size() > settings_.max_message_bytes;
  bool full =
      !Empty() && queued_bytes_ + message.size() > settings_.max_queued_bytes;
  if (message.size() == 0 || too_long || full) return false;
  size_t index =
      static_cast<size_t>(std::clamp(rank, 0, static_cast<int>(kMaxRanks) - 1));
  queued_bytes_ += message.size();
  ranks_[index].push_back(Stream{next_id_++, tag, std::move(message), 0});
  return true;
}

int FrameScheduler::NextRank() const {
  auto first = std::find_if(ranks_.begin(), ranks_.end(),
                            [](const auto& rank) { return !rank.empty(); });
  return static_cast<int>(first - ranks_.begin());
}

std::optional<std::string> FrameScheduler::Pop(
    std::optional<uint64_t>* started_tag) {
  started_tag->reset();
  for (std::deque<Stream>& streams : ranks_) {
    if (streams.empty()) continue;
    Stream stream = std::move(streams.front());
    streams.pop_front();
    if (stream.sent == 0) *started_tag = stream.tag;
    size_t size =
        std::min(settings_.chunk_bytes, stream.message.size() - stream.sent);
    bool last = stream.sent + size == stream.message.size();
    std::string frame = HeaderOf(stream.id, last);
    AppendPart(stream.message, stream.sent, size, &frame);
    stream.sent += size;
    queued_bytes_ -= size;
    if (!last) streams.push_back(std::move(stream));
    return frame;
  }
  return std::nullopt;
}

std::optional<std::string_view> FrameAssembler::BeginningIn(
    const std::string& frame) const {
  if (!IsWellFormed(frame) || IsLast(frame)) return std::nullopt;
  uint32_t id = StreamOf(frame);
  if (partial_.count(id) != 0 || dropped_.count(id) != 0) return std::nullopt;
  return std::string_view(frame).substr(kHeaderBytes);
}

void FrameAssembler::Drop(const std::string& frame) {
  assert(BeginningIn(frame));
  dropped_.insert(StreamOf(frame));
}

Result<std::optional<std::string>> FrameAssembler::Push(
    const std::string& frame) {
  if (!IsWellFormed(frame))
    return Error{ErrorKind::kProtocolError, "malformed frame"};
  uint32_t id = StreamOf(frame);
  bool last = IsLast(frame);
  if (dropped_.count(id) != 0) {
    if (last) dropped_.erase(id);
    return std::optional<std::string>();
  }

  std::string& message = partial_[id];
  size_t size = frame.size() - kHeaderBytes;
  bool too_long = message.size() + size > settings_.max_message_bytes;
  if (too_long || partial_.size() > settings_.max_partial_messages) {
    partial_bytes_ -= message.size();
    partial_.erase(id);
    if (!last && dropped_.size() < settings_.max_partial_messages)
      dropped_.insert(id);
    return Error{ErrorKind::kProtocolError,
                 too_long ? "message too long" : "too many messages at once"};
  }
  message.append(frame, kHeaderBytes, size);
  partial_bytes_ += size;
  if (!last) return std::optional<std::string>();
  std::optional<std::string> complete(std::move(message));
  partial_bytes_ -= complete->size();
  partial_.erase(id);
  return complete;
}

}  // namespace banyanloft
