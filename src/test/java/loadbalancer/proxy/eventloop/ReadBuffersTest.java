package loadbalancer.proxy.eventloop;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.UnpooledByteBufAllocator;
import io.netty.channel.embedded.EmbeddedChannel;
import loadbalancer.proxy.eventloop.ReadBuffers.BudgetedHandle;
import org.junit.jupiter.api.Test;

class ReadBuffersTest {
    private static final long MILLI = 1_000_000;
    private static final int MANY_READS = 64;

    private long nowNanos = 1;
    private final ReadBudget budget = new ReadBudget(() -> nowNanos);
    private final ReadBuffers buffers = newBuffers();

    private ReadBuffers newBuffers() {
        ReadBuffers created = new ReadBuffers(budget, true);
        created.maxMessagesPerRead(MANY_READS);
        return created;
    }

    private BudgetedHandle newConnection() {
        return (BudgetedHandle) buffers.newHandle();
    }

    private static void startTurn(BudgetedHandle connection) {
        connection.reset(new EmbeddedChannel().config());
    }

    /** Reads a buffer full, which contains these parts. Returns its length. */
    private static int read(BudgetedHandle connection, int parts) {
        ByteBuf buffer = connection.allocate(UnpooledByteBufAllocator.DEFAULT);
        int bytes = buffer.writableBytes();
        buffer.release();
        connection.attemptedBytesRead(bytes);
        connection.lastBytesRead(bytes);
        connection.incMessagesRead(1);
        connection.recordDecodedParts(parts);
        return bytes;
    }

    /** Uses up the time of the present iteration by the turn of one connection. */
    private void useUpTime() {
        BudgetedHandle connection = newConnection();
        startTurn(connection);
        nowNanos += 20 * MILLI;
        connection.readComplete();
    }

    private void nextIteration() {
        budget.finishIteration();
        budget.startIteration();
    }

    @Test
    void readsLittleOnceTheTimeOfAnIterationIsUsedUp() {
        budget.startIteration();
        BudgetedHandle before = newConnection();
        startTurn(before);
        assertEquals(2_048, read(before, 5));
        useUpTime();
        BudgetedHandle after = newConnection();
        startTurn(after);
        assertEquals(512, read(after, 85));
        assertFalse(after.continueReading());
    }

    /** A body of 64 KiB behind an ordinary head is read in one turn even if there is no time. */
    @Test
    void readsLongBodyWholeWithoutTime() {
        budget.startIteration();
        useUpTime();
        BudgetedHandle connection = newConnection();
        startTurn(connection);
        int bytes = read(connection, 12 + DecodedParts.PARTS_PER_REQUEST);
        while (bytes < 65 * 1024) {
            assertTrue(connection.continueReading(), "after " + bytes + " bytes");
            bytes += read(connection, 1);
        }
    }

    @Test
    void endsTurnOfConnectionWithManyParts() {
        budget.startIteration();
        BudgetedHandle connection = newConnection();
        startTurn(connection);
        read(connection, 1_000);
        assertTrue(connection.continueReading());
        read(connection, 24);
        assertFalse(connection.continueReading());
    }

    /** A buffer is decoded whole, so the next one must not contain more parts than a turn allows. */
    @Test
    void shortensReadsOfConnectionWithManyParts() {
        budget.startIteration();
        BudgetedHandle connection = newConnection();
        startTurn(connection);
        assertEquals(2_048, read(connection, 2_048));
        assertFalse(connection.continueReading());
        connection.readComplete();
        nextIteration();
        startTurn(connection);
        assertEquals(1_024, read(connection, 4));
        assertTrue(connection.continueReading());
        assertTrue(read(connection, 1) > 1_024);
    }

    @Test
    void takesUnreportedBytesForShortParts() {
        budget.startIteration();
        BudgetedHandle connection = newConnection();
        startTurn(connection);
        connection.allocate(UnpooledByteBufAllocator.DEFAULT).release();
        connection.lastBytesRead(32 * 1_024);
        connection.incMessagesRead(1);
        assertFalse(connection.continueReading());
    }

    @Test
    void lacksTimeInTheIterationAfterOneThatUsedItUp() {
        budget.startIteration();
        useUpTime();
        nextIteration();
        assertTrue(budget.lacksTime());
        nextIteration();
        assertFalse(budget.lacksTime());
    }

    @Test
    void measuresHowLongBytesMayHaveBeenUnread() {
        budget.startIteration();
        BudgetedHandle connection = newConnection();
        startTurn(connection);
        read(connection, 2_000);
        assertFalse(connection.continueReading());
        connection.readComplete();
        nowNanos += 30 * MILLI;
        assertEquals(30_000, connection.maxUnreadMicros());
        nextIteration();
        startTurn(connection);
        assertTrue(connection.isBehind());
        read(connection, 1);
        assertTrue(connection.continueReading());
        connection.readComplete();
        assertEquals(0, connection.maxUnreadMicros());
    }

    /** A socket that was just empty when its turn ended is not read in the next iteration. */
    @Test
    void isNotBehindOnceAnIterationHasFoundNothingToRead() {
        budget.startIteration();
        BudgetedHandle connection = newConnection();
        startTurn(connection);
        read(connection, 2_000);
        assertFalse(connection.continueReading());
        connection.readComplete();
        budget.finishIteration();
        assertTrue(connection.isBehind());
        nextIteration();
        budget.finishIteration();
        assertFalse(connection.isBehind());
        nowNanos += 3_000 * MILLI;
        assertEquals(0, connection.maxUnreadMicros());
    }

    @Test
    void countsConnectionAsBehindWhoseTurnEndsByNumberOfReads() {
        buffers.maxMessagesPerRead(2);
        budget.startIteration();
        BudgetedHandle connection = newConnection();
        startTurn(connection);
        read(connection, 1);
        assertTrue(connection.continueReading());
        read(connection, 1);
        assertFalse(connection.continueReading());
        connection.readComplete();
        assertTrue(connection.isBehind());
    }
}
