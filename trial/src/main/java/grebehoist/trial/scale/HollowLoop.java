package grebehoist.trial.scale;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import grebehoist.fleet.distribution.DistributionNode;
import grebehoist.fleet.distribution.DistributionTerms;
import grebehoist.fleet.distribution.Layout;
import grebehoist.fleet.wire.KeyRing;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.PrintWriter;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.Selector;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.SplittableRandom;
import java.util.concurrent.ConcurrentLinkedQueue;

/**
 * A process of hollow proxies: one thread, one selector. Its first line says the plan and the machines; further lines what is to be done, in
 * "do": start, restart, loss, deaf, region, measure, heap, end. When nobody is left to tell it anything, it ends.
 */
final class HollowLoop implements HollowProxy.Ground {
    private static final long SLOT_US = 5_000;
    private static final int RECEIVED = 512;

    private final Plan plan;
    private final String name;
    private final List<InetSocketAddress> machines = new ArrayList<>();
    private final Map<InetSocketAddress, Integer> numbers = new HashMap<>();
    private final Layout layout;
    private final KeyRing ring;
    private final DistributionTerms terms = DistributionTerms.standard();
    private final SplittableRandom random;
    private final Map<Integer, HollowProxy> proxies = new HashMap<>();
    private final List<List<HollowProxy>> slots = new ArrayList<>();
    private final Queue<JsonNode> told = new ConcurrentLinkedQueue<>();
    private final Selector selector = Selector.open();
    private final PrintWriter out;
    private double loss;
    /** A machine whose datagrams some of the proxies do not hear, or -1. */
    private int unheard = -1;

    private int unheardByOneIn = 1;
    /** A region that hears nothing of the others, nor they of it, or -1. */
    private int cutRegion = -1;

    private boolean ended;

    HollowLoop(JsonNode setup, PrintWriter out) throws IOException {
        this.out = out;
        plan = Wire.JSON.treeToValue(setup.path("plan"), Plan.class);
        name = setup.path("name").asText();
        random = new SplittableRandom(setup.path("seed").asLong());
        var zones = new ArrayList<Layout.Machine>();
        for (JsonNode m : setup.path("machines")) {
            var address = new InetSocketAddress("127.0.0.1", m.asInt());
            numbers.put(address, machines.size());
            zones.add(new Layout.Machine(Plan.zoneName(Plan.zone(machines.size()))));
            machines.add(address);
        }
        layout = new Layout(zones);
        ring = new KeyRing(List.of(
                new KeyRing.Key(1, HexFormat.of().parseHex(setup.path("key").asText()))));
        for (int i = 0; i < Math.max(1, terms.proxyTickUs() / SLOT_US); i++) {
            slots.add(new ArrayList<>());
        }
    }

    /** Hears what it is told, on a thread of its own, until nobody tells anything more. */
    void hear(BufferedReader from) {
        var hears = new Thread(
                () -> {
                    try {
                        for (String line = from.readLine(); line != null; line = from.readLine()) {
                            told.add(Wire.JSON.readTree(line));
                            selector.wakeup();
                        }
                    } catch (IOException e) {
                        out.println("what is told can't be read: " + e);
                    }
                    told.add(Wire.JSON.createObjectNode().put("do", "end"));
                    selector.wakeup();
                },
                "hears");
        hears.setDaemon(true);
        hears.start();
    }

    /** Runs until it is told to end. */
    void run() throws IOException {
        ByteBuffer buffer = ByteBuffer.allocateDirect(RECEIVED);
        long slot = Wire.now() / SLOT_US;
        while (!ended) {
            long untilUs = (slot + 1) * SLOT_US - Wire.now();
            if (untilUs > 0) {
                selector.select(
                        key -> ((HollowProxy) key.attachment()).read(Wire.now(), buffer), Math.max(1, untilUs / 1_000));
            } else {
                selector.selectNow(key -> ((HollowProxy) key.attachment()).read(Wire.now(), buffer));
            }
            long due = Math.min(Wire.now() / SLOT_US, slot + slots.size());
            while (slot < due) {
                slot++;
                for (HollowProxy p : slots.get((int) (slot % slots.size()))) {
                    if (p.runs()) {
                        p.tick(Wire.now());
                    }
                }
            }
            // Whoever was stopped does not catch up on ticks.
            slot = Math.max(slot, Wire.now() / SLOT_US - slots.size());
            for (JsonNode line = told.poll(); line != null && !ended; line = told.poll()) {
                obey(line);
            }
            out.flush();
        }
    }

    private void obey(JsonNode line) throws IOException {
        switch (line.path("do").asText()) {
            case "start" -> start(line);
            case "restart" -> restart(line);
            case "loss" -> loss = line.path("rate").asDouble();
            case "deaf" -> {
                unheard = line.path("machine").asInt();
                unheardByOneIn = line.path("one_in").asInt(1);
            }
            case "region" -> cutRegion = line.path("region").asInt();
            case "measure" -> proxies.values().forEach(p -> p.measure(Wire.now()));
            case "heap" -> heap();
            case "end" -> {
                proxies.values().forEach(p -> tell(p.figures(Wire.now())));
                for (HollowProxy p : proxies.values()) {
                    p.end();
                }
                tell(Wire.line(Wire.now(), name, "done"));
                ended = true;
            }
            default -> out.println("nobody knows how to do " + line);
        }
    }

    private static long[] versions(JsonNode line) {
        JsonNode told = line.path("versions");
        long[] versions = new long[told.size()];
        for (int i = 0; i < versions.length; i++) {
            versions[i] = told.path(i).asLong();
        }
        return versions;
    }

    private void start(JsonNode line) throws IOException {
        long[] versions = versions(line);
        for (int p = line.path("from").asInt(); p < line.path("to").asInt(); p++) {
            var proxy = new HollowProxy(p, plan, this);
            proxies.put(p, proxy);
            slots.get(p % slots.size()).add(proxy);
            proxy.start(Wire.now(), selector, versions);
        }
    }

    private void restart(JsonNode line) throws IOException {
        long[] versions = versions(line);
        for (Map.Entry<Integer, HollowProxy> p : proxies.entrySet()) {
            if (Plan.zone(p.getKey()) == line.path("zone").asInt()) {
                p.getValue().start(Wire.now(), selector, versions);
            }
        }
    }

    private void heap() {
        // Twice: what the first finds to be finalized goes with the second.
        System.gc();
        System.gc();
        tell(Wire.line(Wire.now(), name, "heap")
                .put("proxies", proxies.size())
                .put(
                        "used",
                        Runtime.getRuntime().totalMemory()
                                - Runtime.getRuntime().freeMemory()));
    }

    @Override
    public DistributionNode node(int proxy, List<String> scopes, DistributionNode.Output to) {
        return DistributionNode.proxy(
                new DistributionNode.Setup(
                        plan.machines() + proxy, plan.machines() + plan.proxies(), layout, terms, ring, random.split()),
                scopes,
                to);
    }

    @Override
    public InetSocketAddress machine(int number) {
        return machines.get(number);
    }

    @Override
    public int machine(InetSocketAddress address) {
        return numbers.getOrDefault(address, -1);
    }

    @Override
    public boolean passes(int proxy, int machine, boolean toMachine) {
        if (loss > 0 && random.nextDouble() < loss) {
            return false;
        }
        if (!toMachine && machine == unheard && proxy % unheardByOneIn == 0) {
            return false;
        }
        return cutRegion < 0
                || Plan.region(Plan.zone(proxy)) == cutRegion == (Plan.region(Plan.zone(machine)) == cutRegion);
    }

    @Override
    public void tell(ObjectNode line) {
        out.println(line);
    }
}
