#include "banyanloft/operator/operator_session.h"

#include <fmt/format.h>

#include "banyanloft/config/print.h"
#include "banyanloft/core/digest.h"

namespace banyanloft {
namespace {

/// Longest bundle that is written; the platform holds values up to a megabyte.
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
  ActiveConfiguration view;
  Result<Head> head = ReadHead(&view.head_revision);
  if (const Error* error = ErrorOf(head)) return *error;
  view.head = *ValueOf(head);
  if (view.head.entries.empty()) return view;
  Result<Configuration> configuration =
      ReadConfiguration(view.head.Newest().manifest_hash);
  if (const Error* error = ErrorOf(configuration)) return *error;
  view.configuration = std::move(*ValueOf(configuration));
  return view;
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
  // Content first: until the head names it, it means nothing.
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

  // Daemons that hold nothing yet read the whole at once, if it fits.
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

/// The acceptance: one conditional update. An attempt without an answer may
/// have taken effect, so the head is read before anything is said or repeated.
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
    std::optional<Result<HeadEntry>> settled = Settle(base, entry);
    if (settled) return std::move(*settled);
  }
  return Error{ErrorKind::kPlatformUnavailable,
               fmt::format("change {} may or may not be accepted; look at the "
                           "history before applying again",
                           entry.change_id)};
}

/// Whether a change was accepted or lost to another; nothing while it is open.
std::optional<Result<HeadEntry>> OperatorSession::Settle(
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

/// Makes a call that may be repeated without harm.
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
    return Error{ErrorKind::kProtocolError, "the platform lacks " + key};
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

/// Writes an object named by its content; one that is already there is fine.
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
