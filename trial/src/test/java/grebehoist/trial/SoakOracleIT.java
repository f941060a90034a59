package grebehoist.trial;

import static org.assertj.core.api.Assertions.assertThat;

import grebehoist.trial.SoakFault.Kind;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.api.parallel.Execution;
import org.junit.jupiter.api.parallel.ExecutionMode;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/** The soak's oracle is itself tested: each of these defects, planted one at a time, is found. */
@Timeout(120)
@Execution(ExecutionMode.CONCURRENT)
class SoakOracleIT {
    private static final String DAEMON = "daemon/src/main/java/grebehoist/";
    private static final String DISCOVERY = DAEMON + "discovery/Discovery.java";
    private static final String ENGINE = "core/src/main/java/grebehoist/engine/Engine.java";
    private static final String POLICY = "core/src/main/java/beechfall/Policy.java";
    private static final int PROCESSES = 3;
    private static final int SECONDS = 8;
    private static final int KINDS_AT_ONE = 4;
    private static final long SEED = 52;
    /** More than a soak asks of each process, so that a backend that is back cold could be overloaded. */
    private static final double CORES_FOR_EACH = 2;

    @TempDir
    Path directory;

    /** One place that is changed. */
    private record Change(String source, String sound, String defective) {}

    private static final Change NO_LOOK = new Change(
            DAEMON + "http/ClientConnection.java",
            "return front.clientState(channel, arrival);",
            "return ClientState.PRESENT;");

    /** A defect, what has to go wrong outside for it to show, and what the finding says. */
    private record Defect(String name, List<Change> changes, List<Kind> faults, String finding) {
        @Override
        public String toString() {
            return name;
        }
    }

    static Stream<Defect> defects() {
        return Stream.of(
                new Defect(
                        "watch not reopened",
                        List.of(
                                new Change(
                                        DISCOVERY,
                                        "if (!wanted || watch != null && !watch.hasEnded()) {",
                                        "if (loop != null) {"),
                                new Change(DISCOVERY, "sink.members(ListKind.FAILED, List.of());", "heard = true;")),
                        List.of(Kind.DISCOVERY_DOWN),
                        "asks discovery no more"),
                new Defect(
                        "suspension lost on ENOSPC",
                        List.of(
                                new Change(
                                        DAEMON + "operations/StateDirectory.java",
                                        "pending.put(request.file, request);\n        tell();",
                                        "pending.put(request.file, request);"),
                                new Change(
                                        DAEMON + "operations/StateFiles.java",
                                        "Files.createFile(file);",
                                        "throw new IOException(\"no space left on device\");")),
                        List.of(Kind.SUSPEND),
                        "rule: rule 3"),
                new Defect(
                        "reload dropped",
                        List.of(new Change(
                                DAEMON + "cli/ConfigurationReloader.java",
                                "if (number == requests.get()) {",
                                "if (number > requests.get()) {")),
                        List.of(Kind.RELOAD),
                        "has not taken its new configuration over"),
                new Defect(
                        "attempt after the client left",
                        List.of(
                                new Change(
                                        DAEMON + "http/Exchange.java",
                                        "            front.intake().clientGone(id);\n        }\n    }\n\n    /** How far",
                                        "        }\n    }\n\n    /** How far"),
                                NO_LOOK),
                        List.of(
                                Kind.HANG_UPS,
                                Kind.SLOW,
                                Kind.RESET,
                                Kind.HANG_UPS,
                                Kind.SLOW,
                                Kind.RESET,
                                Kind.SLOW,
                                Kind.RESET,
                                Kind.SLOW,
                                Kind.RESET,
                                Kind.SLOW,
                                Kind.RESET),
                        "rule: "),
                new Defect(
                        "client not looked for before the first byte",
                        List.of(NO_LOOK),
                        List.of(Kind.SLOW_ACCEPT, Kind.NEW_CLIENTS),
                        "after its client left"),
                new Defect(
                        "age taken at the read",
                        List.of(new Change(
                                "net/src/main/java/grebehoist/net/ClientFront.java",
                                "return timers.resolved(arrival.mayHaveComeUs());",
                                "return arrival.readUs();")),
                        List.of(Kind.SLOW_ACCEPT, Kind.NEW_CLIENTS),
                        "was told a deadline"),
                new Defect(
                        "retry outside the window",
                        List.of(new Change(POLICY, "&& now + r.readUs < a.sentAt + r.type.windowUs()\n", "\n")),
                        List.of(Kind.SLOW, Kind.RESET, Kind.SLOW, Kind.RESET),
                        "invariant repeat"),
                new Defect(
                        "close unanswered",
                        List.of(new Change(
                                DAEMON + "http/ClientConnection.java",
                                "            next.begin();\n        } catch",
                                "            next.begin();\n            if (exchange == next && System.nanoTime() % 16 == 0) {\n                close(CutOff.CLIENT_FAILED);\n"
                                        + "            }\n        } catch")),
                        List.of(Kind.SLOW),
                        "invariant unanswered_close"),
                new Defect(
                        "cold budget ignored",
                        List.of(
                                new Change(
                                        "core/src/main/java/beechfall/SlowStart.java",
                                        "return hasTurn(s, steadyPerUs * rules.fallUs(), balancers, rank, now) ? tokens : 0;",
                                        "return 1e9;"),
                                new Change(
                                        POLICY,
                                        "double deadline = s.deadline() * (trust ? 1 : DISTRUST);",
                                        "double deadline = s.warmth(now, rules) < 1 ? 0 : s.deadline();"),
                                new Change(
                                        POLICY,
                                        "order.position(s) <= border || s.warmth(now, rules) < 1;\n            if (coldBudget(s) >= 1 && open && deadline < earliest && hasRoom(s)) {",
                                        "order.position(s) <= border || s.warmth(now, rules) < 1;\n            if (open && deadline < earliest) {")),
                        List.of(Kind.CRASH),
                        "invariant slow_start"),
                new Defect(
                        "deadline too long",
                        List.of(
                                new Change(
                                        ENGINE,
                                        "attempt = transport.attempt(backend, request.request.payload(), startedAt + timeoutUs, this);",
                                        "attempt = transport.attempt(backend, request.request.payload(), request.deadlineUs + 500_000, this);")),
                        List.of(),
                        "invariant deadline"));
    }

    /** Kinds beyond the first {@link #KINDS_AT_ONE} befall further backends at the same times. */
    private static SoakSchedule schedule(List<Kind> kinds) {
        var faults = new ArrayList<SoakFault>();
        for (int i = 0; i < 3 * PROCESSES; i++) {
            for (int k = 0; k < kinds.size(); k++) {
                long atMs = 500 + 800L * i + 300L * (k % KINDS_AT_ONE);
                faults.add(new SoakFault(kinds.get(k), atMs, 3_000, 3 * i + i / PROCESSES + k / KINDS_AT_ONE));
            }
        }
        return new SoakSchedule(SEED, PROCESSES, SECONDS, faults);
    }

    @ParameterizedTest
    @MethodSource("defects")
    void isFound(Defect defect) throws Exception {
        DefectiveProgram program = DefectiveProgram.in(directory.resolve("classes"));
        for (Change change : defect.changes()) {
            program.change(change.source(), change.sound(), change.defective());
        }
        SoakPlay.Verdict verdict = play(schedule(defect.faults()), program.program());
        System.out.println(defect + ": "
                + verdict.findings().stream()
                        .map(f -> f.substring(0, Math.min(160, f.length())))
                        .limit(3)
                        .toList());
        assertThat(verdict.findings()).as(verdict.summary()).anyMatch(f -> f.contains(defect.finding()));
    }

    private static SoakPlay.Verdict play(SoakSchedule schedule, SoakProgram program)
            throws IOException, InterruptedException {
        try (var play = new SoakPlay(schedule, program, CORES_FOR_EACH)) {
            return play.run();
        }
    }
}
