import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;

/** What was sent, answered and run, a line each, with the milliseconds since the case began. */
final class Record implements AutoCloseable {
    private final PrintWriter out;
    private final long beganNs = System.nanoTime();
    private int broken;

    Record(Path file) throws IOException {
        out = new PrintWriter(Files.newBufferedWriter(file));
    }

    /** Returns the milliseconds since the case began. */
    long now() {
        return (System.nanoTime() - beganNs) / 1_000_000;
    }

    synchronized void line(String text) {
        out.printf("%7d %s%n", now(), text);
        out.flush();
    }

    /** The rule is broken. */
    synchronized void broken(String how) {
        broken++;
        line("BROKEN " + how);
    }

    synchronized int broken() {
        return broken;
    }

    @Override
    public void close() {
        out.close();
    }
}
