package loadbalancer.proxy.eventloop;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.UnpooledByteBufAllocator;
import io.netty.channel.RecvByteBufAllocator.Handle;
import io.netty.channel.embedded.EmbeddedChannel;
import org.junit.jupiter.api.Test;

class ReadBuffersTest {
    private static final long MILLI = 1_000_000;

    private long nowNanos = 1;
    private final ReadBudget budget = new ReadBudget(() -> nowNanos);
    private final ReadBuffers buffers = new ReadBuffers(budget);

    /** Reads a connection once; the handling of what was read takes this time. Returns the length of the buffer. */
    private int read(Handle connection, long handlingNanos) {
        connection.reset(new EmbeddedChannel().config());
        ByteBuf buffer = connection.allocate(UnpooledByteBufAllocator.DEFAULT);
        int bytes = buffer.writableBytes();
        buffer.release();
        connection.attemptedBytesRead(bytes);
        connection.lastBytesRead(bytes);
        nowNanos += handlingNanos;
        connection.readComplete();
        return bytes;
    }

    @Test
    void readsLittleOnceTheTimeOfAnIterationIsUsedUp() {
        Handle costly = buffers.newHandle();
        Handle other = buffers.newHandle();
        budget.startIteration();
        assertEquals(2_048, read(costly, 20 * MILLI));
        assertEquals(2_048, read(other, 0));
        assertEquals(512, read(costly, 0));
        budget.startIteration();
        assertTrue(read(costly, 0) >= 2_048);
    }

    @Test
    void stopsReadingConnectionWhenTheTimeIsUsedUp() {
        buffers.maxMessagesPerRead(2);
        Handle connection = buffers.newHandle();
        budget.startIteration();
        connection.reset(new EmbeddedChannel().config());
        connection.incMessagesRead(1);
        connection.attemptedBytesRead(2_048);
        connection.lastBytesRead(2_048);
        assertTrue(connection.continueReading());
        connection.lastBytesRead(2_048);
        nowNanos += 20 * MILLI;
        assertFalse(connection.continueReading());
        connection.readComplete();
        nowNanos += 30 * MILLI;
        ReadBuffers.BudgetedHandle budgeted = (ReadBuffers.BudgetedHandle) connection;
        assertEquals(30_000, budgeted.maxUnreadMicros());
        budget.startIteration();
        read(connection, 0);
        assertEquals(0, budgeted.maxUnreadMicros());
    }

    @Test
    void forgetsCostsOfEarlierPeriods() {
        Handle connection = buffers.newHandle();
        read(connection, MILLI);
        nowNanos += 1_000 * MILLI;
        budget.startIteration();
        read(buffers.newHandle(), 20 * MILLI);
        assertEquals(2_048, read(connection, 0));
    }
}
