package loadbalancer.decision;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;

/**
 * The gossip message that a sidecar sends to others, and its binary encoding. Most numbers are encoded as unsigned
 * two-byte fixed-point numbers; a value that is too large is encoded as the largest possible one.
 *
 * @param zoneIndex index in the settings of the sender's zone
 * @param ratePerSecond requests per second that arrive at the sender
 * @param inFlight number of the sender's requests that endpoints hold
 * @param machineTypes the sender's estimates of each machine type, in the order of the settings
 * @param idleLimitMicros idle time after which the network seems to drop connections; 0 if the sender has not seen such
 *     a failure recently
 */
record GossipMessage(
        int zoneIndex,
        double ratePerSecond,
        double inFlight,
        List<MachineTypeSample> machineTypes,
        long idleLimitMicros) {

    private static final int MAX_SHORT = 65_535;
    private static final int MAX_BYTE = 255;
    /** Rates are encoded in units of 1/8 request per second. */
    private static final double RATE_SCALE = 8.0;
    /** Speed factors and numbers of cores are encoded in units of 1/256. */
    private static final double SAMPLE_SCALE = 256.0;

    private static final double MICROS_PER_MILLI = 1_000.0;
    /** Encoded length of the zone, the rate, the requests in flight and the idle limit. */
    private static final int FIXED_BYTES = 7;

    private static final int BYTES_PER_MACHINE_TYPE = 5;

    /**
     * A sidecar's estimates of one machine type, as defined in {@link MachineTypeEstimate}.
     *
     * @param responses number of responses that the estimates are based on; encoded as at most 255
     */
    record MachineTypeSample(double speedFactor, double cores, int responses) {}

    byte[] encode() {
        ByteBuffer buffer = ByteBuffer.allocate(encodedLength(machineTypes.size()));
        buffer.put((byte) Math.min(MAX_BYTE, zoneIndex));
        buffer.putShort(toUnsignedShort(ratePerSecond * RATE_SCALE));
        buffer.putShort(toUnsignedShort(inFlight));
        for (MachineTypeSample sample : machineTypes) {
            buffer.putShort(toUnsignedShort(sample.speedFactor() * SAMPLE_SCALE));
            buffer.putShort(toUnsignedShort(sample.cores() * SAMPLE_SCALE));
            buffer.put((byte) Math.min(MAX_BYTE, sample.responses()));
        }
        buffer.putShort(toUnsignedShort(idleLimitMicros / MICROS_PER_MILLI));
        return buffer.array();
    }

    /**
     * Decodes a message.
     *
     * @param machineTypeCount number of machine types in the settings
     * @return the message, or null if the length is not that of a message with this number of machine types
     */
    static GossipMessage decode(byte[] bytes, int machineTypeCount) {
        if (bytes.length != encodedLength(machineTypeCount)) {
            return null;
        }
        ByteBuffer buffer = ByteBuffer.wrap(bytes);
        int zoneIndex = Byte.toUnsignedInt(buffer.get());
        double ratePerSecond = readUnsignedShort(buffer) / RATE_SCALE;
        double inFlight = readUnsignedShort(buffer);
        List<MachineTypeSample> machineTypes = new ArrayList<>(machineTypeCount);
        for (int i = 0; i < machineTypeCount; i++) {
            double speedFactor = readUnsignedShort(buffer) / SAMPLE_SCALE;
            double cores = readUnsignedShort(buffer) / SAMPLE_SCALE;
            machineTypes.add(new MachineTypeSample(speedFactor, cores, Byte.toUnsignedInt(buffer.get())));
        }
        long idleLimitMicros = readUnsignedShort(buffer) * (long) MICROS_PER_MILLI;
        return new GossipMessage(zoneIndex, ratePerSecond, inFlight, machineTypes, idleLimitMicros);
    }

    private static int encodedLength(int machineTypeCount) {
        return FIXED_BYTES + BYTES_PER_MACHINE_TYPE * machineTypeCount;
    }

    private static short toUnsignedShort(double value) {
        return (short) Math.min(MAX_SHORT, Math.round(value));
    }

    private static int readUnsignedShort(ByteBuffer buffer) {
        return Short.toUnsignedInt(buffer.getShort());
    }
}
