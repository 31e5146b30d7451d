package loadbalancer.proxy.client;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Checks when a client's connection times out, and how much of its wait in the accept backlog counts for a request. */
class ConnectionActivityTest {
    private static final long ACCEPTED_MICROS = 5_000_000;
    private static final long BACKLOG_WAIT_MICROS = 700_000;

    private final ConnectionActivity activity = new ConnectionActivity(ACCEPTED_MICROS, BACKLOG_WAIT_MICROS);

    @Test
    void timesOutSilentConnectionTwoSecondsAfterAccept() {
        assertFalse(activity.isIdleTimedOut(ACCEPTED_MICROS + 2_000_000));
        assertTrue(activity.isIdleTimedOut(ACCEPTED_MICROS + 2_000_001));
        assertFalse(activity.isRequestTimedOut(ACCEPTED_MICROS + 2_000_001));
    }

    @Test
    void timesOutFirstRequestTwoSecondsAfterAccept() {
        activity.bytesReceived(ACCEPTED_MICROS + 1_900_000);
        assertTrue(activity.isReceivingRequest());
        assertFalse(activity.isRequestTimedOut(ACCEPTED_MICROS + 2_000_000));
        assertTrue(activity.isRequestTimedOut(ACCEPTED_MICROS + 2_000_001));
        assertFalse(activity.isIdleTimedOut(ACCEPTED_MICROS + 9_000_000));
    }

    @Test
    void timesOutLaterRequestTwoSecondsAfterItsFirstByte() {
        activity.bytesReceived(ACCEPTED_MICROS);
        activity.requestReceived();
        long startMicros = ACCEPTED_MICROS + 3_000_000;
        activity.bytesReceived(startMicros);
        activity.bytesReceived(startMicros + 1_000_000);
        assertFalse(activity.isRequestTimedOut(startMicros + 2_000_000));
        assertTrue(activity.isRequestTimedOut(startMicros + 2_000_001));
    }

    @Test
    void timesOutRequestThatBeganInSameReadAsEndOfPreviousOne() {
        activity.bytesReceived(ACCEPTED_MICROS);
        activity.requestReceived();
        activity.bytesDecoded(true);
        assertTrue(activity.isReceivingRequest());
        activity.responseWritten(ACCEPTED_MICROS + 1_000_000);
        assertFalse(activity.isRequestTimedOut(ACCEPTED_MICROS + 2_000_000));
        assertTrue(activity.isRequestTimedOut(ACCEPTED_MICROS + 2_000_001));
    }

    @Test
    void countsConnectionAsIdleAfterDroppedRequest() {
        activity.bytesReceived(ACCEPTED_MICROS);
        activity.bytesDecoded(false);
        assertFalse(activity.isReceivingRequest());
    }

    @Test
    void timesOutIdleConnectionFourSecondsAfterLastResponse() {
        activity.bytesReceived(ACCEPTED_MICROS);
        activity.requestReceived();
        long responseMicros = ACCEPTED_MICROS + 10_000_000;
        activity.responseWritten(responseMicros);
        assertFalse(activity.isIdleTimedOut(responseMicros + 4_000_000));
        assertTrue(activity.isIdleTimedOut(responseMicros + 4_000_001));
    }

    @Test
    void countsBacklogWaitOnlyForFirstRequestInFirstReadAfterAccept() {
        // However late that read is.
        activity.bytesReceived(ACCEPTED_MICROS + 90_000);
        assertEquals(BACKLOG_WAIT_MICROS, activity.maxRequestBacklogWaitMicros(ACCEPTED_MICROS));
        assertEquals(ACCEPTED_MICROS, activity.sentMicros(ACCEPTED_MICROS, 10_000));
        assertEquals(ACCEPTED_MICROS - 10_000, activity.sentMicros(ACCEPTED_MICROS, 100_000));
        activity.requestReceived();
        activity.bytesReceived(ACCEPTED_MICROS + 91_000);
        assertEquals(0, activity.maxRequestBacklogWaitMicros(ACCEPTED_MICROS));
        assertEquals(ACCEPTED_MICROS + 91_000, activity.sentMicros(ACCEPTED_MICROS, 0));

        ConnectionActivity later = new ConnectionActivity(ACCEPTED_MICROS, BACKLOG_WAIT_MICROS);
        later.bytesReceived(ACCEPTED_MICROS + 1_000);
        assertEquals(0, later.maxRequestBacklogWaitMicros(ACCEPTED_MICROS + 1));
        assertEquals(ACCEPTED_MICROS + 600, later.sentMicros(ACCEPTED_MICROS + 1, 400));
    }
}
