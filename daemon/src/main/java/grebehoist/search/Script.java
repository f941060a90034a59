package grebehoist.search;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.SplittableRandom;

/**
 * A world and what goes wrong in it; together with the program it determines a run. Its text is its first line and a
 * line for each step, and can be read back.
 *
 * @param seed of all that the stand-ins draw: arrivals, costs, classes
 * @param load the part of the backends' capacity that clients ask for
 * @param protocol left out of the text where it is HTTP
 */
record Script(long seed, int proxies, int backends, double load, long lengthMs, Protocol protocol, List<Step> steps) {
    /**
     * One thing that goes wrong.
     *
     * @param target which backend or proxy, in the order in which they came; counted round where there are fewer
     * @param forMs how long it lasts
     * @param size how bad it is, where that means something
     */
    record Step(long atMs, Fault fault, int target, long forMs, double size) {
        @Override
        public String toString() {
            return String.format(Locale.ROOT, "%d %s %d %d %.2f", atMs, fault, target, forMs, size);
        }
    }

    /** How many things go wrong at most. */
    private static final int MOST_STEPS = 8;

    Script {
        steps = List.copyOf(steps);
    }

    /** Draws a script over HTTP. */
    static Script draw(long seed) {
        return draw(seed, Protocol.HTTP);
    }

    /** Draws a script; with the same seed it is the same over each protocol. */
    static Script draw(long seed, Protocol protocol) {
        var random = new SplittableRandom(seed);
        int proxies = 1 + random.nextInt(3);
        int backends = 2 + random.nextInt(6);
        // As many digits as its text has: a script that is read back is the same.
        double load = random.nextInt(200, 1_100) / 1_000.0;
        long length = random.nextLong(2_500, 5_000);
        int count = 1 + random.nextInt(MOST_STEPS);
        var steps = new ArrayList<Step>();
        Fault[] faults = Fault.values();
        for (int i = 0; i < count; i++) {
            Fault fault = faults[random.nextInt(faults.length)];
            steps.add(new Step(
                    random.nextLong(length),
                    fault,
                    random.nextInt(8),
                    1 + (long) (1_500 * Math.pow(random.nextDouble(), 2)),
                    (fault == Fault.SLOW || fault == Fault.BURST ? random.nextInt(150, 800) : random.nextInt(5, 60))
                            / 100.0));
        }
        return new Script(seed, proxies, backends, load, length, protocol, steps);
    }

    Script with(List<Step> others) {
        return new Script(seed, proxies, backends, load, lengthMs, protocol, others);
    }

    Script lasting(long ms) {
        return new Script(seed, proxies, backends, load, ms, protocol, steps);
    }

    Script under(double otherLoad) {
        return new Script(seed, proxies, backends, Math.round(otherLoad * 1_000) / 1_000.0, lengthMs, protocol, steps);
    }

    Script withProxies(int number) {
        return new Script(seed, number, backends, load, lengthMs, protocol, steps);
    }

    @Override
    public String toString() {
        var text = new StringBuilder(String.format(
                Locale.ROOT,
                "seed=%d proxies=%d backends=%d load=%.3f length=%d",
                seed,
                proxies,
                backends,
                load,
                lengthMs));
        text.append(protocol == Protocol.HTTP ? "" : " protocol=" + protocol);
        steps.forEach(s -> text.append('\n').append(s));
        return text.append('\n').toString();
    }

    /**
     * Reads the text of a script.
     *
     * @throws IllegalArgumentException if it is none; the message names the line
     */
    static Script parse(String text) {
        String[] lines = text.strip().split("\\R");
        var head = new ArrayList<String>();
        for (String field : lines[0].trim().split("\\s+")) {
            head.add(field.substring(field.indexOf('=') + 1));
        }
        if (!lines[0].trim().matches("seed=\\S+ proxies=\\S+ backends=\\S+ load=\\S+ length=\\S+( protocol=\\S+)?")) {
            throw new IllegalArgumentException(
                    "line 1: 'seed=N proxies=N backends=N load=X length=MS [protocol=P]' is wanted");
        }
        var steps = new ArrayList<Step>();
        int number = 1;
        try {
            for (; number < lines.length; number++) {
                String line = lines[number].replaceAll("#.*", "").trim();
                if (!line.isEmpty()) {
                    String[] f = line.split("\\s+");
                    steps.add(new Step(
                            Long.parseLong(f[0]),
                            Fault.valueOf(f[1]),
                            Integer.parseInt(f[2]),
                            Long.parseLong(f[3]),
                            Double.parseDouble(f[4])));
                }
            }
            number = 0;
            return new Script(
                    Long.parseLong(head.get(0)),
                    Integer.parseInt(head.get(1)),
                    Integer.parseInt(head.get(2)),
                    Double.parseDouble(head.get(3)),
                    Long.parseLong(head.get(4)),
                    head.size() > 5 ? Protocol.valueOf(head.get(5)) : Protocol.HTTP,
                    steps);
        } catch (IllegalArgumentException | IndexOutOfBoundsException e) {
            throw new IllegalArgumentException("line " + (number + 1)
                    + ": 'AT_MS FAULT TARGET FOR_MS SIZE' is wanted, with a fault of the list: " + e.getMessage());
        }
    }
}
