package grebehoist.cli;

import grebehoist.search.SearchCommand;
import java.io.IOException;
import java.util.Arrays;

/**
 * The command line: {@code serve} runs one real proxy, {@code drill} the module on the simulator's wire, {@code train}
 * the warm-up alone, for the archive of loaded classes that makes starts fast, and {@code search} the fault search.
 */
public final class Main {
    private static final String USAGE = "usage: java -jar grebehoist.jar serve|train|drill|search";

    private Main() { }

    /**
     * Runs one of the commands.
     *
     * @param args the command and what it takes
     * @throws IOException if standard input or output of a command fails
     * @throws InterruptedException if a command is interrupted
     */
    public static void main(String[] args) throws IOException, InterruptedException {
        String command = args.length == 0 ? "" : args[0];
        String[] rest = args.length == 0 ? args : Arrays.copyOfRange(args, 1, args.length);
        switch (command) {
            case "serve" -> Serve.main(rest);
            case "train" -> Serve.train();
            case "drill" -> grebehoist.sim.Main.main(args);
            case "search" -> System.exit(SearchCommand.run(rest));
            default -> {
                System.err.println(USAGE);
                System.exit(2);
            }
        }
    }
}
