package beechfall;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collection;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Predicate;

/**
 * The backends in this proxy's order, their weights, and which of them has the earliest deadline.
 *
 * <p>Calm ones (warm, trusted by all flows, with nothing out) that have neither turns nor answers of their own have their
 * {@link Group}'s deadline: the first in the group goes before the others. Calm ones that were touched stand in a tournament
 * tree over the places (Knuth, The Art of Computer Programming 3, 5.4.1), which also counts the sound ones, so that the earliest
 * of the first so many is found in O(log n). All others, as many as have attempts out or are put off or cold, are the restless;
 * they stand in a list and are looked at one by one. A refresh costs what was touched since, and not what is there. Who is calm
 * is the caller's to say.
 */
final class Order {
    /** The index of one that is not here. */
    static final int ABSENT = -1;

    private static final int BLOCK = 256;

    /** By hash; this proxy's order begins somewhere in it and goes round. */
    private final List<Server> byHash = new ArrayList<>();

    private final Map<Group.Key, Group> groups = new LinkedHashMap<>();
    private final TreeSet<Server> restless = new TreeSet<>(Comparator.comparingInt(s -> s.index));
    private final Set<Server> touched = new LinkedHashSet<>();
    private boolean changed = true;
    private int shuffle;
    private int first;
    private int leaves = 1;
    private double[] earliest = {Double.POSITIVE_INFINITY, Double.POSITIVE_INFINITY};
    private int[] sound = new int[2];
    private int calm;

    int size() {
        return byHash.size();
    }

    boolean isEmpty() {
        return byHash.isEmpty();
    }

    /** Returns all of them in a fixed order that is not this proxy's. */
    List<Server> all() {
        return Collections.unmodifiableList(byHash);
    }

    /** Returns the one at a place of this proxy's order. */
    Server at(int position) {
        int i = position + first;
        return byHash.get(i < byHash.size() ? i : i - byHash.size());
    }

    /** Returns the place of one in this proxy's order. */
    int position(Server s) {
        return position(s.index);
    }

    private int position(int index) {
        return index >= first ? index - first : index - first + byHash.size();
    }

    /** Those that are not calm, by their places. */
    List<Server> restless() {
        if (restless.isEmpty()) {
            return List.of();
        }
        Server start = byHash.get(first);
        var all = new ArrayList<Server>(restless.tailSet(start, true));
        all.addAll(restless.headSet(start, false));
        return all;
    }

    int calm() {
        return calm;
    }

    /** Returns how many are kept as touched; a test looks whether they are forgotten. */
    int touched() {
        return touched.size();
    }

    /** Returns the group of backends that are alike in this. */
    Group group(Group.Key key) {
        return groups.computeIfAbsent(key, Group::new);
    }

    /** Of these some have come, and of all some have gone; {@link #refresh} has to follow. */
    void change(Collection<Server> told) {
        for (Server s : byHash) {
            s.index = s.ready ? s.index : ABSENT;
        }
        byHash.removeIf(s -> !s.ready);
        for (Server s : told) {
            if (s != null && s.ready && s.index == ABSENT) {
                s.hash = Policy.mix(s.id().hashCode() ^ shuffle);
                s.index = 0;
                byHash.add(s);
            }
        }
        changed = true;
    }

    /**
     * Sets weight = c / sum of c, c being 1 / response time, starts the earliest-deadline order afresh, and puts the list in
     * this proxy's order.
     *
     * @param floor c is never less than this part of the largest
     */
    void refresh(double floor, int balancers, int rank, Predicate<Server> whether) {
        changed |= shuffle != Policy.mix(rank % rounds(balancers));
        if (changed) {
            settle(balancers, rank);
            touched.clear();
            byHash.stream().filter(Server::touched).forEach(touched::add);
        }
        weigh(floor);
        List<Server> before = List.copyOf(touched);
        before.forEach(Server::refresh);
        touched.removeIf(s -> !s.touched());
        first = begin(balancers, rank);
        if (changed) {
            changed = false;
            rebuild(whether);
        } else {
            before.forEach(s -> update(s, !restless.contains(s)));
        }
    }

    /** The list has changed: its order by hash, and who is in which group. */
    private void settle(int balancers, int rank) {
        int next = Policy.mix(rank % rounds(balancers));
        if (next != shuffle) {
            shuffle = next;
            byHash.forEach(s -> s.hash = Policy.mix(s.id().hashCode() ^ shuffle));
        }
        // Those that stay are sorted: the library's sort finds that, and one that comes costs no whole sort.
        byHash.sort(Comparator.<Server>comparingInt(s -> s.hash).thenComparing(Server::id));
        groups.values().forEach(g -> g.members().clear());
        for (int i = 0; i < byHash.size(); i++) {
            byHash.get(i).index = i;
            byHash.get(i).group().members().set(i);
        }
        groups.values().removeIf(g -> g.members().isEmpty());
    }

    private int rounds(int balancers) {
        return Math.max(1, balancers / Math.max(1, byHash.size()));
    }

    private void weigh(double floor) {
        // A kind without answers yet goes by its list weight, in the unit of the kinds that have some.
        double scale = 0;
        int known = 0;
        Map<Group, Integer> alike = new HashMap<>();
        for (Group g : groups.values()) {
            int members = g.members().cardinality();
            alike.put(g, members);
            if (g.key().kind().samples() > 0) {
                scale += members / (g.key().kind().meanUs() * g.key().listed());
                known += members;
            }
        }
        scale = known == 0 ? 1 : scale / known;
        double most = 0;
        for (Server s : touched) {
            alike.merge(s.group(), -1, Integer::sum);
            s.ownWeight(s.kind().samples() > 0 ? 1 / s.responseUs() : s.listed().weight() * scale);
            most = Math.max(most, s.weight());
        }
        for (Group g : groups.values()) {
            g.weight(
                    g.key().kind().samples() > 0
                            ? 1 / g.key().kind().meanUs()
                            : g.key().listed() * scale);
            most = alike.get(g) > 0 ? Math.max(most, g.weight()) : most;
        }
        double least = floor * most;
        double sum = 0;
        for (Group g : groups.values()) {
            sum += alike.get(g) * Math.max(g.weight(), least);
        }
        for (Server s : touched) {
            sum += Math.max(s.weight(), least);
        }
        for (Group g : groups.values()) {
            g.weight(Math.max(g.weight(), least) / sum);
        }
        for (Server s : touched) {
            s.ownWeight(Math.max(s.weight(), least) / sum);
        }
    }

    /**
     * Where this proxy's order begins. Where proxies outnumber backends, as many as there are backends stand evenly along the
     * list, by weight, as many in another order: no two stand and fall back alike.
     */
    private int begin(int balancers, int rank) {
        int rounds = rounds(balancers);
        double at = (rank / rounds) * (double) rounds / balancers;
        int i = 0;
        // By blocks: what a block weighs is told by how many of each group are in it, and by who differs from its
        // group.
        double[] own = new double[byHash.size() / BLOCK + 1];
        for (Server s : touched) {
            own[s.index / BLOCK] += s.weight() - s.group().weight();
        }
        for (int block = 0; i + BLOCK < byHash.size(); block++) {
            double weight = own[block];
            for (Group g : groups.values()) {
                weight += g.members().get(i, i + BLOCK).cardinality() * g.weight();
            }
            if (at <= weight) {
                break;
            }
            at -= weight;
            i += BLOCK;
        }
        while (i < byHash.size() - 1 && at > byHash.get(i).weight() - 1e-9) {
            at -= byHash.get(i++).weight();
        }
        return i;
    }

    private void rebuild(Predicate<Server> whether) {
        int n = byHash.size();
        leaves = Math.max(1, Integer.highestOneBit(Math.max(1, 2 * n - 1)));
        if (earliest.length != 2 * leaves) {
            earliest = new double[2 * leaves];
            sound = new int[2 * leaves];
        }
        Arrays.fill(earliest, leaves, 2 * leaves, Double.POSITIVE_INFINITY);
        Arrays.fill(sound, leaves, 2 * leaves, 0);
        groups.values().forEach(g -> g.untouched().clear());
        restless.clear();
        calm = 0;
        for (Server s : byHash) {
            leaf(s, whether.test(s));
        }
        for (int node = leaves - 1; node > 0; node--) {
            join(node);
        }
    }

    private void leaf(Server s, boolean isCalm) {
        int node = leaves + s.index;
        earliest[node] = isCalm && s.touched() ? s.deadline() : Double.POSITIVE_INFINITY;
        sound[node] = isCalm && s.sound() ? 1 : 0;
        s.group().untouched().set(s.index, isCalm && !s.touched());
        if (isCalm) {
            calm++;
        } else {
            restless.add(s);
        }
    }

    private void join(int node) {
        earliest[node] = Math.min(earliest[2 * node], earliest[2 * node + 1]);
        sound[node] = sound[2 * node] + sound[2 * node + 1];
    }

    /** Something of one of them has changed. */
    void update(Server s, boolean isCalm) {
        if (!restless.remove(s)) {
            calm--;
        }
        if (s.touched()) {
            touched.add(s);
        }
        leaf(s, isCalm);
        for (int node = (leaves + s.index) / 2; node > 0; node /= 2) {
            join(node);
        }
    }

    /** Returns the place of the {@code k}-th calm and sound one, counted from 1, or the last place where there are fewer. */
    int placeOfSound(int k) {
        if (k <= 0 || sound[1] < k) {
            return k <= 0 ? -1 : byHash.size() - 1;
        }
        int before = 0;
        for (int node = leaves + first; node > 1; node /= 2) {
            before += (node & 1) == 1 ? sound[node - 1] : 0;
        }
        int left = before + k > sound[1] ? before + k - sound[1] : before + k;
        int node = 1;
        while (node < leaves) {
            node *= 2;
            if (sound[node] < left) {
                left -= sound[node++];
            }
        }
        return position(node - leaves);
    }

    /** Returns the first of the calm ones with the earliest deadline among the places up to one, or null. */
    Server earliest(int upTo) {
        int n = byHash.size();
        int end = first + upTo + 1;
        Server best = better(earliestTouched(first, Math.min(n, end)), end > n ? earliestTouched(0, end - n) : null);
        for (Group g : groups.values()) {
            int i = g.untouched().nextSetBit(first);
            if (i < 0 || i >= end) {
                i = end > n ? g.untouched().nextSetBit(0) : -1;
                i = i < end - n ? i : -1;
            }
            best = better(best, i < 0 ? null : byHash.get(i));
        }
        return best;
    }

    private Server better(Server a, Server b) {
        if (a == null || b == null) {
            return a == null ? b : a;
        }
        int order = Double.compare(a.deadline(), b.deadline());
        return order < 0 || order == 0 && position(a) < position(b) ? a : b;
    }

    /** Bottom up: the nodes that together cover the places, those on the left from the left, those on the right from the right. */
    private Server earliestTouched(int from, int to) {
        int left = 0;
        int right = 0;
        for (int a = leaves + from, b = leaves + to; a < b; a /= 2, b /= 2) {
            if ((a & 1) == 1) {
                left = left == 0 || earliest[a] < earliest[left] ? a : left;
                a++;
            }
            if ((b & 1) == 1) {
                b--;
                right = right == 0 || earliest[b] <= earliest[right] ? b : right;
            }
        }
        int node = left == 0 || right != 0 && earliest[right] < earliest[left] ? right : left;
        if (node == 0 || earliest[node] == Double.POSITIVE_INFINITY) {
            return null;
        }
        double least = earliest[node];
        while (node < leaves) {
            node *= 2;
            node += earliest[node] == least ? 0 : 1;
        }
        return byHash.get(node - leaves);
    }
}
