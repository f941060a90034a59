package grebehoist.sim;

import java.io.FileDescriptor;
import java.io.FileOutputStream;
import java.io.IOException;

/** The command line: {@code drill} hosts instances of the module on standard input and output. */
public final class Main {
    private Main() {}

    /**
     * Runs the host.
     *
     * @param args the single word {@code drill}
     * @throws IOException if standard input or output fails
     */
    public static void main(String[] args) throws IOException {
        if (args.length != 1 || !args[0].equals("drill")) {
            System.err.println("usage: java -jar grebehoist.jar drill");
            System.exit(2);
        }
        try (var out = new FileOutputStream(FileDescriptor.out)) {
            int code = new Host().run(System.in, out, System.err);
            if (code != 0) {
                System.exit(code);
            }
        }
    }
}
