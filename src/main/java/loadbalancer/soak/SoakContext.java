package loadbalancer.soak;

import io.netty.channel.EventLoop;
import org.apache.commons.rng.UniformRandomProvider;

/** What all stand-ins of one run share. The event loop owns the record and the random generator. */
record SoakContext(
        EventLoop loop, RunClock clock, SoakSettings settings, History history, UniformRandomProvider random) {}
