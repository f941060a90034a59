package grebehoist.cli;

import grebehoist.installation.Installation;
import grebehoist.writer.Change;
import grebehoist.writer.ChangeStream;
import grebehoist.writer.FleetStatus;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayDeque;
import java.util.Arrays;
import java.util.Deque;
import java.util.List;
import java.util.Locale;
import java.util.NoSuchElementException;

/** The commands {@code change} and {@code status}: what is distributed, changed and looked at through the doors of the control machines. */
final class ChangeCommand {
    private static final String CHANGE = "usage: change --installation FILE (--stdin | --scope S"
            + " (--create [--base VERSION] | --suspend ID | --resume ID | --set KIND KEY VALUE | --remove KEY))";
    private static final String STATUS = "usage: status --installation FILE [--scope S]";
    private static final int NOT_TAKEN = 1;
    private static final int BAD = 2;

    private ChangeCommand() {}

    /** What can't be done with what the command line says. */
    private static final class Usage extends Exception {
        private static final long serialVersionUID = 1L;

        Usage(String what) {
            super(what);
        }
    }

    /** What the command line says. */
    private static final class Options {
        private Path file;
        private String scope;
        private boolean stdin;
        private Change.Op op;
        private long base;
        private int kind;
        private String key = "";
        private String value;

        private Options(Deque<String> words) throws Usage {
            String word = "";
            try {
                while (!words.isEmpty()) {
                    word = words.pop();
                    switch (word) {
                        case "--installation" -> file = Path.of(words.pop());
                        case "--scope" -> scope = words.pop();
                        case "--stdin" -> stdin = true;
                        case "--base" -> base = number(word, words.pop());
                        case "--create" -> op(Change.Op.CREATE);
                        case "--suspend", "--resume", "--remove" -> {
                            op(Change.Op.valueOf(word.substring(2).toUpperCase(Locale.ROOT)));
                            key = words.pop();
                        }
                        case "--set" -> {
                            op(Change.Op.SET);
                            kind = (int) Math.min(Integer.MAX_VALUE, number(word, words.pop()));
                            key = words.pop();
                            value = words.pop();
                        }
                        default -> throw new Usage("'" + word + "' is unknown");
                    }
                }
            } catch (NoSuchElementException e) {
                throw new Usage(word + " wants more");
            }
            if (file == null) {
                throw new Usage("--installation is missing");
            }
        }

        private static long number(String option, String text) throws Usage {
            if (!text.matches("[0-9]{1,15}")) {
                throw new Usage(option + ": a whole number is wanted, not '" + text + "'");
            }
            return Long.parseLong(text);
        }

        private void op(Change.Op next) throws Usage {
            if (op != null) {
                throw new Usage("one change is wanted, not --" + op.word() + " and --" + next.word());
            }
            op = next;
        }
    }

    /** Makes changes; returns 0 where all were taken, 1 where not, 2 for a bad command line or file. */
    static int change(String... args) throws IOException, InterruptedException {
        try {
            var options = new Options(new ArrayDeque<>(Arrays.asList(args)));
            if (options.stdin == (options.op != null) || options.stdin != (options.scope == null)) {
                throw new Usage(
                        options.stdin
                                ? "--stdin stands without --scope and a change"
                                : "--scope and a change are wanted, or --stdin");
            }
            Change one = options.stdin
                    ? null
                    : Change.of(options.op, options.scope, options.base, options.kind, options.key, options.value);
            Installation.DistributionEntry entry = read(options.file);
            var changes = new ChangeStream(
                    Distribution.layout(entry),
                    entry.machines().stream()
                            .map(Installation.ControlEntry::door)
                            .toList(),
                    System.out);
            if (options.stdin) {
                changes.addAll(System.in);
            } else {
                changes.add(one);
            }
            return changes.end() ? 0 : NOT_TAKEN;
        } catch (Usage | Change.BadChange e) {
            return bad(List.of(e.getMessage(), CHANGE));
        } catch (Installation.BadInstallation e) {
            return bad(e.problems());
        }
    }

    /** Tells how far changes have got; returns 0 where all machines have answered, 1 where not, 2 for a bad command line or file. */
    static int status(String... args) {
        try {
            var options = new Options(new ArrayDeque<>(Arrays.asList(args)));
            if (options.stdin || options.op != null) {
                throw new Usage("nothing is changed here");
            }
            Installation.DistributionEntry entry = read(options.file);
            var status = new FleetStatus(
                    Distribution.layout(entry),
                    entry.machines().stream()
                            .map(Installation.ControlEntry::door)
                            .toList(),
                    System.out);
            return status.tell(options.scope) ? 0 : NOT_TAKEN;
        } catch (Usage e) {
            return bad(List.of(e.getMessage(), STATUS));
        } catch (Installation.BadInstallation e) {
            return bad(e.problems());
        }
    }

    private static Installation.DistributionEntry read(Path file) throws Installation.BadInstallation, Usage {
        Installation.DistributionEntry entry = Installation.read(file).distribution();
        if (entry == null) {
            throw new Usage(file + ": there is no [distribution]");
        }
        return entry;
    }

    private static int bad(List<String> lines) {
        lines.forEach(System.err::println);
        return BAD;
    }
}
