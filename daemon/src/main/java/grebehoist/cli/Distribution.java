package grebehoist.cli;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import grebehoist.config.Config;
import grebehoist.distribution.CallJson;
import grebehoist.distribution.DistributionEndpoint;
import grebehoist.distribution.DistributionSettings;
import grebehoist.fleet.distribution.Call;
import grebehoist.fleet.distribution.DistributionTerms;
import grebehoist.fleet.distribution.Layout;
import grebehoist.fleet.wire.KeyRing;
import grebehoist.installation.Installation;
import grebehoist.members.CommonSuspensions;
import grebehoist.operations.DistributionCalls;
import grebehoist.operations.Door;
import grebehoist.pool.Pool;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import java.util.HexFormat;

/** The distribution of configuration, as a proxy or a control machine. Loaded only where an installation file has it. */
final class Distribution implements DistributionCalls.Distributed {
    private final Installation.DistributionEntry entry;
    private final Pool.Host host;
    private final DistributionEndpoint endpoint;

    private Distribution(Installation.DistributionEntry entry, Pool.Host host, DistributionEndpoint endpoint) {
        this.entry = entry;
        this.host = host;
        this.endpoint = endpoint;
    }

    /** Returns where the machines are. */
    static Layout layout(Installation.DistributionEntry entry) {
        return new Layout(
                entry.machines().stream().map(m -> new Layout.Machine(m.zone())).toList());
    }

    /**
     * Begins to take part.
     *
     * @param suspensions where what is suspended everywhere is told to all pools
     */
    static Distribution begin(
            String name, Installation.DistributionEntry entry, Pool.Host host, CommonSuspensions suspensions) {
        var settings = new DistributionSettings(
                entry.control(),
                name,
                entry.listen(),
                entry.number(),
                entry.scopes(),
                entry.machines().stream()
                        .map(Installation.ControlEntry::address)
                        .toList(),
                layout(entry),
                DistributionTerms.standard(),
                entry.keys().stream()
                        .map(k -> new KeyRing.Key(k.id(), HexFormat.of().parseHex(k.secret())))
                        .toList());
        var endpoint = new DistributionEndpoint(
                settings,
                host.network().loop(),
                host.timers(),
                host.log(),
                ids -> suspensions.set(ids, host.timers().now()));
        endpoint.begin();
        return new Distribution(entry, host, endpoint);
    }

    /** Answers at the operators' door too. */
    void at(Door door) {
        door.distribution(new DistributionCalls(this));
    }

    /** Opens the door that the file names; returns null where it names none. */
    Channel open() throws Config.BadConfig {
        if (entry.door() == null) {
            return null;
        }
        var own = new Door(null, host.log());
        at(own);
        ChannelFuture opened = own.listen(host.network(), entry.door()).awaitUninterruptibly();
        if (!opened.isSuccess()) {
            throw new Config.BadConfig("[distribution]: the door at " + entry.door() + ": "
                    + opened.cause().getMessage());
        }
        return opened.channel();
    }

    /** Returns whether clients may come; on the loop's thread. */
    boolean settled() {
        return endpoint.settled();
    }

    /** Silent from now on; on the loop's thread. */
    void leave() {
        endpoint.leave();
    }

    @Override
    public boolean ready() {
        return endpoint.filled();
    }

    @Override
    public ObjectNode figures(String scope, String after) {
        return endpoint.figures(scope, after);
    }

    @Override
    public ObjectNode call(JsonNode json) throws DistributionCalls.BadCall {
        if (!endpoint.control()) {
            return null;
        }
        try {
            Call call = CallJson.call(json);
            if (call.machine() != endpoint.number()) {
                throw new DistributionCalls.BadCall(
                        "key 'machine': this is machine " + endpoint.number() + ", not " + call.machine());
            }
            return CallJson.json(endpoint.answer(call));
        } catch (CallJson.BadJson e) {
            throw new DistributionCalls.BadCall(e.getMessage());
        }
    }
}
