package grebehoist.benchmarks;

import grebehoist.benchmarks.slopes.Slopes;
import java.util.Arrays;

/**
 * {@code jmh ...} runs the JMH benchmarks, {@code loopback ...} the comparison of hops, {@code halfframes} what idle halves cost,
 * {@code slopes ...} how figures grow with size.
 */
public final class Main {
    private Main() {}

    /** Runs one of them. */
    public static void main(String[] args) throws Exception {
        String[] rest = args.length == 0 ? args : Arrays.copyOfRange(args, 1, args.length);
        switch (args.length == 0 ? "" : args[0]) {
            case "jmh" -> org.openjdk.jmh.Main.main(rest);
            case "loopback" -> Loopback.main(rest);
            case "halfframes" -> HalfFrames.main(rest);
            case "slopes" -> System.exit(Slopes.run(rest));
            default -> {
                System.err.println(
                        "usage: java -jar benchmarks.jar jmh [JMH's words] | loopback [--seconds N] [--runs N]"
                                + " | halfframes [--connections N] | slopes [NAME ...]");
                System.exit(2);
            }
        }
    }
}
