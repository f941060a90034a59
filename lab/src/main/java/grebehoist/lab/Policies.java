package grebehoist.lab;

import beechfall.Balancer;
import beechfall.Policy;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.TreeSet;
import java.util.function.ToDoubleFunction;
import org.apache.commons.rng.UniformRandomProvider;

/** The policies by their names: {@code beechfall}, or a rival, perhaps {@code +budget}: a retry where a fifth of requests pays for it. */
final class Policies {
    /** Makes a rival's rule for one proxy, of what an oracle would know. */
    private interface Maker {
        Rival.Rule rule(UniformRandomProvider random, ToDoubleFunction<String> truth, double shortestAimUs);
    }

    static final String OURS = "beechfall";
    private static final String BUDGET = "+budget";
    private static final Map<String, Maker> RIVALS = new LinkedHashMap<>();

    static {
        RIVALS.put("random", (random, truth, aim) -> Rules.random(random));
        RIVALS.put("round-robin", (random, truth, aim) -> Rules.roundRobin(random));
        RIVALS.put("least-outstanding", (random, truth, aim) -> Rules.leastOutstanding(random));
        RIVALS.put("two-choices", (random, truth, aim) -> Rules.twoChoices(random));
        RIVALS.put("peak-ewma", (random, truth, aim) -> Rules.peakEwma(random));
        RIVALS.put("oracle", (random, truth, aim) -> Rules.oracle(truth, aim / 2));
    }

    private Policies() {}

    static TreeSet<String> names() {
        var names = new TreeSet<>(RIVALS.keySet());
        names.add(OURS);
        return names;
    }

    /**
     * Looks whether there is such a policy.
     *
     * @throws LabException where there is none
     */
    static void check(String name) {
        if (!name.equals(OURS) && !RIVALS.containsKey(plain(name))) {
            throw new LabException("policies: no policy \"" + name + "\"; there are " + names() + ", the rivals with "
                    + BUDGET + " too");
        }
    }

    static Balancer make(
            String name, Balancer.Settings settings, UniformRandomProvider random, ToDoubleFunction<String> truth) {
        if (name.equals(OURS)) {
            return new Policy(settings);
        }
        long aim = settings.classes().stream()
                .mapToLong(Balancer.RequestClass::aimUs)
                .min()
                .orElseThrow();
        return new Rival(settings, RIVALS.get(plain(name)).rule(random, truth, aim), name.endsWith(BUDGET));
    }

    private static String plain(String name) {
        return name.endsWith(BUDGET) ? name.substring(0, name.length() - BUDGET.length()) : name;
    }
}
