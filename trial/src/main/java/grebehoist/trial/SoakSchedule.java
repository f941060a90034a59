package grebehoist.trial;

import grebehoist.trial.SoakFault.Kind;
import grebehoist.trial.SoakFault.Target;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.StringJoiner;
import java.util.stream.Collectors;

/**
 * What goes wrong in one play of the soak, drawn from a seed.
 *
 * @param processes how many proxies there are
 * @param seconds how long faults begin
 */
record SoakSchedule(long seed, int processes, int seconds, List<SoakFault> faults) {
    /** One seed in so many has long messages. */
    private static final int LONG_MESSAGES_EACH = 4;
    /** For so many of the others there is one of the kinds that were added. */
    private static final int ADDED_EACH = 5;

    private static final long LONGEST_MS = 4_000;
    private static final long LONGEST_CALL_MS = 1_500;
    /** The first seconds of a process's life, in which it starts. */
    private static final long START_MS = 3_000;

    private static final List<String> SOCKET_ERRORS = List.of("EMFILE", "ENFILE", "ENOBUFS", "ENOMEM");
    private static final List<String> CONNECT_ERRORS =
            List.of("EADDRNOTAVAIL", "ENETUNREACH", "ECONNREFUSED", "ETIMEDOUT", "EAGAIN");
    private static final List<String> ACCEPT_ERRORS =
            List.of("ECONNABORTED", "EMFILE", "ENFILE", "ENOBUFS", "ENOMEM", "EPROTO");
    private static final List<String> BIND_ERRORS = List.of("EADDRINUSE", "EADDRNOTAVAIL", "ENOBUFS");
    private static final List<String> WRITE_ERRORS = List.of("ENOSPC", "EIO", "EDQUOT", "EROFS");
    private static final List<String> READ_ERRORS = List.of("EMFILE", "ENFILE", "EIO", "ENOMEM");
    private static final List<String> BROKEN_ERRORS = List.of("ETIMEDOUT", "EHOSTUNREACH", "ECONNRESET", "EIO");
    private static final List<Long> CLOCK_STEPS_MS = List.of(-3_600_000L, 3_600_000L, -5_000L, 5_000L, 1_000L);

    SoakSchedule {
        faults = List.copyOf(faults);
    }

    /** Draws one. */
    static SoakSchedule draw(long seed, int leastProcesses, int mostProcesses, int seconds, Set<Kind> kinds) {
        var random = new SplittableRandom(seed);
        int processes = random.nextInt(leastProcesses, mostProcesses + 1);
        // About a fault in each second and for each four processes: some overlap at any time.
        int number = seconds * (1 + processes / 4) / 2;
        Map<Boolean, List<Kind>> byAge = kinds.stream().collect(Collectors.partitioningBy(Kind::added));
        var faults = new ArrayList<SoakFault>(draw(random, byAge.get(false), number, seconds));
        faults.addAll(draw(new SplittableRandom(~seed), byAge.get(true), number / ADDED_EACH, seconds));
        faults.sort(Comparator.comparingLong(SoakFault::atMs));
        return new SoakSchedule(seed, processes, seconds, faults);
    }

    private static List<SoakFault> draw(SplittableRandom random, List<Kind> kinds, int number, int seconds) {
        var faults = new ArrayList<SoakFault>();
        for (int i = 0; i < number && !kinds.isEmpty(); i++) {
            Kind kind = kinds.get(random.nextInt(kinds.size()));
            long most = kind.target() == Target.SYSTEM_CALL ? LONGEST_CALL_MS : LONGEST_MS;
            faults.add(new SoakFault(
                    kind, random.nextLong(seconds * 1_000L), random.nextLong(300, most), random.nextInt(1_000)));
        }
        return faults;
    }

    /** Returns whether there are long and slow messages among the others. */
    boolean longMessages() {
        return seed % LONG_MESSAGES_EACH == LONG_MESSAGES_EACH - 1;
    }

    SoakSchedule with(List<SoakFault> fewer) {
        return new SoakSchedule(seed, processes, seconds, fewer);
    }

    /**
     * Returns the rules of the preloaded library for one process; each fault of a system call is had by a third of them. Its windows count from the process's own start, so that they come again in
     * each of its lives, also while it starts.
     *
     * @param listenPort a live client's connection is not broken, as the answer on it would be lost by no fault of the proxy
     */
    String systemCalls(int process, int listenPort) {
        var rules = new StringJoiner(";");
        for (SoakFault f : faults) {
            if (f.kind().target() == Target.SYSTEM_CALL && (f.target() + process) % 3 == 0 && canBeJudged(f.kind())) {
                rules.add(rule(f, listenPort));
            }
        }
        return rules.toString();
    }

    /**
     * An answer that has begun can't be finished where the connection that it comes on is made to break (PROTOCOL, Figures). The witness sees a
     * backend that still gives it, and takes that for a cut.
     */
    private boolean canBeJudged(Kind kind) {
        return !longMessages() || kind != Kind.BROKEN_READ && kind != Kind.BROKEN_WRITE;
    }

    private String rule(SoakFault f, int listenPort) {
        String window = ",from=" + (f.target() % 3 == 0 ? f.atMs() % START_MS : START_MS + f.atMs()) + ",for="
                + f.forMs() + ",every=" + seconds * 1_000L;
        return switch (f.kind()) {
            case SOCKET -> "call=socket" + error(SOCKET_ERRORS, f) + window;
            case CONNECT -> "call=connect" + error(CONNECT_ERRORS, f) + window;
            case ACCEPT -> "call=accept" + error(ACCEPT_ERRORS, f) + window;
            case SLOW_ACCEPT -> "call=accept,action=delay,pause=8" + window;
            case BIND -> "call=bind" + error(BIND_ERRORS, f) + window;
            case STATE_WRITE -> "call=create,path=grebehoist-" + error(WRITE_ERRORS, f) + window;
            case STATE_READ ->
                "call=opendir,path=grebehoist-" + error(READ_ERRORS, f) + window + ";call=open,path=process-"
                        + error(READ_ERRORS, f) + window;
            case STATE_DELETE -> "call=unlink,path=grebehoist-,errno=EIO" + window;
            case CONFIGURATION_READ -> "call=open,path=.json" + error(READ_ERRORS, f) + window;
            case WAIT ->
                "call=epoll_wait,errno=EINTR,percent=50" + window + ";call=receive,errno=EINTR,percent=20" + window;
            case SHORT -> "call=send,action=short" + window + ";call=receive,action=short" + window;
            case BROKEN_READ -> "call=receive,percent=5,except=" + listenPort + error(BROKEN_ERRORS, f) + window;
            case BROKEN_WRITE -> "call=send,percent=5,except=" + listenPort + error(BROKEN_ERRORS, f) + window;
            case CLOCK -> "call=clock,shift=" + CLOCK_STEPS_MS.get(f.target() % CLOCK_STEPS_MS.size()) + window;
            default -> throw new IllegalStateException("no system call: " + f);
        };
    }

    private static String error(List<String> errors, SoakFault f) {
        return ",errno=" + errors.get(f.target() % errors.size());
    }
}
