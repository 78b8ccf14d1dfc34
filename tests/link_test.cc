#include <CppUTest/TestHarness.h>
#include <rapidcheck.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "banyanloft/links/cbor.h"
#include "banyanloft/links/frame.h"
#include "banyanloft/links/gossip_socket.h"
#include "banyanloft/links/link_hub.h"
#include "soak/loopback_proxy.h"

using namespace banyanloft;

namespace {

constexpr char kSecret[] = "secret of the tests";
const Endpoint kAnyPort{"127.0.0.1", 0};

/// Records the events that a hub reports.
class Recorder final : public LinkListener {
 public:
  void OnLinkMessage(const std::string& link, PeerMessage message) override {
    from.push_back(link);
    messages.push_back(std::move(message));
  }
  void OnLinkNotSent(const std::string&, PeerMessage) override { ++not_sent; }
  void OnLinkLost(const std::string&) override { ++lost; }
  void OnLinkSilent(const std::string& link) override {
    silent.push_back(link);
  }

  std::vector<std::string> from;
  std::vector<PeerMessage> messages;
  std::vector<std::string> silent;
  int not_sent = 0;
  int lost = 0;
};

RunRequest Request(uint64_t attempt, size_t bytes) {
  RunRequest request;
  request.attempt = attempt;
  request.route = "read";
  request.body = std::string(bytes, 'x');
  return request;
}

}  // namespace

TEST_GROUP(link) {
  FrameSettings frames_;

  void setup() override { frames_.chunk_bytes = 100; }

  static void RunUntil(boost::asio::io_context & io,
                       const std::function<bool()>& done) {
    for (int i = 0; i < 300 && !done(); ++i) {
      io.restart();
      io.run_for(std::chrono::milliseconds(10));
    }
    CHECK(done());
  }
  static void RunFor(boost::asio::io_context & io, int64_t duration_ms) {
    io.restart();
    io.run_for(std::chrono::milliseconds(duration_ms));
  }
};

TEST(link, urgentMessage_overtakesALongOneOfLowerRank) {
  FrameScheduler scheduler(frames_);
  CHECK(scheduler.Push(3, 1, std::string(1000, 'a')));
  std::optional<uint64_t> started;
  scheduler.Pop(&started);
  CHECK(started == uint64_t{1});
  CHECK(scheduler.Push(0, 2, std::string(50, 'b')));
  scheduler.Pop(&started);
  CHECK(started == uint64_t{2});
}

TEST(link, longAndShortMessagesOfOneRank_areInterleaved) {
  FrameScheduler scheduler(frames_);
  scheduler.Push(1, 1, std::string(10000, 'a'));
  scheduler.Push(1, 2, std::string(50, 'b'));
  std::optional<uint64_t> started;
  scheduler.Pop(&started);
  scheduler.Pop(&started);
  CHECK(started == uint64_t{2});
}

TEST(link, randomMessages_areReassembledInAnyInterleaving) {
  bool holds = rc::check([this] {
    auto sizes =
        *rc::gen::container<std::vector<int>>(rc::gen::inRange(1, 1000));
    FrameScheduler scheduler(frames_);
    FrameAssembler assembler(frames_);
    std::multiset<std::string> sent;
    for (size_t i = 0; i < sizes.size(); ++i) {
      std::string message(static_cast<size_t>(sizes[i]),
                          static_cast<char>('a' + i % 26));
      sent.insert(message);
      RC_ASSERT(scheduler.Push(static_cast<int>(i % 4), i, message));
    }
    std::multiset<std::string> got;
    std::optional<uint64_t> started;
    while (std::optional<std::string> frame = scheduler.Pop(&started)) {
      auto result = assembler.Push(*frame);
      RC_ASSERT(ErrorOf(result) == nullptr);
      if (*ValueOf(result)) got.insert(**ValueOf(result));
    }
    RC_ASSERT(sent == got);
    RC_ASSERT(assembler.PartialBytes() == 0U);
  });
  CHECK(holds);
}

TEST(link, messageTooLong_isDroppedWithoutAffectingOthers) {
  frames_.max_message_bytes = 250;
  FrameSettings wide = frames_;
  wide.max_message_bytes = 10000;
  FrameScheduler scheduler(wide);
  FrameAssembler assembler(frames_);
  scheduler.Push(1, 1, std::string(1000, 'a'));
  scheduler.Push(1, 2, std::string(200, 'b'));
  std::vector<std::string> complete;
  std::optional<uint64_t> started;
  int errors = 0;
  while (std::optional<std::string> frame = scheduler.Pop(&started)) {
    auto result = assembler.Push(*frame);
    if (ErrorOf(result) != nullptr) {
      ++errors;
    } else if (*ValueOf(result)) {
      complete.push_back(**ValueOf(result));
    }
  }
  CHECK_EQUAL(1, errors);
  CHECK(complete == std::vector<std::string>{std::string(200, 'b')});
  CHECK_EQUAL(0U, assembler.PartialBytes());
}

TEST(link, randomFrames_neverExceedTheBoundsOfTheAssembler) {
  bool holds = rc::check([this] {
    FrameAssembler assembler(frames_);
    auto inputs = *rc::gen::arbitrary<std::vector<std::string>>();
    for (const std::string& input : inputs) assembler.Push(input);
    RC_ASSERT(assembler.PartialBytes() <=
              frames_.max_partial_messages * frames_.max_message_bytes);
  });
  CHECK(holds);
}

// Daemons of the earlier version reject messages with fields that they don't
// know: nothing of a fleet that is being upgraded would arrive.
TEST(link, forwarding_peerWithoutFeatures_getsTheEarlierFields) {
  ForwardAnswer answer;
  answer.attempt = 7;
  answer.load.slots = 4;
  answer.load.running_work_ms = 250;
  answer.load.queued_work_ms = {1, 2, 3, 4};
  answer.load.slowness_permille = 1500;
  answer.load.link_delay_ms = 45;
  answer.load.link_bytes_per_ms = 1500;
  Result<PeerMessage> full = DecodePeerMessage(EncodePeerMessage(answer));
  const ForwardAnswer& got = std::get<ForwardAnswer>(*ValueOf(full));
  LONGS_EQUAL(250, got.load.running_work_ms);
  CHECK(got.load.queued_work_ms == answer.load.queued_work_ms);
  LONGS_EQUAL(1500, got.load.slowness_permille);
  LONGS_EQUAL(45, got.load.link_delay_ms);
  LONGS_EQUAL(1500, got.load.link_bytes_per_ms);
  Result<PeerMessage> plain = DecodePeerMessage(EncodePeerMessage(answer, 0));
  const ForwardAnswer& earlier = std::get<ForwardAnswer>(*ValueOf(plain));
  LONGS_EQUAL(4, earlier.load.slots);
  CHECK(earlier.load.running_work_ms < 0);
  CHECK(earlier.load.slowness_permille < 0);
  constexpr size_t kAnswerFields = 13;
  constexpr size_t kRequestFields = 13;
  LONGS_EQUAL(kAnswerFields, FromCbor(EncodePeerMessage(answer, 0))[1].size());

  ForwardRequest request;
  request.expected_run_ms = 80;
  request.max_wait_ms = 12;
  Result<PeerMessage> sent = DecodePeerMessage(EncodePeerMessage(request));
  LONGS_EQUAL(80, std::get<ForwardRequest>(*ValueOf(sent)).expected_run_ms);
  LONGS_EQUAL(12, std::get<ForwardRequest>(*ValueOf(sent)).max_wait_ms);
  LONGS_EQUAL(kRequestFields,
              FromCbor(EncodePeerMessage(request, 0))[1].size());
}

TEST(link, handshake_earlierDaemon_announcesNoFeatures) {
  LONGS_EQUAL(kLinkFeatures,
              ValueOf(DecodeHello(EncodeHello(LinkHello())))->features);
  LONGS_EQUAL(
      kLinkFeatures,
      ValueOf(DecodeChallenge(EncodeChallenge(LinkChallenge())))->features);
  std::string hello = ToCbor(Json::array({9, Json::array({3, "a", "b"})}));
  LONGS_EQUAL(0, ValueOf(DecodeHello(hello))->features);
}

TEST(link, messages_encodedAndDecoded_areUnchanged) {
  RunAnswer answer;
  answer.attempt = 7;
  answer.outcome.run_state = RunState::kRan;
  answer.outcome.http_status = 200;
  answer.outcome.body = std::string("a\0b\xff", 4);
  answer.load.running = 3;
  answer.load.levels.fill(1000);
  Result<PeerMessage> back = DecodePeerMessage(EncodePeerMessage(answer));
  const RunAnswer& got = std::get<RunAnswer>(*ValueOf(back));
  CHECK(got.outcome.body == answer.outcome.body);
  CHECK(got.load.levels == answer.load.levels);
  CHECK_FALSE(got.outcome.error.has_value());

  PullReply reply;
  reply.entry.version = 9;
  reply.base_version = 8;
  reply.removed = {"service/a"};
  reply.pieces["service/b"] = "{}";
  Result<PeerMessage> pulled = DecodePeerMessage(EncodePeerMessage(reply));
  CHECK(std::get<PullReply>(*ValueOf(pulled)).pieces == reply.pieces);
  CHECK(std::get<PullReply>(*ValueOf(pulled)).removed == reply.removed);
}

/// Guards against a body that is damaged because it is encoded apart from the
/// rest of its message.
TEST(link, longBody_encodedInPartsAndDecoded_isUnchanged) {
  for (const char* account : {"", "an account"}) {
    ForwardRequest request;
    request.attempt = 7;
    request.target = "/x";
    request.account = account;
    request.body = std::string(100000, 'x') + "end";
    EncodedMessage parts = EncodePeerMessageInParts(request);
    CHECK_EQUAL(request.body.size(), parts.body.size());
    FrameScheduler scheduler(frames_);
    CHECK(scheduler.Push(0, 1, parts));
    FrameAssembler assembler(frames_);
    std::optional<std::string> bytes;
    std::optional<uint64_t> started;
    while (std::optional<std::string> frame = scheduler.Pop(&started)) {
      CHECK(!bytes);
      bytes = *ValueOf(assembler.Push(*frame));
    }
    CHECK(bytes == parts.head + parts.body.Get() + parts.tail);
    Result<PeerMessage> back = DecodePeerMessageInPlace(*bytes);
    const auto& got = std::get<ForwardRequest>(*ValueOf(back));
    CHECK(got.body == request.body);
    CHECK(got.target == request.target);
    CHECK(got.account == account);
    for (size_t size = 0; size < bytes->size(); size += 1 + size / 50)
      CHECK(ErrorOf(DecodePeerMessageInPlace(bytes->substr(0, size))) !=
            nullptr);
    CHECK(ErrorOf(DecodePeerMessageInPlace(*bytes + "x")) != nullptr);
    Result<PeerMessage> copied = DecodePeerMessage(EncodePeerMessage(request));
    CHECK(std::get<ForwardRequest>(*ValueOf(copied)).body == request.body);
  }
}

TEST(link, beginningOfLongRequest_namesTheRequestAndTheLengthOfItsBody) {
  ForwardRequest request;
  request.attempt = 7;
  request.request_id = "id";
  request.target = "/x";
  request.headers = {{"A", "b"}};
  request.body = std::string(100000, 'x');
  std::string bytes = EncodePeerMessage(request);
  std::optional<BegunRequest> begun =
      DecodeBegunRequest(std::string_view(bytes).substr(0, 16 * 1024));
  CHECK(begun.has_value());
  CHECK_EQUAL(request.body.size(), begun->body_bytes);
  CHECK_EQUAL(request.attempt, begun->request.attempt);
  CHECK(begun->request.request_id == "id");
  CHECK(begun->request.headers == request.headers);
  CHECK(begun->request.body.size() == 0);
  // Too little, no long body, another message.
  CHECK(!DecodeBegunRequest(std::string_view(bytes).substr(0, 10)));
  request.body = std::string(100, 'x');
  CHECK(!DecodeBegunRequest(EncodePeerMessage(request)));
  CHECK(!DecodeBegunRequest(EncodePeerMessage(Request(1, 100000))));
}

TEST(link, droppedAtItsFirstFrame_takesNoMemoryAndAffectsNoOther) {
  FrameScheduler scheduler(frames_);
  FrameAssembler assembler(frames_);
  scheduler.Push(0, 1, std::string(250, 'a'));
  scheduler.Push(0, 2, std::string(250, 'b'));
  std::vector<std::string> received;
  std::optional<uint64_t> started;
  while (std::optional<std::string> frame = scheduler.Pop(&started)) {
    std::optional<std::string_view> beginning = assembler.BeginningIn(*frame);
    CHECK(beginning.has_value() == started.has_value());
    if (started == uint64_t{1}) {
      CHECK(*beginning == std::string(100, 'a'));
      assembler.Drop(*frame);
      continue;
    }
    Result<std::optional<std::string>> assembled = assembler.Push(*frame);
    if (*ValueOf(assembled)) received.push_back(**ValueOf(assembled));
  }
  LONGS_EQUAL(1, received.size());
  CHECK(received[0] == std::string(250, 'b'));
  CHECK_EQUAL(size_t{0}, assembler.PartialBytes());
}

/// Guards against a message that is within the limits and never fits.
TEST(link, messageLongerThanTheQueue_isTakenByAnEmptyQueue) {
  frames_.max_queued_bytes = 1000;
  FrameScheduler scheduler(frames_);
  CHECK(scheduler.Push(0, 1, std::string(5000, 'x')));
  CHECK(!scheduler.Push(0, 2, std::string(1, 'x')));
}

TEST(link, truncatedOrModifiedMessages_areRejectedOrDecoded) {
  std::string bytes = EncodePeerMessage(Request(1, 20));
  for (size_t i = 0; i < bytes.size(); ++i) {
    CHECK(ErrorOf(DecodePeerMessage(bytes.substr(0, i))) != nullptr);
    std::string bad = bytes;
    bad[i] = static_cast<char>(bad[i] ^ 0x55);
    DecodePeerMessage(bad);
  }
  CHECK(ErrorOf(DecodePeerMessage(bytes + "x")) != nullptr);
}

TEST(link, deepNesting_isRejectedWithoutRecursion) {
  CHECK(FromCbor(std::string(1000000, '\x81')).is_discarded());
}

TEST(link, randomBytes_areDecodedSafelyAndNeverAcceptedAsDatagrams) {
  bool holds = rc::check([] {
    auto input = *rc::gen::arbitrary<std::string>();
    DecodePeerMessage(input);
    DecodeChallenge(input);
    DecodeHello(input);
    RC_ASSERT(ErrorOf(DecodeDatagram(input, kSecret)) != nullptr);
  });
  CHECK(holds);
}

TEST(link, datagramWithSuspicions_isUnchanged) {
  Datagram datagram;
  datagram.type = DatagramType::kDigest;
  datagram.from = 7;
  datagram.crash_suspicions = {{1, 2, false, 0}, {3, 4, true, 5000}};
  datagram.suspicion_digest[3] = 9;
  Result<Datagram> read =
      DecodeDatagram(EncodeDatagram(datagram, "secret"), "secret");
  CHECK(ValueOf(read) != nullptr);
  const Datagram& got = *ValueOf(read);
  CHECK(got.suspicion_digest == datagram.suspicion_digest);
  LONGS_EQUAL(2, got.crash_suspicions.size());
  LONGS_EQUAL(0, got.crash_suspicions[0].age_ms);
  LONGS_EQUAL(5000, got.crash_suspicions[1].age_ms);
  CHECK(got.crash_suspicions[1].cleared);
}

TEST(link, datagramAfterARestore_carriesTheDocumentsGeneration) {
  Datagram datagram;
  datagram.from = 5;
  size_t plain = EncodeDatagram(datagram, kSecret).size();
  datagram.document_hash = 77;
  LONGS_EQUAL(plain, EncodeDatagram(datagram, kSecret).size());
  datagram.document_generation = 3;
  Result<Datagram> read =
      DecodeDatagram(EncodeDatagram(datagram, kSecret), kSecret);
  LONGS_EQUAL(3, ValueOf(read)->document_generation);
  LONGS_EQUAL(77, ValueOf(read)->document_hash);
}

TEST(link, datagramWithAnotherSecret_isRejected) {
  Datagram datagram;
  datagram.from = 5;
  datagram.version = 3;
  datagram.version_age_ms = 1250;
  std::string bytes = EncodeDatagram(datagram, kSecret);
  CHECK_EQUAL(3U, ValueOf(DecodeDatagram(bytes, kSecret))->version);
  CHECK_EQUAL(1250, ValueOf(DecodeDatagram(bytes, kSecret))->version_age_ms);
  CHECK(ErrorOf(DecodeDatagram(bytes, "another secret")) != nullptr);
  bytes[40] = static_cast<char>(bytes[40] ^ 1);
  CHECK(ErrorOf(DecodeDatagram(bytes, kSecret)) != nullptr);
}

TEST(link, twoHubs_exchangeMessagesOfAnySize) {
  boost::asio::io_context io;
  Recorder a;
  Recorder b;
  LinkSettings settings;
  settings.secret = kSecret;
  LinkHub hub_a(io, settings, &a);
  LinkHub hub_b(io, settings, &b);
  std::string at_a = ValueOf(hub_a.Start())->Text();
  std::string at_b = ValueOf(hub_b.Start())->Text();
  hub_a.Send(at_b, 3, Request(1, 1000000));
  hub_a.Send(at_b, 0, Request(2, 10));
  RunUntil(io, [&] { return b.messages.size() == 2; });
  // The short urgent one arrives first although it was sent second.
  CHECK_EQUAL(2U, std::get<RunRequest>(b.messages[0]).attempt);
  CHECK_EQUAL(1000000U, std::get<RunRequest>(b.messages[1]).body.size());
  CHECK(b.from[0] == at_a);
  hub_b.Send(at_a, 0, CancelRun{5});
  RunUntil(io, [&] { return a.messages.size() == 1; });
  CHECK_EQUAL(1U, hub_b.OpenLinks());
}

TEST(link, unreachablePeer_messageIsReportedNotSent) {
  boost::asio::io_context io;
  Recorder a;
  LinkSettings settings;
  settings.secret = kSecret;
  LinkHub hub(io, settings, &a);
  hub.Start();
  hub.Send("127.0.0.1:1", 0, Request(1, 10));
  hub.Send("no address", 0, Request(2, 10));
  RunUntil(io, [&] { return a.not_sent == 2; });
}

TEST(link, peerWithAnotherSecret_isRejected) {
  boost::asio::io_context io;
  Recorder a;
  Recorder b;
  LinkSettings settings;
  settings.secret = kSecret;
  LinkHub hub(io, settings, &a);
  std::string at = ValueOf(hub.Start())->Text();
  settings.secret = "another secret";
  LinkHub stranger(io, settings, &b);
  stranger.Start();
  stranger.Send(at, 0, Request(1, 10));
  RunUntil(io, [&] { return b.lost == 1; });
  CHECK_EQUAL(0U, a.messages.size());
  CHECK_EQUAL(1U,
              hub.Counts().Get("link_refusals_total", "hello without proof"));
}

TEST(link, peerStops_linkIsReportedLost) {
  boost::asio::io_context io;
  Recorder a;
  Recorder b;
  LinkSettings settings;
  settings.secret = kSecret;
  LinkHub hub(io, settings, &a);
  hub.Start();
  auto other = std::make_unique<LinkHub>(io, settings, &b);
  std::string at = ValueOf(other->Start())->Text();
  hub.Send(at, 0, Request(1, 10));
  RunUntil(io, [&] { return b.messages.size() == 1; });
  other->Stop();
  RunUntil(io, [&] { return a.lost == 1; });
}

// The connection goes dead without a reset while it is idle. The next message
// must not be written to it: the sender could not tell whether it arrived.
TEST(link, idleLinkIsDead_nextMessageIsReportedNotSent) {
  boost::asio::io_context io;
  Recorder a;
  Recorder b;
  LinkSettings settings;
  settings.secret = kSecret;
  settings.verify_after_ms = 100;
  LinkHub peer(io, settings, &b);
  Endpoint at_peer = *ValueOf(peer.Start());
  soak::LoopbackProxy proxy(io, kAnyPort, at_peer);
  std::string at_proxy = ValueOf(proxy.Start())->Text();
  LinkHub hub(io, settings, &a);
  hub.Start();
  hub.Send(at_proxy, 0, CancelRun{1});
  RunUntil(io, [&] { return b.messages.size() == 1; });
  proxy.SetFault(soak::ProxyFault::kStall);
  RunFor(io, 150);
  hub.Send(at_proxy, 0, Request(2, 10));
  RunUntil(io, [&] { return a.not_sent == 1; });
  proxy.SetFault(soak::ProxyFault::kNone);
  RunFor(io, 300);
  CHECK_EQUAL(1U, b.messages.size());
}

TEST(link, idleLinkIsAlive_nextMessageArrives) {
  boost::asio::io_context io;
  Recorder a;
  Recorder b;
  LinkSettings settings;
  settings.secret = kSecret;
  settings.verify_after_ms = 100;
  LinkHub peer(io, settings, &b);
  std::string at_peer = ValueOf(peer.Start())->Text();
  LinkHub hub(io, settings, &a);
  hub.Start();
  hub.Send(at_peer, 0, CancelRun{1});
  RunUntil(io, [&] { return b.messages.size() == 1; });
  RunFor(io, 150);
  hub.Send(at_peer, 0, Request(2, 10));
  RunUntil(io, [&] { return b.messages.size() == 2; });
  CHECK_EQUAL(0, a.not_sent);
  CHECK_EQUAL(1U, hub.Counts().Get("link_pings_total"));
}

// A zone is cut off while the links to it are idle. One request finds a silent
// peer; the others must be found before requests are sent to them.
TEST(link, onePeerIsSilent_idleLinksAreChecked) {
  boost::asio::io_context io;
  Recorder a;
  Recorder b;
  LinkSettings settings;
  settings.secret = kSecret;
  LinkHub peer(io, settings, &b);
  LinkHub other(io, settings, &b);
  soak::LoopbackProxy proxy(io, kAnyPort, *ValueOf(peer.Start()));
  soak::LoopbackProxy other_proxy(io, kAnyPort, *ValueOf(other.Start()));
  std::string at_proxy = ValueOf(proxy.Start())->Text();
  std::string at_other_proxy = ValueOf(other_proxy.Start())->Text();
  LinkHub hub(io, settings, &a);
  hub.Start();
  hub.Send(at_proxy, 0, CancelRun{1});
  hub.Send(at_other_proxy, 0, CancelRun{2});
  RunUntil(io, [&] { return b.messages.size() == 2; });
  proxy.SetFault(soak::ProxyFault::kStall);
  other_proxy.SetFault(soak::ProxyFault::kStall);
  hub.Send(at_proxy, 0, Request(3, 10));
  RunUntil(io, [&] { return a.silent.size() == 2; });
}

// Most links of a large fleet are idle: they must cost no messages.
TEST(link, linkIsIdle_isNotPinged) {
  boost::asio::io_context io;
  Recorder a;
  Recorder b;
  LinkSettings settings;
  settings.secret = kSecret;
  LinkHub peer(io, settings, &b);
  std::string at_peer = ValueOf(peer.Start())->Text();
  LinkHub hub(io, settings, &a);
  hub.Start();
  hub.Send(at_peer, 0, CancelRun{1});
  RunUntil(io, [&] { return b.messages.size() == 1; });
  RunFor(io, 600);
  CHECK_EQUAL(0U, hub.Counts().Get("link_pings_total"));
  hub.Send(at_peer, 0, Request(2, 10));
  RunFor(io, 800);
  CHECK(hub.Counts().Get("link_pings_total") >= 2U);
}

TEST(link, gossipSocket_deliversDatagramsAndCountsForeignOnes) {
  boost::asio::io_context io;
  std::vector<Datagram> got;
  GossipSocket a(io, kSecret, [](Datagram) {});
  GossipSocket b(io, kSecret, [&](Datagram datagram) {
    got.push_back(std::move(datagram));
  });
  GossipSocket stranger(io, "another secret", [](Datagram) {});
  Endpoint any;
  a.Start(any);
  stranger.Start(any);
  std::string at = ValueOf(b.Start(any))->Text();
  Datagram datagram;
  datagram.from = 9;
  stranger.Send(at, datagram);
  a.Send(at, datagram);
  RunUntil(io, [&] { return got.size() == 1; });
  CHECK_EQUAL(9U, got[0].from);
  CHECK_EQUAL(1U, b.Counts().Get("datagram_refusals_total",
                                 "datagram with a foreign seal"));
}

// A response of some 100 kB takes a slow link for long; a small one to another
// peer must not wait in the kernel behind it.
TEST(link, slowRate_smallMessageOfAnotherLinkOvertakesALargeOne) {
  boost::asio::io_context io;
  Recorder a;
  Recorder b;
  Recorder c;
  LinkSettings settings;
  settings.secret = kSecret;
  LinkHub large_peer(io, settings, &b);
  LinkHub small_peer(io, settings, &c);
  std::string at_large = ValueOf(large_peer.Start())->Text();
  std::string at_small = ValueOf(small_peer.Start())->Text();
  settings.bytes_per_ms = 200;
  LinkHub hub(io, settings, &a);
  hub.Start();
  hub.Send(at_large, 0, CancelRun{1});
  hub.Send(at_small, 0, CancelRun{1});
  RunUntil(io, [&] { return b.messages.size() + c.messages.size() == 2; });
  hub.Send(at_large, kFirstPacedRank, Request(2, 200000));
  hub.Send(at_small, 0, Request(3, 100));
  RunUntil(io, [&] { return c.messages.size() == 2; });
  CHECK_EQUAL(1U, b.messages.size());
  CHECK(hub.UnsentBytes() > 0);
  RunUntil(io, [&] { return b.messages.size() == 2; });
  CHECK_EQUAL(200000U, std::get<RunRequest>(b.messages[1]).body.size());
}

// The sender of a large message is lost halfway: what has arrived must not be
// taken for a message.
TEST(link, largeMessageIsCutOff_nothingIsDelivered) {
  boost::asio::io_context io;
  Recorder a;
  Recorder b;
  LinkSettings settings;
  settings.secret = kSecret;
  LinkHub peer(io, settings, &b);
  std::string at_peer = ValueOf(peer.Start())->Text();
  settings.bytes_per_ms = 200;
  LinkHub hub(io, settings, &a);
  hub.Start();
  hub.Send(at_peer, 0, CancelRun{1});
  RunUntil(io, [&] { return b.messages.size() == 1; });
  hub.Send(at_peer, kFirstPacedRank, Request(2, 200000));
  uint64_t before = peer.Counts().Get("link_bytes_total", "received");
  RunUntil(io, [&] {
    return peer.Counts().Get("link_bytes_total", "received") > before;
  });
  hub.DropAll();
  RunUntil(io, [&] { return b.lost == 1; });
  CHECK_EQUAL(1U, b.messages.size());
}

// Peers that do not read must not fill this process's memory.
TEST(link, queuesOfAllLinksAreFull_largeMessageIsReportedNotSent) {
  boost::asio::io_context io;
  Recorder a;
  Recorder b;
  LinkSettings settings;
  settings.secret = kSecret;
  LinkHub peer(io, settings, &b);
  LinkHub other(io, settings, &b);
  std::string at_peer = ValueOf(peer.Start())->Text();
  std::string at_other = ValueOf(other.Start())->Text();
  settings.bytes_per_ms = 200;
  settings.max_queued_bytes = 500000;
  LinkHub hub(io, settings, &a);
  hub.Start();
  hub.Send(at_peer, kFirstPacedRank, Request(1, 300000));
  hub.Send(at_other, kFirstPacedRank, Request(2, 300000));
  CHECK_EQUAL(1, a.not_sent);
  hub.Send(at_other, 0, Request(3, 100));
  CHECK_EQUAL(1, a.not_sent);
}
