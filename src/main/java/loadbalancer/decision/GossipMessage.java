package loadbalancer.decision;

import java.nio.ByteBuffer;

/** What one sidecar tells another, and its bytes: plain data, used by {@link LoadBalancingPolicy}. */
final class GossipMessage {
    /** The sender's zone, by its number in the settings. */
    int zone;
    /** Requests a second that come to the sender. */
    double rate;
    /** Requests that the servers hold for the sender. */
    double held;
    /** Of each kind the slowness, the cores and the number of answers behind them. */
    final double[] slow;

    final double[] cores;
    final int[] answers;
    /** Idle connections are dropped after about this long; 0 where nothing was seen of it. */
    long idleLimitUs;

    GossipMessage(int kinds) {
        slow = new double[kinds];
        cores = new double[kinds];
        answers = new int[kinds];
    }

    private int length() {
        return 5 * slow.length + 7;
    }

    byte[] bytes() {
        ByteBuffer b = ByteBuffer.allocate(length());
        b.put((byte) Math.min(255, zone)).putShort(unsigned(rate * 8)).putShort(unsigned(held));
        for (int i = 0; i < slow.length; i++) {
            b.putShort(unsigned(slow[i] * 256))
                    .putShort(unsigned(cores[i] * 256))
                    .put((byte) Math.min(255, answers[i]));
        }
        return b.putShort(unsigned(idleLimitUs / 1000.0)).array();
    }

    private static short unsigned(double value) {
        return (short) Math.min(65_535, Math.round(value));
    }

    /** False where the bytes are no such message; nothing is to be taken from it then. */
    boolean read(byte[] message) {
        if (message.length != length()) {
            return false;
        }
        ByteBuffer b = ByteBuffer.wrap(message);
        zone = b.get() & 255;
        rate = (b.getShort() & 65_535) / 8.0;
        held = b.getShort() & 65_535;
        for (int i = 0; i < slow.length; i++) {
            slow[i] = (b.getShort() & 65_535) / 256.0;
            cores[i] = (b.getShort() & 65_535) / 256.0;
            answers[i] = b.get() & 255;
        }
        idleLimitUs = (b.getShort() & 65_535) * 1000L;
        return true;
    }
}
