package grebehoist.trial.scale;

import java.io.BufferedOutputStream;
import java.io.BufferedReader;
import java.io.FileDescriptor;
import java.io.FileOutputStream;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.OutputStreamWriter;
import java.io.PrintWriter;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;

/** A process of hollow proxies, started by {@code scale}, told what to do by lines on its standard input. */
@Command(name = "hollow", hidden = true, description = "A process of hollow proxies; scale starts it.")
public final class HollowCommand implements Callable<Integer> {
    @Override
    public Integer call() throws IOException {
        var in = new BufferedReader(new InputStreamReader(System.in, StandardCharsets.UTF_8));
        var out = new PrintWriter(new OutputStreamWriter(
                new BufferedOutputStream(new FileOutputStream(FileDescriptor.out), 1 << 16), StandardCharsets.UTF_8));
        var loop = new HollowLoop(Wire.JSON.readTree(in.readLine()), out);
        loop.hear(in);
        loop.run();
        return 0;
    }
}
