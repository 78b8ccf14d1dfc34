#include "banyanloft/mesh/link_meter.h"

#include <CppUTest/TestHarness.h>

#include "banyanloft/links/send_pacer.h"

using namespace banyanloft;

TEST_GROUP(link_meter) { LinkMeter meter_{1500}; };

TEST(link_meter, delay_largeMessage_drainsAtTheRate) {
  meter_.OnSent(TimeMs(1000), 90000);
  LONGS_EQUAL(60, meter_.DelayMs(TimeMs(1000)));
  LONGS_EQUAL(40, meter_.DelayMs(TimeMs(1020)));
  CHECK(meter_.DelayMs(TimeMs(1070)) <= 5);
}

// Peers see a report for up to a second: a link that is busy on the mean must
// not look idle between two messages.
TEST(link_meter, delay_betweenMessagesOfABusyLink_isTheMean) {
  for (int64_t at = 1000; at < 6000; at += 100)
    meter_.OnSent(TimeMs(at), 120000);
  int64_t idle_ms = meter_.DelayMs(TimeMs(5999));
  CHECK(idle_ms >= 20 && idle_ms <= 50);
  CHECK(meter_.DelayMs(TimeMs(12000)) <= 1);
}

// A link whose rate is not known counts as one of 1 Gbit/s.
TEST(link_meter, delay_fastLink_isNegligible) {
  LinkMeter fast(125000);
  for (int64_t at = 1000; at < 2000; at += 10) fast.OnSent(TimeMs(at), 90000);
  CHECK(fast.DelayMs(TimeMs(2000)) <= 1);
}

TEST_GROUP(send_pacer){};

// A small message waits in the kernel for at most about one slice.
TEST(send_pacer, largeMessages_areHandedOverInSlices) {
  constexpr int64_t kRate = 1500;
  constexpr size_t kFrame = 16 * 1024;
  SendPacer pacer(kRate);
  int64_t sent = 0;
  for (int64_t at = 0; at < 1000; ++at) {
    while (pacer.Allows(TimeMs(at))) {
      pacer.OnSent(TimeMs(at), kFrame);
      sent += kFrame;
      int64_t queued = sent - at * kRate;
      CHECK(queued <= SendPacer::kSliceMs * kRate + 2 * int64_t{kFrame});
    }
  }
  CHECK(sent >= 1000 * kRate * 93 / 100);
  CHECK(sent <= 1000 * kRate);
}

// Small messages and responses to clients take their part of the link.
TEST(send_pacer, otherBytes_leaveLessForLargeMessages) {
  SendPacer pacer(1500);
  int64_t sent = 0;
  for (int64_t at = 0; at < 1000; ++at) {
    pacer.OnSent(TimeMs(at), 750);
    while (pacer.Allows(TimeMs(at))) {
      pacer.OnSent(TimeMs(at), 16 * 1024);
      sent += 16 * 1024;
    }
  }
  CHECK(sent > 550000 && sent < 800000);
}

// Large messages still get through when others use the whole link.
TEST(send_pacer, otherBytesExceedTheRate_largeMessagesAreNotStoppedForLong) {
  SendPacer pacer(1500);
  pacer.OnSent(TimeMs(0), 100000000);
  CHECK(!pacer.Allows(TimeMs(SendPacer::kMaxDebtMs - 10)));
  CHECK(pacer.Allows(TimeMs(SendPacer::kMaxDebtMs + 2)));
}

TEST(send_pacer, rateUnknownOrHigh_nothingIsPaced) {
  for (int64_t rate : {int64_t{0}, SendPacer::kMaxPacedRate + 1}) {
    SendPacer pacer(rate);
    pacer.OnSent(TimeMs(0), 100000000);
    CHECK(pacer.Allows(TimeMs(0)));
  }
}
