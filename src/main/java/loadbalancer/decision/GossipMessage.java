package loadbalancer.decision;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;

/**
 * The message that one sidecar sends to others, and its encoding. Most numbers are unsigned fixed-point numbers of two
 * bytes; a value that is too large is encoded as the largest.
 *
 * @param zoneIndex the sender's zone, by its index in the settings
 * @param ratePerSecond requests a second that arrive at the sender
 * @param inFlight requests of the sender that endpoints hold
 * @param machineTypes the sender's estimates of each machine type, in the order of the settings
 * @param idleLimitMicros the network drops connections that are idle for about this long; 0 if the sender saw no such
 *     failure
 */
record GossipMessage(
        int zoneIndex,
        double ratePerSecond,
        double inFlight,
        List<MachineTypeSample> machineTypes,
        long idleLimitMicros) {

    private static final int MAX_SHORT = 65_535;
    private static final int MAX_BYTE = 255;
    /** Rates are encoded in eighths of a request a second. */
    private static final double RATE_UNITS_PER_REQUEST = 8.0;
    /** Speed factors and cores are encoded in 256ths. */
    private static final double SAMPLE_UNITS = 256.0;

    private static final double MICROS_PER_MILLI = 1_000.0;
    /** Zone, rate, in-flight requests and idle limit. */
    private static final int FIXED_BYTES = 7;

    private static final int BYTES_PER_MACHINE_TYPE = 5;

    /**
     * A sidecar's estimates of one machine type, as defined at {@link MachineTypeEstimate}.
     *
     * @param responses number of responses behind the estimates, up to 255
     */
    record MachineTypeSample(double speedFactor, double cores, int responses) {}

    byte[] encode() {
        ByteBuffer buffer = ByteBuffer.allocate(encodedLength(machineTypes.size()));
        buffer.put((byte) Math.min(MAX_BYTE, zoneIndex));
        buffer.putShort(unsigned(ratePerSecond * RATE_UNITS_PER_REQUEST));
        buffer.putShort(unsigned(inFlight));
        for (MachineTypeSample sample : machineTypes) {
            buffer.putShort(unsigned(sample.speedFactor() * SAMPLE_UNITS));
            buffer.putShort(unsigned(sample.cores() * SAMPLE_UNITS));
            buffer.put((byte) Math.min(MAX_BYTE, sample.responses()));
        }
        buffer.putShort(unsigned(idleLimitMicros / MICROS_PER_MILLI));
        return buffer.array();
    }

    /**
     * Decodes a message.
     *
     * @param machineTypeCount number of machine types in the settings
     * @return null if the length is not that of a message with this many machine types
     */
    static GossipMessage decode(byte[] bytes, int machineTypeCount) {
        if (bytes.length != encodedLength(machineTypeCount)) {
            return null;
        }
        ByteBuffer buffer = ByteBuffer.wrap(bytes);
        int zoneIndex = Byte.toUnsignedInt(buffer.get());
        double ratePerSecond = unsignedShort(buffer) / RATE_UNITS_PER_REQUEST;
        double inFlight = unsignedShort(buffer);
        List<MachineTypeSample> machineTypes = new ArrayList<>(machineTypeCount);
        for (int i = 0; i < machineTypeCount; i++) {
            double speedFactor = unsignedShort(buffer) / SAMPLE_UNITS;
            double cores = unsignedShort(buffer) / SAMPLE_UNITS;
            machineTypes.add(new MachineTypeSample(speedFactor, cores, Byte.toUnsignedInt(buffer.get())));
        }
        long idleLimitMicros = unsignedShort(buffer) * (long) MICROS_PER_MILLI;
        return new GossipMessage(zoneIndex, ratePerSecond, inFlight, machineTypes, idleLimitMicros);
    }

    private static int encodedLength(int machineTypeCount) {
        return FIXED_BYTES + BYTES_PER_MACHINE_TYPE * machineTypeCount;
    }

    private static short unsigned(double value) {
        return (short) Math.min(MAX_SHORT, Math.round(value));
    }

    private static int unsignedShort(ByteBuffer buffer) {
        return Short.toUnsignedInt(buffer.getShort());
    }
}
