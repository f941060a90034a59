package grebehoist.benchmarks;

import java.util.Arrays;

/** {@code jmh ...} runs the JMH benchmarks, {@code loopback ...} the comparison of hops. */
public final class Main {
    private Main() { }

    /** Runs one of the two. */
    public static void main(String[] args) throws Exception {
        String[] rest = args.length == 0 ? args : Arrays.copyOfRange(args, 1, args.length);
        switch (args.length == 0 ? "" : args[0]) {
            case "jmh" -> org.openjdk.jmh.Main.main(rest);
            case "loopback" -> Loopback.main(rest);
            default -> {
                System.err.println("usage: java -jar benchmarks.jar jmh [JMH's words] | loopback [--seconds N] [--runs N]");
                System.exit(2);
            }
        }
    }
}
