package grebehoist.installation;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.catchThrowableOfType;

import beechfall.Balancer;
import grebehoist.tasks.TaskSpec;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** The installation file: what it says, and all that is wrong with it in one go. */
class InstallationTest {
    private static final String GOOD = """
            [process]
            name = "edge"
            sockets = 512

            [[pool]]
            name = "billing"
            protocol = "http"
            discovery = "127.0.0.1:8500"
            discovery_mode = "push"
            zone = "ulven"
            balancers = 3
            rank = 2
            seed = "ff"
            over_share_worth = 0.1
            [pool.rules]
            cold_from = 0.4
            cold_ms = 8100
            fall_multiple = 4.0
            fall_ms = 1000
            [[pool.class]]
            name = "read"
            effect = "safe"
            aim_ms = 600
            deadline_ms = 2000
            [[pool.class]]
            name = "pay"
            effect = "keyed"
            scope = "zone"
            window_ms = 1200
            aim_ms = 400
            deadline_ms = 2000
            worth = 10
            [[pool.tenant]]
            name = "acme"
            quota_per_s = 12.5

            [[listener]]
            name = "in"
            protocol = "http"
            address = "127.0.0.1:8080"
            pool = "billing"
            """;

    @TempDir
    private Path folder;

    private Path file(String text) throws Exception {
        return Files.writeString(folder.resolve("i.toml"), text);
    }

    private List<String> problems(String text) throws Exception {
        Path file = file(text);
        var bad = catchThrowableOfType(Installation.BadInstallation.class, () -> Installation.read(file));
        assertThat(bad).as("a bad file is taken for a good one").isNotNull();
        return bad.problems().stream()
                .map(p -> {
                    assertThat(p).startsWith(file + ": ");
                    return p.substring(file.toString().length() + 2);
                })
                .toList();
    }

    @Test
    void readsPoolsAndListeners() throws Exception {
        Installation i = Installation.read(file(GOOD));
        assertThat(i.name()).isEqualTo("edge");
        assertThat(i.sockets()).isEqualTo(512);
        assertThat(i.listeners()).hasSize(1);
        assertThat(i.listeners().get(0).address().getPort()).isEqualTo(8080);
        Balancer.Settings settings = i.pools().get(0).settings();
        assertThat(settings.classes())
                .containsExactly(
                        new Balancer.RequestClass(
                                "read", 600_000, 2_000_000, 1, 0, Balancer.Effect.SAFE, Balancer.Scope.ALL, 0),
                        new Balancer.RequestClass(
                                "pay",
                                400_000,
                                2_000_000,
                                10,
                                0,
                                Balancer.Effect.KEYED,
                                Balancer.Scope.ZONE,
                                1_200_000));
        assertThat(settings.tenants()).containsExactly(new Balancer.Tenant("acme", 12.5));
        assertThat(settings.limits()).isEqualTo(new Balancer.Limits(true, false, false, false, 4, 2_000_000));
        assertThat(settings.rules()).isEqualTo(new Balancer.Rules(0.4, 8_100_000, 4, 1_000_000, 10_000_000, false));
        assertThat(settings.seed()).isEqualTo(255);
        assertThat(settings.rank()).isEqualTo(2);
        assertThat(settings.overShareWorth()).isEqualTo(0.1);
        assertThat(i.pools().get(0).connIdleUs()).isEqualTo(15_000_000);
    }

    @Test
    void theExampleInDeployIsGood() throws Exception {
        assertThat(Installation.read(Path.of("../deploy/installation.toml")).pools())
                .hasSize(2);
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "sockets = 512|sockets = 12|[process]: key 'sockets': a whole number from 128 to 1048576 is wanted, not 12",
                "sockets = 512|socket = 512|[process]: key 'socket': unknown",
                "[process]|[proces]|key 'proces': unknown",
                "name = \"billing\"|nam = \"x\"|[[pool]] number 1: key 'name': missing",
                "protocol = \"http\"|protocol = \"smtp\"|[[pool]] \"billing\": key 'protocol': 'smtp' is none of http, thrift",
                "discovery = \"127.0.0.1:8500\"|discovery = \"host:1\"|[[pool]] \"billing\": key 'discovery': 'host:1' is no numeric address and port",
                "discovery_mode = \"push\"|discovery_mode = \"pull\"|[[pool]] \"billing\": key 'discovery_mode': 'pull' is none of ask, push",
                "rank = 2|rank = 3|[[pool]] \"billing\": key 'rank': 3 is not below 'balancers', 3",
                "balancers = 3|balancers = 3.5|[[pool]] \"billing\": key 'balancers': a whole number from 1 to 1048576 is wanted, not 3.5",
                "seed = \"ff\"|seed = \"no\"|[[pool]] \"billing\": key 'seed': 'no' is no hexadecimal number of 64 bits",
                "cold_from = 0.4|cold_from = 2|[[pool]] \"billing\" / [rules]: key 'cold_from': a number from 0.001 to 1.0 is wanted, not 2",
                "fall_ms = 1000|fall_s = 1|[[pool]] \"billing\" / [rules]: key 'fall_ms': missing",
                "effect = \"safe\"|effect = \"nice\"|[[pool]] \"billing\" / [[pool.class]] \"read\": key 'effect': 'nice' is none of keyed, safe, unsafe",
                "effect = \"safe\"|effect = \"keyed\"|[[pool]] \"billing\" / [[pool.class]] \"read\": key 'scope': missing",
                "effect = \"keyed\"|effect = \"unsafe\"|[[pool]] \"billing\" / [[pool.class]] \"pay\": key 'scope': only a class with effect = \"keyed\" has it",
                "aim_ms = 600|aim_ms = 6000|[[pool]] \"billing\" / [[pool.class]] \"read\": key 'deadline_ms': it is before 'aim_ms'",
                "name = \"pay\"|name = \"read\"|[[pool]] \"billing\" / [[pool.class]] \"read\": key 'name': there are several of this name",
                "quota_per_s = 12.5|quota_per_s = \"many\"|[[pool]] \"billing\" / [[pool.tenant]] \"acme\": key 'quota_per_s': a number from 0.0 to 1.0E9 is wanted, not \"many\"",
                "pool = \"billing\"|pool = \"bills\"|[[listener]] \"in\": key 'pool': there is no [[pool]] \"bills\"",
                "address = \"127.0.0.1:8080\"|address = \"8080\"|[[listener]] \"in\": key 'address': '8080' is no numeric address and port",
                "address = \"127.0.0.1:8080\"|address = 8080|[[listener]] \"in\": key 'address': a text is wanted, not 8080"
            })
    void namesFileTableAndKey(String good, String bad, String problem) throws Exception {
        assertThat(GOOD).contains(good);
        assertThat(problems(GOOD.replace(good, bad))).contains(problem);
    }

    /** All of it at once: nobody wants to mend a file error by error. */
    @Test
    void findsAllErrorsInOneGo() throws Exception {
        assertThat(problems(GOOD.replace("sockets = 512", "sockets = 1")
                        .replace("effect = \"safe\"", "effect = 3")
                        .replace("zone = \"ulven\"", "room = \"ulven\"")
                        .replace("pool = \"billing\"", "pool = \"x\"")))
                .containsExactly(
                        "[process]: key 'sockets': a whole number from 128 to 1048576 is wanted, not 1",
                        "[[pool]] \"billing\" / [[pool.class]] \"read\": key 'effect': a text is wanted, not 3",
                        "[[pool]] \"billing\": key 'room': unknown",
                        "[[listener]] \"in\": key 'pool': there is no [[pool]] \"x\"",
                        "[[pool]] \"billing\": no [[listener]] has pool = \"billing\"");
    }

    @Test
    void twoListenersCannotShareAnAddressOrAName() throws Exception {
        String listener = GOOD.substring(GOOD.indexOf("[[listener]]"));
        assertThat(problems(GOOD + listener))
                .containsExactlyInAnyOrder(
                        "[[listener]] \"in\": key 'name': there are several of this name",
                        "[[listener]] \"in\": key 'address': another [[listener]] has it already");
    }

    @Test
    void wantsAPoolAndAListener() throws Exception {
        assertThat(problems(""))
                .containsExactly(
                        "key 'pool': at least one [[pool]] is wanted",
                        "key 'listener': at least one [[listener]] is wanted");
        assertThat(problems("pool = 3\n[listener]\nname = \"x\""))
                .containsExactly("key 'pool': it is written [[pool]]", "key 'listener': it is written [[listener]]");
    }

    @Test
    void saysWhereItIsNoToml() throws Exception {
        assertThat(problems("[process]\nname = = 3\n"))
                .hasSize(1)
                .first()
                .asString()
                .startsWith("line 2, column ")
                .contains("not TOML");
        assertThat(problems("[process]\n[process]\n"))
                .hasSize(1)
                .first()
                .asString()
                .contains("not TOML");
    }

    @Test
    void saysThatAFileCannotBeRead() {
        Path missing = folder.resolve("missing.toml");
        assertThat(catchThrowableOfType(Installation.BadInstallation.class, () -> Installation.read(missing))
                        .problems())
                .hasSize(1)
                .first()
                .asString()
                .startsWith(missing + ": cannot be read");
    }

    private static final String MEMBERSHIP = """
            [membership]
            listen = "127.0.0.1:7946"
            peers = ["127.0.0.1:7945", "127.0.0.1:7946"]
            zone = "ulven"
            [[membership.key]]
            id = 1
            secret = "00112233445566778899aabbccddeeff"
            """;

    @Test
    void readsWhoTheOtherProxiesAre() throws Exception {
        assertThat(Installation.read(file(GOOD)).membership()).isNull();
        Installation.MembershipEntry entry =
                Installation.read(file(GOOD + MEMBERSHIP)).membership();
        assertThat(entry.number()).isEqualTo(1);
        assertThat(entry.pauseUs()).isEqualTo(5_000_000);
        assertThat(entry.keys()).containsExactly(new Installation.KeyEntry(1, "00112233445566778899aabbccddeeff"));
        assertThat(Installation.read(Path.of("../deploy/membership.toml"))
                        .membership()
                        .peers())
                .hasSize(3);
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "listen = \"127.0.0.1:7946\"|listen = \"127.0.0.1:9\"|[membership]: key 'number': missing, and 'listen' is none of 'peers'",
                "zone = \"ulven\"|number = 2|[membership]: key 'number': there are 2 'peers', counted from 0",
                "\"127.0.0.1:7945\"|\"n1:7945\"|[membership]: key 'peers': 'n1:7945' is no numeric address and port",
                "\"127.0.0.1:7945\"|\"127.0.0.1:7946\"|[membership]: key 'peers': '127.0.0.1:7946' stands there twice",
                "\"127.0.0.1:7945\", ||[membership]: key 'peers': an array of 2 to 2000 texts is wanted",
                "id = 1|id = 256|[membership] / [[membership.key]] number 1: key 'id': a whole number from 0 to 255 is wanted, not 256",
                "00112233|0011223|[membership] / [[membership.key]] number 1: key 'secret': 16 to 64 bytes in hexadecimal are wanted",
                "zone = |zones = |[membership]: key 'zones': unknown"
            })
    void saysWhatIsWrongWithTheOtherProxies(String part, String other, String message) throws Exception {
        assertThat(problems(GOOD + MEMBERSHIP.replace(part, other == null ? "" : other)))
                .contains(message);
    }

    private static final String LEASE = """
            [lease]
            voters = [0, 1]
            [[task]]
            name = "books"
            class = "timed"
            call = "127.0.0.1:9000"
            every_ms = 1000
            act_ms = 500
            """;

    @Test
    void readsTheTasksOfTheFleet() throws Exception {
        assertThat(Installation.read(file(GOOD)).lease()).isNull();
        Installation.LeaseEntry lease =
                Installation.read(Path.of("../deploy/leases.toml")).lease();
        assertThat(lease.voters()).containsExactly(0, 1, 2);
        assertThat(lease.tasks()).extracting(TaskSpec::name).containsExactly("close-the-day", "remind");
        assertThat(lease.tasks()).extracting(TaskSpec::fenced).containsExactly(true, false);
        assertThat(lease.leaseUs()).isEqualTo(2_000_000);
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "voters = [0, 1]|voters = [0, 2]|[lease]: key 'voters': an array of 1 to 7 whole numbers from 0 to 1 is wanted, not [0,2]",
                "voters = [0, 1]|voters = [0, 0]|[lease]: key 'voters': 0 stands there twice",
                "voters = [0, 1]|voters = [0, 1]|[lease]: key 'voters': 3, 5 or 7 are wanted: 2 bear no more deaths than 1",
                "timed|both|[[task]] \"books\": key 'class': 'both' is none of fenced, timed",
                "act_ms = 500|act_ms = 1500|[[task]] \"books\": key 'act_ms': a timed call has to be over within half of 'lease_ms'",
                "every_ms = 1000||[[task]] \"books\": key 'every_ms': missing",
                "[lease]|[leases]|[[task]]: there is no [lease], so nobody can hold one"
            })
    void saysWhatIsWrongWithTasks(String part, String other, String message) throws Exception {
        assertThat(problems(GOOD + MEMBERSHIP + LEASE.replace(part, other == null ? "" : other)))
                .contains(message);
    }

    @Test
    void tasksWantMembers() throws Exception {
        assertThat(problems(GOOD + LEASE))
                .contains("[lease]: key 'voters': there is no [membership] whose numbers they could be");
    }

    private static final String DISTRIBUTION = """
            [distribution]
            role = "proxy"
            listen = "127.0.0.1:7950"
            number = 4
            scopes = ["fleet", "c1/billing"]
            [[distribution.control]]
            address = "127.0.0.1:7960"
            door = "127.0.0.1:8960"
            zone = "ulven"
            [[distribution.control]]
            address = "127.0.0.1:7961"
            door = "127.0.0.1:8961"
            zone = "alnes"
            [[distribution.key]]
            id = 1
            secret = "00112233445566778899aabbccddeeff"
            """;
    private static final String CONTROL = DISTRIBUTION
            .replace("\"proxy\"", "\"control\"")
            .replace("127.0.0.1:7950", "127.0.0.1:7961")
            .replaceAll("number.*\n|scopes.*\n", "");

    @Test
    void readsWhatIsDistributed() throws Exception {
        assertThat(Installation.read(file(GOOD)).distribution()).isNull();
        Installation.DistributionEntry proxy =
                Installation.read(file(GOOD + DISTRIBUTION)).distribution();
        assertThat(proxy.control()).isFalse();
        assertThat(proxy.number()).isEqualTo(4);
        assertThat(proxy.scopes()).containsExactly("fleet", "c1/billing");
        assertThat(proxy.door()).isNull();
        assertThat(proxy.machines()).extracting(Installation.ControlEntry::zone).containsExactly("ulven", "alnes");
        assertThat(Installation.read(
                                file(GOOD + DISTRIBUTION.replace("number = 4", "number = 4\ndoor = \"127.0.0.1:9\"")))
                        .distribution()
                        .door())
                .isEqualTo(new InetSocketAddress("127.0.0.1", 9));
        Installation example = Installation.read(Path.of("../deploy/distribution.toml"));
        assertThat(example.distribution().machines()).hasSize(3);
        assertThat(example.summary()).isEqualTo("1 pools, 1 listeners, 2 scopes of 3 control machines");
    }

    /** It serves nobody: neither a pool nor a listener is wanted. */
    @Test
    void aMachineThatIsSetAsideNeedsNoPool() throws Exception {
        Installation read = Installation.read(file(CONTROL));
        assertThat(read.summary()).isEqualTo("0 pools, 0 listeners, control machine 1 of 2");
        Installation.DistributionEntry machine = read.distribution();
        assertThat(machine.control()).isTrue();
        assertThat(machine.number()).isEqualTo(1);
        assertThat(machine.door()).isEqualTo(machine.machines().get(1).door());
        assertThat(machine.scopes()).isEmpty();
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "\"proxy\"|\"holder\"|[distribution]: key 'role': 'holder' is none of control, proxy",
                "\"proxy\"|\"control\"|[distribution]: key 'number': a machine's is its place among [[distribution.control]]",
                "\"proxy\"|\"control\"|[distribution]: key 'scopes': only role = \"proxy\" has it: what a machine holds follows from the names",
                "\"proxy\"|\"control\"|[distribution]: key 'listen': it is no [[distribution.control]]'s 'address'",
                "listen = |listens = |[distribution]: key 'listen': missing",
                "listen = |listens = |[distribution]: key 'listens': unknown",
                "127.0.0.1:7950|n1:7950|[distribution]: key 'listen': 'n1:7950' is no numeric address and port",
                "number = 4||[distribution]: key 'number': missing",
                "number = 4|number = 65533|[distribution]: key 'number': a whole number from 0 to 65532 is wanted, not 65533",
                "\"fleet\", \"c1/billing\"||[distribution]: key 'scopes': an array of 1 to 2000 texts is wanted",
                "\"fleet\"|\"c1/billing\"|[distribution]: key 'scopes': 'c1/billing' stands there twice",
                "\"fleet\"|\"aaaaaaaaaaaaaaaaaaaaaaaaa\"|[distribution]: key 'scopes': 'aaaaaaaaaaaaaaaaaaaaaaaaa': 1 to 24 bytes are wanted, not 25",
                "\"fleet\"|7|[distribution]: key 'scopes': a text is wanted, not 7",
                "number = 4|door = \"x\"|[distribution]: key 'door': 'x' is no numeric address and port",
                "127.0.0.1:7961|127.0.0.1:7960|[distribution] / [[distribution.control]] number 2: key 'address': another [[distribution.control]] has it already",
                "127.0.0.1:8961|127.0.0.1:8960|[distribution] / [[distribution.control]] number 2: key 'door': another [[distribution.control]] has it already",
                "zone = \"ulven\"||[distribution] / [[distribution.control]] number 1: key 'zone': missing",
                "door = \"127.0.0.1:8960\"|door = 8960|[distribution] / [[distribution.control]] number 1: key 'door': a text is wanted, not 8960",
                "[[distribution.control]]|[[distribution.machine]]|[distribution]: key 'control': at least one [[distribution.control]] is wanted",
                "[[distribution.key]]|[[distribution.keys]]|[distribution]: key 'key': at least one [[distribution.key]] is wanted",
                "00112233|0011223|[distribution] / [[distribution.key]] number 1: key 'secret': 16 to 64 bytes in hexadecimal are wanted"
            })
    void saysWhatIsWrongWithDistribution(String part, String other, String message) throws Exception {
        assertThat(DISTRIBUTION).contains(part);
        assertThat(problems(GOOD + DISTRIBUTION.replace(part, other == null ? "" : other)))
                .contains(message);
    }

    @Test
    void machinesAndKeysHaveABound() throws Exception {
        var many = new StringBuilder(CONTROL);
        for (int i = 0; i < 63; i++) {
            many.append("[[distribution.control]]\naddress = \"127.0.1.")
                    .append(i)
                    .append(":1\"\ndoor = \"127.0.1.")
                    .append(i)
                    .append(":2\"\nzone = \"z\"\n");
        }
        many.append("[[distribution.key]]\nid = 2\nsecret = \"11112233445566778899aabbccddeeff\"\n");
        many.append("[[distribution.key]]\nid = 3\nsecret = \"22112233445566778899aabbccddeeff\"\n");
        assertThat(problems(many.toString()))
                .containsExactly(
                        "[distribution]: key 'control': 64 at most, not 65",
                        "[distribution]: key 'key': one or two are wanted, not 3");
    }
}
