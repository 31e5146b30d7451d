package loadbalancer.proxy.client;

import java.io.InterruptedIOException;
import java.util.concurrent.CountDownLatch;

/** Holds back the responses of a stub server until the test opens the gate, for good. */
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
