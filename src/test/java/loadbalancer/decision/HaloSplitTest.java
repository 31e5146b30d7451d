package loadbalancer.decision;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Eq. (4) matches the corollaries of the HALO paper and cases solved by hand. */
class HaloSplitTest {
    private static double[] values(double... values) {
        return values;
    }

    @Test
    void splitsByServiceRateAtAndAboveCapacity() {
        assertArrayEquals(values(2.0 / 3, 1.0 / 3), HaloSplit.split(values(1, 1), values(2, 1), 3), 1e-9);
        assertArrayEquals(values(2.0 / 3, 1.0 / 3), HaloSplit.split(values(1, 1), values(2, 1), 30), 1e-9);
    }

    @Test
    void assignsAllRequestsToFastestGroupAtLowAndZeroRate() {
        assertArrayEquals(values(1, 0), HaloSplit.split(values(1, 1), values(2, 1), 0.1), 1e-9);
        assertArrayEquals(values(0, 1), HaloSplit.split(values(3, 2), values(1, 4), 0), 1e-9);
    }

    @Test
    void matchesCaseSolvedByHand() {
        // n = 2, mu = 4 and 1, rate 3: p1 = (4*1 - 1*2 + 3*2) / (3*(2+1)) = 8/9.
        assertArrayEquals(values(8.0 / 9, 1.0 / 9), HaloSplit.split(values(1, 1), values(4, 1), 3), 1e-9);
    }

    @Test
    void excludesNegativeFractionsAndSolvesAgainForOthers() {
        // n = 3, mu = 9, 4 and 1/4, rate 6: the fraction of the slowest group is negative.
        // Without that group: p1 = (9*2 - 4*3 + 6*3) / 30.
        double[] fractions = HaloSplit.split(values(1, 1, 1), values(9, 4, 0.25), 6);
        assertArrayEquals(values(24.0 / 30, 6.0 / 30, 0), fractions, 1e-9);
    }

    @Test
    void returnsSameSplitForScaledGroups() {
        double[] small = HaloSplit.split(values(2, 3), values(2, 1), 5);
        double[] large = HaloSplit.split(values(200, 300), values(2, 1), 500);
        assertArrayEquals(small, large, 1e-9);
        assertEquals(1, small[0] + small[1], 1e-9);
    }

    @Test
    void handlesEdgeCases() {
        assertArrayEquals(values(1), HaloSplit.split(values(5), values(2), 0.5), 1e-9);
        assertArrayEquals(values(0, 1), HaloSplit.split(values(0, 2), values(5, 1), 1), 1e-9);
        assertArrayEquals(values(0, 0), HaloSplit.split(values(0, 0), values(5, 1), 1), 1e-9);
        assertEquals(0, HaloSplit.split(values(), values(), 1).length);
        double[] fractions = HaloSplit.split(values(1, 2, 3, 1), values(0.3, 7, 2, 90), 40);
        double sum = 0;
        for (double fraction : fractions) {
            assertTrue(fraction >= 0 && fraction <= 1);
            sum += fraction;
        }
        assertEquals(1, sum, 1e-9);
    }
}
