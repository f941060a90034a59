package grebehoist.engine;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class RecentRequestsTest {
    private final RecentRequests recent = new RecentRequests();

    @Test
    void theNewestAreKeptAndNoneForLong() {
        for (int i = 0; i <= RecentRequests.MOST; i++) {
            recent.add("r" + i, i);
        }
        long nowUs = RecentRequests.MOST;
        assertThat(recent.contains("r0", nowUs)).isFalse();
        assertThat(recent.contains("r1", nowUs)).isTrue();
        assertThat(recent.contains("r1", RecentRequests.KEPT_US + 2)).isFalse();
        assertThat(recent.contains("r9", RecentRequests.KEPT_US + 2)).isTrue();
    }
}
