package grebehoist.lab;

/** Experiments as text. */
final class Text {
    private Text() {}

    /** One class of exponential work of 25 ms that has all the time it needs, on machines of one kind, by random choice. */
    static String queue(String kind, String work, double utilisation) {
        return """
                name = "queue"
                about = "theory"
                seconds = 1500
                warmup_s = 20
                proxies = 1
                policies = ["random"]
                [network]
                one_way_ms = 0
                [[kind]]
                name = "m"
                queue = 1000000
                %s
                [[class]]
                name = "read"
                share = 1
                aim_ms = 600000
                deadline_ms = 600000
                mean_ms = 25
                %s
                [load]
                utilisation = %s
                """.formatted(kind, work, utilisation);
    }

    /** A fleet with a safe and an unsafe class, for 20 s. */
    static String fleet(int proxies, int machines, double utilisation, String more) {
        return """
                name = "fleet"
                about = "a fleet"
                seconds = 20
                warmup_s = 2
                proxies = %d
                policies = ["beechfall"]
                [[kind]]
                name = "std"
                machines = %d
                cold_s = 5
                cold_from = 0.5
                [[class]]
                name = "read"
                share = 0.7
                aim_ms = 600
                deadline_ms = 2000
                mean_ms = 20
                [[class]]
                name = "payment"
                share = 0.3
                aim_ms = 800
                deadline_ms = 3000
                worth = 4
                effect = "unsafe"
                mean_ms = 20
                [load]
                utilisation = %s
                retries = 1
                %s
                """.formatted(proxies, machines, utilisation, more);
    }

    static Experiment experiment(String text) {
        return Experiment.parse("test", text);
    }
}
