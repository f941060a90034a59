package grebehoist.cli;

import java.io.IOException;

/**
 * The command line: {@code serve} runs one real proxy, {@code drill} the module on the simulator's wire, and
 * {@code train} the warm-up alone, for the archive of loaded classes that makes starts fast.
 */
public final class Main {
    private Main() { }

    /**
     * Runs one of the commands.
     *
     * @param args one word, the command
     * @throws IOException if standard input or output of {@code drill} fails
     */
    public static void main(String[] args) throws IOException {
        String command = args.length == 1 ? args[0] : "";
        switch (command) {
            case "serve" -> Serve.main(args);
            case "train" -> Serve.train();
            case "drill" -> grebehoist.sim.Main.main(args);
            default -> {
                System.err.println("usage: java -jar grebehoist.jar serve|train|drill");
                System.exit(2);
            }
        }
    }
}
