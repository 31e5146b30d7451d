package loadbalancer.proxy.client;

import java.io.InterruptedIOException;
import java.util.concurrent.CountDownLatch;

/** Blocks the handlers of a stub server until the test opens the gate. The gate then stays open. */
final class ResponseGate {
    private final CountDownLatch opened = new CountDownLatch(1);

    void open() {
        opened.countDown();
    }

    void await() throws InterruptedIOException {
        try {
            opened.await();
        } catch (InterruptedException e) {
            throw new InterruptedIOException();
        }
    }
}
