package loadbalancer.proxy.upstream;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import java.nio.charset.StandardCharsets;
import loadbalancer.proxy.testing.TestMemory;
import org.junit.jupiter.api.Test;

class IdleConnectionsTest {
    private static final long IDLE_TIMEOUT_MICROS = 1_000;
    private static final long STALL_TIMEOUT_MICROS = 3_600_000_000L;

    private final IdleConnections connections = new IdleConnections();

    private UpstreamConnection add(long idleSinceMicros, long reusableFromMicros) {
        UpstreamConnection connection =
                UpstreamConnection.install(new EmbeddedChannel(), STALL_TIMEOUT_MICROS, TestMemory.unlimited());
        connection.becomeIdle(idleSinceMicros, reusableFromMicros);
        connections.add(connection);
        return connection;
    }

    private UpstreamConnection take(long nowMicros) {
        return connections.take(nowMicros, nowMicros, IDLE_TIMEOUT_MICROS);
    }

    @Test
    void takesMostRecentlyUsedConnectionFirst() {
        UpstreamConnection earlier = add(10, 0);
        UpstreamConnection later = add(20, 0);
        assertSame(later, take(30));
        assertSame(earlier, take(30));
        assertNull(take(30));
    }

    @Test
    void takesConnectionOnlyAfterReadFollowingReuseDelay() {
        UpstreamConnection reusable = add(10, 15);
        UpstreamConnection delayed = add(20, 40);
        assertSame(reusable, connections.take(50, 39, IDLE_TIMEOUT_MICROS));
        assertNull(connections.take(50, 39, IDLE_TIMEOUT_MICROS));
        assertSame(delayed, connections.take(50, 40, IDLE_TIMEOUT_MICROS));
    }

    @Test
    void closesConnectionAfterIdleTimeout() {
        UpstreamConnection expired = add(10, 0);
        assertNull(take(10 + IDLE_TIMEOUT_MICROS));
        assertFalse(expired.channel().isOpen());
        assertTrue(connections.isEmpty());
    }

    @Test
    void closesConnectionWithUnexpectedData() {
        UpstreamConnection connection = add(10, 0);
        ((EmbeddedChannel) connection.channel())
                .writeInbound(Unpooled.copiedBuffer("HTTP/1.1 200 OK\r\nConte", StandardCharsets.US_ASCII));
        assertNull(take(20));
        assertFalse(connection.channel().isOpen());
    }

    @Test
    void closesOnlyUnusableConnections() {
        UpstreamConnection expired = add(10, 0);
        UpstreamConnection closed = add(500, 0);
        UpstreamConnection usable = add(600, 0);
        closed.close();
        connections.closeUnusable(10 + IDLE_TIMEOUT_MICROS, IDLE_TIMEOUT_MICROS);
        assertFalse(expired.channel().isOpen());
        assertSame(usable, take(700));
        assertTrue(connections.isEmpty());
    }

    @Test
    void closesLeastRecentlyUsedConnection() {
        UpstreamConnection oldest = add(10, 0);
        UpstreamConnection newest = add(20, 0);
        assertEquals(10, connections.oldestIdleSinceMicros());
        connections.closeOldest();
        assertFalse(oldest.channel().isOpen());
        assertTrue(newest.channel().isOpen());
        assertEquals(20, connections.oldestIdleSinceMicros());
        connections.closeAll();
        assertFalse(newest.channel().isOpen());
        assertTrue(connections.isEmpty());
    }
}
