import java.nio.file.Path;

/** Runs a case and ends the process with its verdict, which run-case.sh knows from what the runtime itself may end with. */
final class Case {
    /** What is played. */
    interface Play {
        void run(Record record) throws Exception;
    }

    private static final int HELD = 40;
    private static final int BROKEN = 41;
    private static final int COULD_NOT_RUN = 42;

    private Case() {}

    static void run(String[] args, Play play) throws Exception {
        int code;
        try (var record = new Record(Path.of(args[0]))) {
            try {
                play.run(record);
                String verdict = record.broken() > 0 ? "the rule was broken " + record.broken() + " times" : "the rule held";
                record.line(verdict);
                System.out.println(verdict);
                code = record.broken() > 0 ? BROKEN : HELD;
            } catch (Exception e) {
                record.line("the case could not run: " + e);
                e.printStackTrace();
                code = COULD_NOT_RUN;
            }
        }
        System.exit(code);
    }
}
