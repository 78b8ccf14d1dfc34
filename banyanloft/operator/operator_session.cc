#include "banyanloft/operator/operator_session.h"

#include <fmt/format.h>

#include "banyanloft/config/print.h"
#include "banyanloft/core/digest.h"

namespace banyanloft {
namespace {

/// Largest bundle to write; the platform limits values to 1 MB.
constexpr size_t kMaxBundleBytes = 900 * 1000;

std::string Describe(const HeadEntry& entry) {
  return fmt::format("version {} by {}{}", entry.version, entry.author,
                     entry.note.empty() ? "" : ": " + entry.note);
}

}  // namespace

bool ChangePlan::HasChanges() const {
  return base.head_revision == 0 ||
         !DiffConfigurations(base.configuration, target, -1).empty();
}

OperatorSession::OperatorSession(const OperatorSettings& settings,
                                 Platform* platform,
                                 std::function<void(int64_t)> sleep)
    : settings_(settings),
      platform_(platform),
      sleep_(std::move(sleep)),
      random_(settings.seed) {}

Result<ActiveConfiguration> OperatorSession::Read() {
  ActiveConfiguration active;
  Result<Head> head = ReadHead(&active.head_revision);
  if (const Error* error = ErrorOf(head)) return *error;
  active.head = *ValueOf(head);
  if (active.head.entries.empty()) return active;
  Result<Configuration> configuration =
      ReadConfiguration(active.head.Newest().manifest_hash);
  if (const Error* error = ErrorOf(configuration)) return *error;
  active.configuration = std::move(*ValueOf(configuration));
  return active;
}

Result<ChangePlan> OperatorSession::Plan(Configuration target,
                                         std::string note) {
  ChangePlan plan;
  plan.errors = ValidateConfiguration(target);
  Result<ActiveConfiguration> base = Read();
  if (const Error* error = ErrorOf(base)) return *error;
  plan.base = std::move(*ValueOf(base));
  plan.target = std::move(target);
  plan.note = std::move(note);
  return plan;
}

Result<ChangePlan> OperatorSession::PlanRollback(uint64_t version) {
  uint64_t revision = 0;
  Result<Head> head = ReadHead(&revision);
  if (const Error* error = ErrorOf(head)) return *error;
  const HeadEntry* entry = ValueOf(head)->FindVersion(version);
  if (entry == nullptr) {
    return Error{ErrorKind::kInvalidConfiguration,
                 fmt::format("version {} is not in the history", version)};
  }
  Result<Configuration> old = ReadConfiguration(entry->manifest_hash);
  if (const Error* error = ErrorOf(old)) return *error;
  return Plan(std::move(*ValueOf(old)),
              fmt::format("rollback to the content of version {}", version));
}

Result<HeadEntry> OperatorSession::Apply(const ChangePlan& plan) {
  if (!plan.errors.empty()) {
    return Error{ErrorKind::kInvalidConfiguration,
                 plan.errors[0].path + " " + plan.errors[0].problem};
  }
  // Write the content first: it takes no effect until the head refers to it.
  Pieces pieces = SplitIntoPieces(plan.target);
  Manifest manifest = ManifestOf(pieces);
  for (const auto& [name, bytes] : pieces) {
    std::optional<Error> error =
        WriteContent(PieceKey(manifest.piece_hashes.at(name)), bytes);
    if (error) return *error;
  }
  std::string manifest_json = ManifestToJson(manifest);
  HeadEntry entry;
  entry.manifest_hash = ContentHash(manifest_json);
  std::optional<Error> error =
      WriteContent(ManifestKey(entry.manifest_hash), manifest_json);
  if (error) return *error;

  // Daemons without a configuration read all of it as one object, if it fits.
  std::string bundle = BundleToJson(pieces);
  if (bundle.size() <= kMaxBundleBytes) {
    error = WriteContent(BundleKey(entry.manifest_hash), bundle);
    if (error) return *error;
  }

  entry.version = plan.base.head.Newest().version + 1;
  entry.change_id =
      fmt::format("{:016x}{:016x}", random_.Bits(), random_.Bits());
  entry.author = settings_.author;
  entry.note = plan.note;
  return WriteHead(plan.base, entry);
}

/// Commits the change by one conditional write of the head. A write without a
/// response may have taken effect, so the head is read before the write is
/// retried or reported as failed.
Result<HeadEntry> OperatorSession::WriteHead(const ActiveConfiguration& base,
                                             const HeadEntry& entry) {
  Head next = base.head;
  next.entries.insert(next.entries.begin(), entry);
  if (next.entries.size() > Head::kHistory) next.entries.resize(Head::kHistory);
  PlatformCall write;
  write.type = PlatformCall::Type::kWrite;
  write.key = HeadKey();
  write.value = HeadToJson(next);
  write.expected_revision = base.head_revision;
  for (int attempt = 0; attempt < settings_.max_attempts; ++attempt) {
    if (attempt > 0) sleep_(settings_.retry_delay_ms);
    PlatformReply reply = platform_->Do(write);
    if (!reply.error) return entry;
    std::optional<Result<HeadEntry>> resolved = ResolveOutcome(base, entry);
    if (resolved) return std::move(*resolved);
  }
  return Error{ErrorKind::kPlatformUnavailable,
               fmt::format("no response from the platform: change {} may have "
                           "been accepted; check the history before applying "
                           "again",
                           entry.change_id)};
}

/// Returns whether the change was accepted or another one came first; nullopt
/// while neither is known.
std::optional<Result<HeadEntry>> OperatorSession::ResolveOutcome(
    const ActiveConfiguration& base, const HeadEntry& entry) {
  uint64_t revision = 0;
  Result<Head> head = ReadHead(&revision);
  if (ErrorOf(head) != nullptr) return std::nullopt;
  if (ValueOf(head)->FindChange(entry.change_id) != nullptr)
    return Result<HeadEntry>(entry);
  if (revision == base.head_revision) return std::nullopt;
  return Result<HeadEntry>(
      Error{ErrorKind::kConflict, "another change was accepted first: " +
                                      Describe(ValueOf(head)->Newest())});
}

Result<std::vector<ZoneSummary>> OperatorSession::Status() {
  PlatformCall list;
  list.type = PlatformCall::Type::kList;
  list.key = ZoneStatusPrefix();
  PlatformReply reply = Call(std::move(list));
  if (reply.error) return *reply.error;
  std::vector<ZoneSummary> zones;
  for (const PlatformObject& object : reply.objects) {
    Result<ZoneSummary> zone = ZoneSummaryFromJson(object.value);
    if (const Error* error = ErrorOf(zone)) return *error;
    zones.push_back(std::move(*ValueOf(zone)));
  }
  return zones;
}

/// Makes an idempotent call, with retries.
PlatformReply OperatorSession::Call(PlatformCall call) {
  PlatformReply reply;
  for (int attempt = 0; attempt < settings_.max_attempts; ++attempt) {
    if (attempt > 0) sleep_(settings_.retry_delay_ms);
    reply = platform_->Do(call);
    if (!reply.error || reply.error->kind != ErrorKind::kPlatformUnavailable)
      break;
  }
  return reply;
}

Result<std::string> OperatorSession::ReadValue(const std::string& key) {
  PlatformCall read;
  read.key = key;
  PlatformReply reply = Call(std::move(read));
  if (reply.error) return *reply.error;
  if (reply.objects.empty())
    return Error{ErrorKind::kProtocolError,
                 "object not found in the platform: " + key};
  return reply.objects[0].value;
}

Result<Head> OperatorSession::ReadHead(uint64_t* revision) {
  PlatformCall read;
  read.key = HeadKey();
  PlatformReply reply = Call(std::move(read));
  if (reply.error) return *reply.error;
  *revision = reply.objects.empty() ? 0 : reply.objects[0].revision;
  if (reply.objects.empty()) return Head();
  return HeadFromJson(reply.objects[0].value);
}

Result<Configuration> OperatorSession::ReadConfiguration(
    const std::string& manifest_hash) {
  Result<std::string> text = ReadValue(ManifestKey(manifest_hash));
  if (const Error* error = ErrorOf(text)) return *error;
  Result<Manifest> manifest = ManifestFromJson(*ValueOf(text));
  if (const Error* error = ErrorOf(manifest)) return *error;
  Pieces pieces;
  for (const auto& [name, hash] : ValueOf(manifest)->piece_hashes) {
    Result<std::string> piece = ReadValue(PieceKey(hash));
    if (const Error* error = ErrorOf(piece)) return *error;
    pieces[name] = *ValueOf(piece);
  }
  return JoinPieces(pieces);
}

/// Writes a content-addressed object; succeeds if it already exists.
std::optional<Error> OperatorSession::WriteContent(const std::string& key,
                                                   const std::string& value) {
  PlatformCall write;
  write.type = PlatformCall::Type::kWrite;
  write.key = key;
  write.value = value;
  write.expected_revision = 0;
  PlatformReply reply = Call(std::move(write));
  if (reply.error && reply.error->kind == ErrorKind::kConflict)
    return std::nullopt;
  return reply.error;
}

}  // namespace banyanloft
