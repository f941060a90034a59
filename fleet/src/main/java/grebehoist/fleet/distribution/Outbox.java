package grebehoist.fleet.distribution;

import grebehoist.fleet.wire.Post;
import java.io.ByteArrayOutputStream;
import java.util.LinkedHashMap;
import java.util.Map;

/** What is said to one goes together, as much as there is room for: at most one datagram's worth for each waits. */
final class Outbox {
    /** Where a full body goes. */
    interface Sender {
        /** Seals and sends. */
        void send(int to, byte[] body);
    }

    /** What a datagram takes beside its body, about: the header and the seal, and UDP's and IP's own headers. */
    static final int FRAME = Post.MOST_BYTES - Post.ROOM + 28;

    private final Sender sender;
    private final Map<Integer, ByteArrayOutputStream> waiting = new LinkedHashMap<>();

    Outbox(Sender sender) {
        this.sender = sender;
    }

    /** Says something, now or at the next {@link #flush}; returns how many bytes it adds to what is sent. */
    int say(int to, Message message) {
        byte[] bytes = DistributionCodec.encode(message);
        ByteArrayOutputStream before = waiting.get(to);
        if (before != null && before.size() + bytes.length > Post.ROOM) {
            sender.send(to, before.toByteArray());
            waiting.remove(to);
            before = null;
        }
        if (before == null) {
            before = new ByteArrayOutputStream(bytes.length);
            waiting.put(to, before);
            before.writeBytes(bytes);
            return bytes.length + FRAME;
        }
        before.writeBytes(bytes);
        return bytes.length;
    }

    /** Sends what waits. */
    void flush() {
        waiting.forEach((to, body) -> sender.send(to, body.toByteArray()));
        waiting.clear();
    }
}
