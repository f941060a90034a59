package grebehoist.writer;

import com.fasterxml.jackson.databind.JsonNode;
import grebehoist.config.Json;
import grebehoist.distribution.CallJson;
import grebehoist.fleet.distribution.Answer;
import grebehoist.fleet.distribution.Call;
import java.io.ByteArrayInputStream;
import java.io.IOException;
import java.net.ConnectException;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.function.Consumer;

/**
 * The doors of the control machines, called over HTTP. A machine that has not answered a call in time, twice, or refuses to be connected to
 * gets none for a moment: what hangs must not hold up what can be done without it. Used by one executor's thread, on which answers come too.
 */
final class Doors {
    private static final Duration CONNECT = Duration.ofSeconds(2);
    private static final Duration ANSWER = Duration.ofSeconds(2);
    private static final long REST_NS = Duration.ofSeconds(2).toNanos();
    /** A door bears so many callers and more; whoever else calls it needs a place too. */
    private static final int MOST_OUT = 8;
    /** More than {@link ChangeStream} has under way at once, with what is left of changes before. */
    private static final int MOST_WAITING = 4_096;

    /** A call; {@code again} where it was made before and not answered in time, which may be this side's fault. */
    private record Waiting(Call call, Consumer<Answer> then, boolean again) {}

    /** A door, the calls that wait for one that is out to end, and until when it rests. */
    private static final class Door {
        private final URI uri;
        private final Deque<Waiting> waiting = new ArrayDeque<>();
        private int out;
        /** One, until it has answered: this side's code is cold then, or the machine hangs. */
        private int most = 1;

        private boolean rests;
        private long restsUntilNs;

        Door(URI uri) {
            this.uri = uri;
        }

        boolean resting() {
            rests = rests && System.nanoTime() - restsUntilNs < 0;
            return rests;
        }
    }

    private final HttpClient client = HttpClient.newBuilder()
            .version(HttpClient.Version.HTTP_1_1)
            .connectTimeout(CONNECT)
            .proxy(HttpClient.Builder.NO_PROXY)
            .build();
    private final List<Door> doors = new ArrayList<>();
    private final Executor on;

    Doors(List<InetSocketAddress> addresses, Executor on) {
        addresses.forEach(
                a -> doors.add(new Door(URI.create("http://" + host(a) + ":" + a.getPort() + "/v1/distribution"))));
        this.on = on;
    }

    private static String host(InetSocketAddress address) {
        String host = address.getAddress().getHostAddress();
        return host.indexOf(':') < 0 ? host : "[" + host + "]";
    }

    /** Makes a call; the consumer hears the answer, or null for none, later than this returns. */
    void call(Call call, Consumer<Answer> then) {
        Door door = doors.get(call.machine());
        if (door.waiting.size() >= MOST_WAITING) {
            on.execute(() -> then.accept(null));
        } else {
            door.waiting.add(new Waiting(call, then, false));
            next(door);
        }
    }

    private void next(Door door) {
        while (!door.waiting.isEmpty() && (door.out < door.most || door.resting())) {
            Waiting next = door.waiting.poll();
            if (door.resting()) {
                on.execute(() -> next.then.accept(null));
            } else {
                send(door, next);
            }
        }
    }

    private void send(Door door, Waiting next) {
        door.out++;
        HttpRequest request = HttpRequest.newBuilder(URI.create(door.uri + "/call"))
                .timeout(ANSWER)
                .POST(HttpRequest.BodyPublishers.ofString(
                        CallJson.json(next.call).toString()))
                .build();
        client.sendAsync(request, HttpResponse.BodyHandlers.ofByteArray())
                .whenCompleteAsync(
                        (response, failure) -> {
                            door.out--;
                            if (failure == null) {
                                door.most = MOST_OUT;
                                next.then.accept(answer(response));
                            } else if (next.again
                                    || failure instanceof ConnectException
                                    || failure.getCause() instanceof ConnectException) {
                                door.most = 1;
                                door.rests = true;
                                door.restsUntilNs = System.nanoTime() + REST_NS;
                                next.then.accept(null);
                            } else {
                                // Asking twice is asking once, whatever it is.
                                door.waiting.addFirst(new Waiting(next.call, next.then, true));
                            }
                            next(door);
                        },
                        on);
    }

    /** A door that says no to the call itself will say so again. */
    private static Answer answer(HttpResponse<byte[]> response) {
        try {
            JsonNode json = json(response);
            return response.statusCode() == 200
                    ? CallJson.answer(json)
                    : new Answer.Refusal(
                            "HTTP status " + response.statusCode() + ", "
                                    + json.path("error").asText(),
                            -1,
                            false);
        } catch (CallJson.BadJson | IOException e) {
            return null;
        }
    }

    private static JsonNode json(HttpResponse<byte[]> response) throws IOException {
        return Json.read(new ByteArrayInputStream(response.body()));
    }

    /** What a door has told. */
    record Told(int status, JsonNode json, String why) {}

    /** Asks a machine what it holds. The future has status 0 where there is no answer. */
    CompletableFuture<Told> figures(int machine, String query) {
        HttpRequest request = HttpRequest.newBuilder(URI.create(doors.get(machine).uri + query))
                .timeout(ANSWER)
                .GET()
                .build();
        return client.sendAsync(request, HttpResponse.BodyHandlers.ofByteArray())
                .handle((response, failure) -> {
                    try {
                        return failure != null
                                ? new Told(
                                        0,
                                        null,
                                        String.valueOf(failure.getCause() == null ? failure : failure.getCause()))
                                : new Told(response.statusCode(), json(response), "");
                    } catch (IOException e) {
                        return new Told(0, null, "not JSON: " + e.getMessage());
                    }
                });
    }
}
