package beechfall;

import static beechfall.Proxy.READ;
import static beechfall.Proxy.S;
import static beechfall.Proxy.backend;
import static beechfall.Proxy.in;
import static beechfall.Proxy.started;
import static org.assertj.core.api.Assertions.assertThat;

import beechfall.Balancer.ListKind;
import beechfall.Balancer.Members;
import beechfall.Balancer.Outcome;
import beechfall.Balancer.State;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Backends that come and go all day, as changes of the list tell it. */
class ChurnTest {
    private final Proxy proxy = new Proxy();

    /** Nothing is kept of what is gone, or the memory of a proxy grows with each backend it ever knew. */
    @Test
    void forgetsWhatIsGone() {
        proxy.list(backend("s0"), backend("s1"));
        for (int i = 0; i < 5_000; i++) {
            String id = proxy.arrive(READ);
            proxy.feed(new Members(ListKind.DELTA, List.of(in(State.READY, "s" + (i + 2)), in(State.GONE, "s" + i))));
            if (proxy.sends(id) > 0) {
                proxy.end(id, Outcome.OK, 20_000);
            }
            proxy.now += S;
        }
        assertThat(proxy.policy.remembered()).isLessThan(10);
    }

    /** A process that starts anew under its id is not held to what was seen of the last one. */
    @Test
    void trustsANewProcessUnderAnOldId() {
        proxy.list(started("a", 1), started("b", 1), started("c", 1));
        boolean failed = false;
        for (int i = 0; i < 20; i++) {
            String id = proxy.arrive(READ);
            boolean a = proxy.lastSend(id).backend().equals("a");
            proxy.end(id, a ? Outcome.CONNECT_FAILED : Outcome.OK, 20_000);
            assertThat(a && failed).as("a failed and is sent to again").isFalse();
            failed |= a;
        }
        assertThat(failed).isTrue();
        proxy.feed(new Members(ListKind.DELTA, List.of(started("a", 2))));
        boolean sent = false;
        for (int i = 0; i < 20; i++) {
            String id = proxy.arrive(READ);
            sent |= proxy.lastSend(id).backend().equals("a");
            proxy.end(id, Outcome.OK, 20_000);
        }
        assertThat(sent).isTrue();
    }
}
