package grebehoist.engine;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class DepartedRequestsTest {
    private final DepartedRequests departed = new DepartedRequests();

    @Test
    void theNewestAreKeptAndNoneForLong() {
        for (int i = 0; i <= DepartedRequests.MOST; i++) {
            departed.add("r" + i, i);
        }
        long nowUs = DepartedRequests.MOST;
        assertThat(departed.contains("r0", nowUs)).isFalse();
        assertThat(departed.contains("r1", nowUs)).isTrue();
        assertThat(departed.contains("r1", DepartedRequests.KEPT_US + 2)).isFalse();
        assertThat(departed.contains("r9", DepartedRequests.KEPT_US + 2)).isTrue();
    }
}
