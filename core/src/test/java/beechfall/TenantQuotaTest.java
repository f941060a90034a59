package beechfall;

import static org.assertj.core.api.Assertions.assertThat;

import beechfall.Balancer.Tenant;
import org.junit.jupiter.api.Test;

class TenantQuotaTest {
    private static final long S = 1_000_000;
    private static final long SAVED_US = 2 * S;

    private final TenantQuota quota = new TenantQuota(new Tenant("large", 40), 3);

    private boolean over(int balancers, boolean repeat, long now) {
        return quota.isOverShare(balancers, SAVED_US, repeat, now);
    }

    private int within(int balancers, long now) {
        int within = 0;
        while (!over(balancers, false, now)) {
            within++;
        }
        return within;
    }

    @Test
    void eachProxyHasItsPart() {
        assertThat(within(4, S)).isEqualTo(10);
        assertThat(within(2, 2 * S)).isEqualTo(20);
    }

    @Test
    void whatIsNotUsedIsKeptForAWhile() {
        assertThat(within(4, 100 * S)).isEqualTo(20);
    }

    @Test
    void aRepeatIsNotCountedAgain() {
        assertThat(over(4, true, S)).isFalse();
        assertThat(within(4, S)).isEqualTo(10);
        assertThat(over(4, true, S)).isTrue();
    }

    @Test
    void itKeepsItsPlaceAmongTheTenants() {
        assertThat(quota.number()).isEqualTo(3);
    }
}
