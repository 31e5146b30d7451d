package loadbalancer.proxy.upstream;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.Unpooled;
import io.netty.channel.EventLoop;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpVersion;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import loadbalancer.proxy.eventloop.MonotonicClock;
import loadbalancer.proxy.eventloop.ReadTrackingEventLoop;
import loadbalancer.proxy.observability.TrafficStatistics;
import loadbalancer.proxy.protocol.EndpointList;
import loadbalancer.proxy.protocol.JsonObject;
import loadbalancer.proxy.testing.SidecarFixture;
import loadbalancer.proxy.testing.StubServer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Connections and the list: everything here happens on one event loop, as in the program. */
@Timeout(60)
class UpstreamConnectionPoolTest {
    private final MonotonicClock clock = new MonotonicClock();
    private final ReadTrackingEventLoop reads = new ReadTrackingEventLoop(clock);
    private final EventLoop loop = reads.eventLoop();
    private final BlockingQueue<String> outcomes = new LinkedBlockingQueue<>();

    @AfterEach
    void end() {
        reads.shutDown();
    }

    private UpstreamConnectionPool upstreams(long idleUs, int most) throws Exception {
        return upstreams(idleUs, most, 0);
    }

    private UpstreamConnectionPool upstreams(long idleUs, int most, long restUs) throws Exception {
        return loop.submit(() -> new UpstreamConnectionPool(
                        reads,
                        new UpstreamTimeouts(idleUs, 2_000_000, 20_000),
                        restUs,
                        () -> most,
                        new TrafficStatistics()))
                .get();
    }

    private static EndpointList list(boolean whole, String... entries) {
        return EndpointList.parse(
                JsonObject.parse(SidecarFixture.list(1, whole, entries).getBytes(StandardCharsets.UTF_8)));
    }

    private UpstreamCall call(String upstream) {
        return UpstreamCall.attempt(
                upstream,
                clock.nowMicros() + 20_000_000,
                left -> new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/api"),
                (c, outcome, report, body) -> outcomes.add(upstream + " " + outcome));
    }

    private String outcome() throws InterruptedException {
        return outcomes.poll(20, TimeUnit.SECONDS);
    }

    /**
     * A connection that comes up after its upstream drained, went or restarted must carry nothing. The change falls
     * into the same turn of the loop as the call, so that the connection can't be up before it.
     */
    @Test
    void nothingIsSentToAnUpstreamThatChangedWhileItsConnectionCameUp() throws Exception {
        try (StubServer up = new StubServer((m, line) -> line.answer("200 OK", "", "sent"));
                StubServer moved = new StubServer((m, line) -> line.answer("200 OK", "", "sent"))) {
            UpstreamConnectionPool upstreams = upstreams(15_000_000, 100);
            EndpointList ready = list(true, SidecarFixture.entry("u", up.address(), "Ready", 0));
            for (EndpointList change : new EndpointList[] {
                list(false, SidecarFixture.entry("u", up.address(), "Terminating", 0)),
                list(false, SidecarFixture.entry("u", up.address(), "Gone", 0)),
                list(false, SidecarFixture.entry("u", up.address(), "Ready", 5_000_000)),
                list(false, SidecarFixture.entry("u", moved.address(), "Ready", 0)),
                list(true, SidecarFixture.entry("other", moved.address(), "Ready", 0))
            }) {
                loop.execute(() -> {
                    upstreams.updateEndpoints(ready);
                    upstreams.startCall(call("u"));
                    upstreams.updateEndpoints(change);
                });
                assertEquals("u NOT_SENT", outcome());
            }
            assertTrue(up.messages.isEmpty() && moved.messages.isEmpty(), "a request was sent all the same");
        }
    }

    /** The same upstream named again, as in every whole list, is no change: its connections stay. */
    @Test
    void aListThatSaysTheSameKeepsTheConnections() throws Exception {
        try (StubServer up = new StubServer((m, line) -> line.answer("200 OK", "", "sent"))) {
            UpstreamConnectionPool upstreams = upstreams(15_000_000, 100);
            for (int i = 0; i < 3; i++) {
                loop.execute(() -> {
                    upstreams.updateEndpoints(list(true, SidecarFixture.entry("u", up.address(), "Ready", 0)));
                    upstreams.startCall(call("u"));
                });
                assertEquals("u OK", outcome());
            }
            assertEquals(1, up.accepted.size());
        }
    }

    /** An upstream drops idle connections unseen; a request written to one from then on would end as a reset. */
    @Test
    void connectionsIdleForLongAreDroppedBeforeTheUpstreamDoesSo() throws Exception {
        try (StubServer up = new StubServer((m, line) -> line.answer("200 OK", "", "sent"))) {
            UpstreamConnectionPool upstreams = upstreams(1, 100);
            loop.execute(
                    () -> upstreams.updateEndpoints(list(true, SidecarFixture.entry("u", up.address(), "Ready", 0))));
            for (int i = 0; i < 2; i++) {
                loop.execute(() -> upstreams.startCall(call("u")));
                assertEquals("u OK", outcome());
            }
            assertEquals(-1, up.accepted.take().getInputStream().read());
            assertEquals(1, up.accepted.size(), "the second call did not open a connection of its own");
        }
    }

    /** Descriptors are few: at the cap an idle connection elsewhere makes room, and without one nothing is sent. */
    @Test
    void connectionsStayWithinTheirCap() throws Exception {
        try (StubServer a = new StubServer((m, line) -> line.answer("200 OK", "", ""));
                StubServer silent = new StubServer((m, line) -> {})) {
            UpstreamConnectionPool upstreams = upstreams(15_000_000, 1);
            loop.execute(() -> upstreams.updateEndpoints(list(
                    true,
                    SidecarFixture.entry("a", a.address(), "Ready", 0),
                    SidecarFixture.entry("silent", silent.address(), "Ready", 0))));
            loop.execute(() -> upstreams.startCall(call("a")));
            assertEquals("a OK", outcome());
            loop.execute(() -> upstreams.startCall(call("silent")));
            silent.next();
            assertEquals(-1, a.accepted.take().getInputStream().read());
            loop.execute(() -> upstreams.startCall(call("a")));
            assertEquals("a NOT_SENT", outcome());
        }
    }

    /** Clients that come in numbers need descriptors: a connection that rests is closed for them, one in use is not. */
    @Test
    void anIdleConnectionGivesWayAndOneInUseDoesNot() throws Exception {
        try (StubServer a = new StubServer((m, line) -> line.answer("200 OK", "", ""));
                StubServer silent = new StubServer((m, line) -> {})) {
            UpstreamConnectionPool upstreams = upstreams(15_000_000, 2);
            loop.execute(() -> upstreams.updateEndpoints(list(
                    true,
                    SidecarFixture.entry("a", a.address(), "Ready", 0),
                    SidecarFixture.entry("silent", silent.address(), "Ready", 0))));
            loop.execute(() -> upstreams.startCall(call("a")));
            assertEquals("a OK", outcome());
            loop.execute(() -> upstreams.startCall(call("silent")));
            silent.next();
            assertTrue(loop.submit(upstreams::closeOldestIdleConnection).get());
            assertEquals(-1, a.accepted.take().getInputStream().read());
            assertEquals(1, loop.submit(upstreams::openConnections).get());
            assertFalse(loop.submit(upstreams::closeOldestIdleConnection).get());
        }
    }

    /** What never came up holds no place: otherwise a crashed upstream would use up the cap by and by. */
    @Test
    void connectionsThatFailFreeTheirPlace() throws Exception {
        try (StubServer up = new StubServer((m, line) -> line.answer("200 OK", "Connection: close\r\n", ""));
                StubServer gone = new StubServer((m, line) -> {})) {
            gone.close();
            UpstreamConnectionPool upstreams = upstreams(15_000_000, 1);
            loop.execute(() -> upstreams.updateEndpoints(list(
                    true,
                    SidecarFixture.entry("u", up.address(), "Ready", 0),
                    SidecarFixture.entry("gone", gone.address(), "Ready", 0))));
            for (int i = 0; i < 3; i++) {
                loop.execute(() -> upstreams.startCall(call("gone")));
                assertEquals("gone CONNECT_FAILED", outcome());
            }
            loop.execute(() -> upstreams.startCall(call("u")));
            assertEquals("u OK", outcome());
            up.accepted.take().getInputStream().read();
        }
    }

    /** Upstreams are replaced under ever new ids; what is gone must not be kept for ever, also among changes. */
    @Test
    void whatIsGoneIsForgotten() throws Exception {
        UpstreamConnectionPool upstreams = upstreams(15_000_000, 100);
        int kept = loop.submit(() -> {
                    for (int i = 0; i < 50; i++) {
                        upstreams.updateEndpoints(
                                list(false, SidecarFixture.entry("u" + i, "127.0.0.1:9", "Ready", 0)));
                        upstreams.updateEndpoints(list(false, SidecarFixture.entry("u" + i, "127.0.0.1:9", "Gone", 0)));
                    }
                    return upstreams.endpointCount();
                })
                .get();
        assertEquals(0, kept);
    }

    /** A connection that the upstream closed while it rested must cost the next call nothing. */
    @Test
    void aConnectionClosedWhileItRestedIsPassedOver() throws Exception {
        try (StubServer up = new StubServer((m, line) -> {
            line.answer("200 OK", "", "sent");
            line.socket().close();
        })) {
            UpstreamConnectionPool upstreams = upstreams(15_000_000, 100);
            loop.execute(
                    () -> upstreams.updateEndpoints(list(true, SidecarFixture.entry("u", up.address(), "Ready", 0))));
            for (int i = 0; i < 5; i++) {
                loop.execute(() -> upstreams.startCall(call("u")));
                assertEquals("u OK", outcome());
                while (loop.submit(upstreams::openConnections).get() > 0) {
                    Thread.onSpinWait();
                }
            }
            assertEquals(5, up.accepted.size());
        }
    }

    /**
     * An upstream may answer twice, the second time some milliseconds later. Behind the next request on the same
     * connection, that answer would be served to it: here it comes after that request has reached the upstream.
     */
    @Test
    void aSecondAnswerThatComesLateIsServedToNobody() throws Exception {
        BlockingQueue<StubServer.Connection> lines = new LinkedBlockingQueue<>();
        try (StubServer up = new StubServer((m, line) -> {
            lines.add(line);
            if (lines.size() == 1) {
                line.answer("200 OK", "", "first");
            } else {
                lines.peek().answer("200 OK", "", "first");
                line.answer("500 Own", "", "");
            }
        })) {
            UpstreamConnectionPool upstreams = upstreams(15_000_000, 100, 3_600_000_000L);
            loop.execute(
                    () -> upstreams.updateEndpoints(list(true, SidecarFixture.entry("u", up.address(), "Ready", 0))));
            loop.execute(() -> upstreams.startCall(call("u")));
            assertEquals("u OK", outcome());
            loop.execute(() -> upstreams.startCall(call("u")));
            assertEquals("u ERROR", outcome(), "another request's answer was taken");
        }
    }

    /** Once it has rested a connection is used again: most requests would begin with a handshake otherwise. */
    @Test
    void aConnectionThatHasRestedIsUsedAgain() throws Exception {
        try (StubServer up = new StubServer((m, line) -> line.answer("200 OK", "", "sent"))) {
            UpstreamConnectionPool upstreams = upstreams(15_000_000, 100, 1_000);
            loop.execute(
                    () -> upstreams.updateEndpoints(list(true, SidecarFixture.entry("u", up.address(), "Ready", 0))));
            for (int calls = 0; up.accepted.size() == calls; calls++) {
                loop.execute(() -> upstreams.startCall(call("u")));
                assertEquals("u OK", outcome());
            }
        }
    }

    /** Before a request's last byte is out nobody can have served it. */
    @Test
    void anAnswerBeforeTheRequestIsOutIsNoAnswer() {
        for (String status : new String[] {"200 OK", "500 No"}) {
            EmbeddedChannel channel = new EmbeddedChannel();
            UpstreamConnection.install(channel, 20_000).begin(call("u"), (call, connection) -> connection.close());
            channel.writeInbound(Unpooled.copiedBuffer(
                    "HTTP/1.1 " + status + "\r\nContent-Length: 2\r\n\r\nok", StandardCharsets.US_ASCII));
            assertEquals("u CONNECT_FAILED", outcomes.poll());
            assertFalse(channel.isOpen());
        }
    }
}
