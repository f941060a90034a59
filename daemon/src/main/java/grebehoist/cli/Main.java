package grebehoist.cli;

import grebehoist.demo.Demo;
import grebehoist.search.SearchCommand;
import java.io.IOException;
import java.nio.file.Path;
import java.util.Arrays;

/**
 * The command line: {@code serve} runs one real proxy, or one of the machines that are set aside; {@code check} reads an installation file
 * and says what is wrong with it; {@code change} and {@code status} change what is distributed to proxies and tell how far that has got;
 * {@code drill} hosts the module on the simulator's wire; {@code train} runs the warm-up alone, for the archive of loaded classes that makes
 * starts fast; {@code demo} shows the main job, and {@code search} is the fault search.
 */
public final class Main {
    private static final String USAGE =
            "usage: java -jar grebehoist.jar serve [--installation FILE] | check FILE | change ... | status ... | demo ... | search ..."
                    + " | train | drill";

    private Main() {}

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
            case "check" -> System.exit(rest.length == 1 ? InstalledPools.check(Path.of(rest[0])) : usage());
            case "change" -> System.exit(ChangeCommand.change(rest));
            case "status" -> System.exit(ChangeCommand.status(rest));
            case "demo" -> System.exit(Demo.run(rest));
            case "search" -> System.exit(SearchCommand.run(rest));
            default -> System.exit(usage());
        }
    }

    private static int usage() {
        System.err.println(USAGE);
        return 2;
    }
}
