package grebehoist.config;

import beechfall.Balancer;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import grebehoist.net.Addresses;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * What a proxy is told at its start.
 *
 * @param known the backends as this proxy last had them, in discovery's form; null where there are none
 * @param operator where operators call, or null where there is no such door
 * @param peers where other proxies are, or null where the settings allow no messages between them
 * @param connIdleUs a backend closes a connection that has stood idle for so long
 */
public record Config(
        String name,
        InetSocketAddress listen,
        InetSocketAddress discovery,
        InetSocketAddress operator,
        int sockets,
        JsonNode known,
        Balancer.Settings settings,
        Peers peers,
        long connIdleUs,
        long connectTimeoutUs) {

    /**
     * The proxies of the tier.
     *
     * @param listen where this one gets datagrams
     * @param addresses of all, by their numbers in the settings
     */
    public record Peers(InetSocketAddress listen, List<InetSocketAddress> addresses) {
        public Peers {
            addresses = List.copyOf(addresses);
        }
    }

    /** A configuration that no proxy can run with; the message is for the operators and names the field. */
    public static class BadConfig extends Exception {
        private static final long serialVersionUID = 1L;

        /** Tells what is wrong. */
        public BadConfig(String message) {
            super(message);
        }
    }

    /** A file that could not be read: nothing is known of what it holds, and it may be there a moment later. */
    public static final class Unreadable extends BadConfig {
        private static final long serialVersionUID = 1L;
        private final boolean missing;

        private Unreadable(IOException cause) {
            super("cannot be read: " + cause);
            this.missing = cause instanceof NoSuchFileException;
        }

        /** Returns whether there is no such file. */
        public boolean missing() {
            return missing;
        }
    }

    /**
     * Returns whether this proxy may be new: it has no list that discovery has ever changed. One that was killed before
     * the first change looks the same.
     */
    public boolean isFirstLife() {
        return known == null || known.path("version").asLong() == 0;
    }

    /** Returns the same for another place to listen at. */
    public Config listeningAt(InetSocketAddress address) {
        return new Config(
                name,
                address,
                discovery,
                operator == null ? null : address,
                sockets,
                known,
                settings,
                null,
                connIdleUs,
                connectTimeoutUs);
    }

    /** Reads a file. */
    public static Config read(Path file) throws BadConfig {
        try (InputStream json = Files.newInputStream(file)) {
            return parse(Json.read(json));
        } catch (JsonProcessingException e) {
            throw new BadConfig("not JSON: " + e.getOriginalMessage());
        } catch (IOException e) {
            throw new Unreadable(e);
        }
    }

    /** Reads what a file holds. */
    public static Config parse(JsonNode json) throws BadConfig {
        JsonNode settings = json.path("settings");
        if (!settings.isObject()) {
            throw new BadConfig("'settings': an object is wanted");
        }
        var values = new HashMap<String, String>();
        flatten("", settings, values);
        try {
            Balancer.Settings read = SettingsReader.read(values, seed(json));
            return new Config(
                    text(json, "name"),
                    address(json, "listen"),
                    address(json, "discovery"),
                    json.hasNonNull("operator") ? address(json, "operator") : null,
                    sockets(json),
                    json.path("known").isObject() ? json.path("known") : null,
                    read,
                    SettingsReader.flag(values, "bounds.peer_messages") ? peers(json, read) : null,
                    SettingsReader.whole(values, "bounds.conn_idle_us"),
                    SettingsReader.whole(values, "bounds.connect_timeout_us"));
        } catch (IllegalArgumentException e) {
            throw new BadConfig("'settings': " + e.getMessage());
        }
    }

    private static Peers peers(JsonNode json, Balancer.Settings settings) throws BadConfig {
        var addresses = new ArrayList<InetSocketAddress>();
        for (JsonNode peer : json.path("peers")) {
            InetSocketAddress address = Addresses.parse(peer.asText(""));
            if (address == null) {
                throw new BadConfig("'peers': '" + peer.asText("") + "' is no address and port");
            }
            addresses.add(address);
        }
        if (settings.rank() >= addresses.size()) {
            throw new BadConfig("'peers': " + addresses.size() + " addresses, and this is proxy " + settings.rank());
        }
        return new Peers(address(json, "peer_listen"), addresses);
    }

    /** Spells nested JSON out as paths, as the simulator's wire has them. */
    private static void flatten(String path, JsonNode node, Map<String, String> values) {
        if (node.isObject()) {
            node.properties()
                    .forEach(e -> flatten(path.isEmpty() ? e.getKey() : path + "." + e.getKey(), e.getValue(), values));
        } else if (node.isArray()) {
            values.put(path + ".count", Integer.toString(node.size()));
            for (int i = 0; i < node.size(); i++) {
                flatten(path + "." + i, node.get(i), values);
            }
        } else {
            values.put(path, node.asText());
        }
    }

    private static String text(JsonNode json, String field) throws BadConfig {
        String text = json.path(field).asText("");
        if (text.isEmpty()) {
            throw new BadConfig("'" + field + "': missing");
        }
        return text;
    }

    private static InetSocketAddress address(JsonNode json, String field) throws BadConfig {
        String text = text(json, field);
        InetSocketAddress address = Addresses.parse(text);
        if (address == null) {
            throw new BadConfig("'" + field + "': '" + text + "' is no address and port");
        }
        return address;
    }

    private static long seed(JsonNode json) throws BadConfig {
        String text = text(json, "seed");
        try {
            return Long.parseUnsignedLong(text, 16);
        } catch (NumberFormatException e) {
            throw new BadConfig("'seed': '" + text + "' is no hexadecimal number of 64 bits");
        }
    }

    private static int sockets(JsonNode json) throws BadConfig {
        JsonNode limit = json.path("limits").path("sockets");
        if (!limit.canConvertToInt() || limit.asInt() < 128) {
            throw new BadConfig("'limits.sockets': a number of at least 128 is wanted");
        }
        return limit.asInt();
    }
}
