package loadbalancer.settings;

/** {@code closeOnDrainUs} is 0 where idle connections to a draining upstream may stay open. */
public record EndpointRules(
        long drainGraceUs,
        double coldShare,
        long rampUs,
        double fallMultiple,
        long fallWindowUs,
        long askEveryUs,
        long answerSlackUs,
        long closeOnDrainUs) {}
