package loadbalancer.proxy.lifecycle;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

class DescriptorBudgetTest {
    @Test
    void reservesDescriptorsAndAssignsFiveEighthsOfRestToClients() {
        assertEquals(new DescriptorBudget(1024 - 48, 610, 85), DescriptorBudget.of(1024));
    }

    @Test
    void allowsSomeConnectionsWithSmallLimit() {
        assertEquals(new DescriptorBudget(32, 20, 1), DescriptorBudget.of(12));
    }
}
