package loadbalancer.decision;

/** A hash function that is the same on all sidecars, so that they agree on an order without exchanging messages. */
final class StableHash {
    private StableHash() {}

    /** Returns a hash of the value and the salt; adjacent inputs give hashes distributed over all ints. */
    static int mix(int value, int salt) {
        int hash = (value ^ salt * 0x9e3779b9) * 0x85ebca6b;
        hash = (hash ^ hash >>> 15) * 0xc2b2ae35;
        return hash ^ hash >>> 16;
    }
}
