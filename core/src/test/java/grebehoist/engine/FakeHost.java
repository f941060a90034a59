package grebehoist.engine;

import beechfall.Balancer;
import beechfall.Balancer.Outcome;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.function.BiConsumer;
import java.util.function.Consumer;

/** An engine with a module that does as the test says, on virtual time, and a transport that is played by the test. */
final class FakeHost {
    static final long MS = 1_000;
    static final Balancer.RequestClass READ =
            new Balancer.RequestClass("read", 600 * MS, 2_000 * MS, 1, 0, Balancer.Effect.SAFE, Balancer.Scope.ALL, 0);

    static final long WINDOW = 500 * MS;
    static final Balancer.RequestClass KEYED = new Balancer.RequestClass(
            "keyed", 600 * MS, 2_000 * MS, 1, 0, Balancer.Effect.KEYED, Balancer.Scope.ALL, WINDOW);

    /** Counts its owners. */
    static final class Counted implements Payload {
        int owners = 1;

        @Override
        public void retain() {
            owners++;
        }

        @Override
        public void release() {
            owners--;
        }
    }

    /** What a client was told. */
    static final class Client implements Responder {
        final List<String> answers = new ArrayList<>();
        Runnable onAnswer = () -> {};
        ClientState state = ClientState.PRESENT;

        @Override
        public ClientState clientState() {
            return state;
        }

        @Override
        public void served(Payload answer) {
            answers.add("served");
            answer.release();
            onAnswer.run();
        }

        @Override
        public void refused(long retryAfterUs) {
            answers.add("refused " + retryAfterUs);
            onAnswer.run();
        }

        @Override
        public void failed() {
            answers.add("failed");
        }
    }

    final class Sent implements Attempt {
        final String backend;
        final long deadlineUs;
        final End end;
        boolean started;
        boolean written;
        Outcome ended;

        Sent(String backend, long deadlineUs, End end) {
            this.backend = backend;
            this.deadlineUs = deadlineUs;
            this.end = end;
        }

        @Override
        public void start() {
            started = true;
            onStart.accept(this);
        }

        @Override
        public boolean mayHaveRun() {
            return written;
        }

        @Override
        public void abort(Outcome outcome) {
            if (ended == null) {
                ended = outcome;
                end.ended(outcome, null);
            }
        }

        void answer(Outcome outcome, Payload answer) {
            ended = outcome;
            end.ended(outcome, answer);
        }
    }

    private record Due(long at, int order, Runnable action) implements Timers.Timer {
        @Override
        public void cancel() {}
    }

    private final class VirtualTimers implements Timers {
        @Override
        public long now() {
            return now;
        }

        @Override
        public Timer at(long atUs, Runnable action) {
            var due = new Due(Math.max(atUs, now), order++, action);
            timers.add(due);
            return () -> timers.remove(due);
        }

        @Override
        public boolean settling() {
            return settling;
        }
    }

    final List<Balancer.Event> events = new ArrayList<>();
    final List<Sent> sent = new ArrayList<>();
    final List<Sent> toStop = new ArrayList<>();
    final List<String> log = new ArrayList<>();
    final List<String> asked = new ArrayList<>();
    Consumer<Sent> onStart = s -> s.written = true;
    boolean room = true;
    boolean settling;
    final Engine engine;
    long now = 1_000_000;
    private final List<Due> timers = new ArrayList<>();
    private int order;

    FakeHost(BiConsumer<Balancer.Event, Consumer<Balancer.Action>> module) {
        this(new Balancer.Limits(true, false, false, true, 4, 0), module);
    }

    FakeHost(Balancer.Limits limits, BiConsumer<Balancer.Event, Consumer<Balancer.Action>> module) {
        var settings = new Balancer.Settings(
                1,
                0,
                "a",
                4 * MS,
                List.of(READ, KEYED),
                List.of(),
                1,
                false,
                limits,
                new Balancer.Rules(0.4, 8_000 * MS, 4, 1_000 * MS, 10_000 * MS, false),
                7);
        engine = new Engine(
                settings,
                (nowUs, event, actions) -> {
                    events.add(event);
                    module.accept(event, actions);
                },
                new VirtualTimers(),
                new Transport() {
                    @Override
                    public List<? extends Attempt> members(Balancer.ListKind kind, List<Listed> listed) {
                        return List.copyOf(toStop);
                    }

                    @Override
                    public boolean anyReady() {
                        return true;
                    }

                    @Override
                    public Attempt attempt(String backend, Payload request, long deadlineUs, Attempt.End end) {
                        if (!room) {
                            return null;
                        }
                        var attempt = new Sent(backend, deadlineUs, end);
                        sent.add(attempt);
                        return attempt;
                    }

                    @Override
                    public void release(String backend) {
                        asked.add("release " + backend);
                    }
                },
                new Log() {
                    @Override
                    public void line(String text) {
                        log.add(text);
                    }

                    @Override
                    public void failure(String what, Throwable cause) {
                        log.add(what + ": " + cause.getMessage());
                    }
                });
        engine.source(new MemberSource() {
            @Override
            public void watch(boolean on) {
                asked.add("watch " + on);
            }

            @Override
            public void fetch() {
                asked.add("fetch");
            }
        });
    }

    /** Sends each request to a backend, and fails it when that goes wrong. */
    static BiConsumer<Balancer.Event, Consumer<Balancer.Action>> sendTo(String backend, long timeoutUs) {
        return (event, actions) -> {
            if (event instanceof Balancer.Arrival a) {
                actions.accept(new Balancer.Send(a.id(), backend, timeoutUs));
            } else if (event instanceof Balancer.AttemptEnded e && !e.last()) {
                actions.accept(new Balancer.Fail(e.id()));
            }
        };
    }

    Client ask(String id) {
        return ask(id, new Client());
    }

    Client ask(String id, Balancer.RequestClass type, long patienceUs) {
        var client = new Client();
        engine.arrived(new Request(id, type.name(), null, null, false, now + patienceUs, Payload.NONE), client);
        return client;
    }

    Client ask(String id, Client client) {
        engine.arrived(new Request(id, "read", null, null, false, now + 1_000 * MS, Payload.NONE), client);
        return client;
    }

    /** Time passes, and what is due runs in its order. */
    void run(long forUs) {
        long until = now + forUs;
        while (true) {
            var next = timers.stream()
                    .filter(t -> t.at() <= until)
                    .min(Comparator.comparingLong(Due::at).thenComparingInt(Due::order));
            if (next.isEmpty()) {
                now = until;
                return;
            }
            timers.remove(next.get());
            now = next.get().at();
            next.get().action().run();
        }
    }

    int timers() {
        return timers.size();
    }

    <T extends Balancer.Event> List<T> events(Class<T> type) {
        return events.stream().filter(type::isInstance).map(type::cast).toList();
    }
}
