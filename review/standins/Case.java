import java.nio.file.Path;

/** Runs a case and ends the process with its verdict: 1 if the rule was broken, 0 if it held, 2 if the case could not run. */
final class Case {
    /** What is played. */
    interface Play {
        void run(Record record) throws Exception;
    }

    private Case() {}

    static void run(String[] args, Play play) throws Exception {
        int code;
        try (var record = new Record(Path.of(args[0]))) {
            try {
                play.run(record);
                String verdict = record.broken() > 0 ? "the rule was broken " + record.broken() + " times" : "the rule held";
                record.line(verdict);
                System.out.println(verdict);
                code = record.broken() > 0 ? 1 : 0;
            } catch (Exception e) {
                record.line("the case could not run: " + e);
                e.printStackTrace();
                code = 2;
            }
        }
        System.exit(code);
    }
}
