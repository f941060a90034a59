package grebehoist.engine;

import static org.assertj.core.api.Assertions.assertThat;

import beechfall.Balancer;
import beechfall.Balancer.Arrival;
import beechfall.Balancer.AttemptEnded;
import beechfall.Balancer.Cancel;
import beechfall.Balancer.ClientGone;
import beechfall.Balancer.Fail;
import beechfall.Balancer.Fetch;
import beechfall.Balancer.ListKind;
import beechfall.Balancer.Log;
import beechfall.Balancer.Members;
import beechfall.Balancer.Outcome;
import beechfall.Balancer.Probe;
import beechfall.Balancer.Refuse;
import beechfall.Balancer.Release;
import beechfall.Balancer.Send;
import beechfall.Balancer.SetTimer;
import beechfall.Balancer.TimerFired;
import beechfall.Balancer.Watch;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;

/** One request, one answer; one attempt, one outcome: whatever the module, the transport and the clock do. */
class EngineTest {
    private static final long MS = FakeHost.MS;

    @Test
    void passesTheAnswerOnAndForgetsTheRequest() {
        var host = new FakeHost(FakeHost.sendTo("s0", 0));
        var client = host.ask("r1");
        assertThat(host.engine.knows("r1")).isTrue();
        var answer = new FakeHost.Counted();
        host.now += 30 * MS;
        host.sent.get(0).answer(Outcome.OK, answer);
        assertThat(client.answers).containsExactly("served");
        assertThat(answer.owners).isZero();
        assertThat(host.events(AttemptEnded.class))
                .containsExactly(new AttemptEnded("r1", 0, "s0", Outcome.OK, 30 * MS, true));
        assertThat(host.engine.open()).isZero();
        assertThat(host.timers()).isZero();
    }

    /** Rule 1: a request that the module forgets is answered all the same, before its client gives up. */
    @Test
    void answersInTimeWhateverTheModuleDoes() {
        var host = new FakeHost((event, actions) -> {});
        var client = host.ask("r1");
        host.run(1_001 * MS);
        assertThat(client.answers).isEmpty();
        host.run(1 * MS);
        assertThat(client.answers).containsExactly("failed");
        assertThat(host.events(ClientGone.class)).containsExactly(new ClientGone("r1"));
        assertThat(host.engine.open()).isZero();
    }

    @Test
    void aRequestThatComesTooLateOrTwiceIsAnsweredAtOnceAndTheFirstGoesOn() {
        var host = new FakeHost(FakeHost.sendTo("s0", 0));
        var late = new FakeHost.Client();
        host.engine.arrived(new Request("r0", "read", null, null, false, host.now, Payload.NONE), late);
        var first = host.ask("r1");
        var second = host.ask("r1");
        assertThat(late.answers).containsExactly("refused 0");
        assertThat(second.answers).containsExactly("failed");
        assertThat(first.answers).isEmpty();
        host.sent.get(0).answer(Outcome.OK, new FakeHost.Counted());
        assertThat(first.answers).containsExactly("served");
        assertThat(host.events(Arrival.class)).hasSize(1);
    }

    /** Rule 2: no attempt goes out beside another, past the settings' number, or once the request is over. */
    @Test
    void sendsNoSecondCopyAndNoMoreThanAllowed() {
        var host = new FakeHost((event, actions) -> {
            if (event instanceof Arrival a) {
                actions.accept(new Send(a.id(), "s0", 0));
                actions.accept(new Send(a.id(), "s1", 0));
            } else if (event instanceof AttemptEnded e && e.outcome() == Outcome.FULL) {
                actions.accept(new Send(e.id(), "s0", 0));
            } else if (event instanceof AttemptEnded e && e.attempt() > 3) {
                actions.accept(new Fail(e.id()));
                actions.accept(new Send(e.id(), "s0", 0));
            }
        });
        var client = host.ask("r1");
        assertThat(host.sent).hasSize(1);
        assertThat(host.events(AttemptEnded.class))
                .containsExactly(new AttemptEnded("r1", 1, "s1", Outcome.NOT_SENT, 0, false));
        host.sent.get(0).answer(Outcome.FULL, null);
        host.sent.get(1).answer(Outcome.FULL, null);
        host.sent.get(2).answer(Outcome.FULL, null);
        assertThat(host.sent).hasSize(3);
        assertThat(client.answers).containsExactly("failed");
        assertThat(host.events(AttemptEnded.class)).hasSize(5);
        assertThat(host.engine.open()).isZero();
    }

    /** An attempt that is still on its way out when the request ends is not sent any more, whether or not the module may cancel. */
    @ParameterizedTest
    @EnumSource(names = {"OK", "TIMEOUT", "RESET"})
    void nothingIsSentOnceTheRequestIsOver(Outcome how) {
        var host = new FakeHost(new Balancer.Limits(false, false, false, true, 4, 0), FakeHost.sendTo("s0", 0));
        host.onStart = s -> s.written = false;
        var client = host.ask("r1");
        switch (how) {
            case OK -> host.engine.clientGone("r1");
            case TIMEOUT -> host.run(1_002 * MS);
            default -> host.sent.get(0).answer(Outcome.RESET, null);
        }
        assertThat(host.sent.get(0).ended).isNotNull();
        assertThat(host.engine.open()).isZero();
        assertThat(client.answers).hasSize(how == Outcome.OK ? 0 : 1);
    }

    /** What may have run already goes on where the settings allow no cancel, and its end is still told. */
    @Test
    void whatMayHaveRunIsHeardToItsEnd() {
        var host = new FakeHost(new Balancer.Limits(false, false, false, true, 4, 0), FakeHost.sendTo("s0", 0));
        host.ask("r1");
        host.engine.clientGone("r1");
        assertThat(host.sent.get(0).ended).isNull();
        assertThat(host.engine.open()).isEqualTo(1);
        var answer = new FakeHost.Counted();
        host.sent.get(0).answer(Outcome.OK, answer);
        assertThat(answer.owners).isZero();
        assertThat(host.events(AttemptEnded.class))
                .extracting(AttemptEnded::last)
                .containsExactly(true);
        assertThat(host.engine.open()).isZero();
        assertThat(host.timers()).isZero();
    }

    /** A time-out says 'never ran' only of what had not been written. */
    @Test
    void aTimeOutBeforeTheLastByteNeverRan() {
        var host = new FakeHost(FakeHost.sendTo("s0", 50 * MS));
        host.ask("r1");
        host.onStart = s -> s.written = false;
        host.ask("r2");
        host.run(50 * MS);
        assertThat(host.events(AttemptEnded.class))
                .extracting(AttemptEnded::outcome)
                .containsExactly(Outcome.TIMEOUT, Outcome.CONNECT_FAILED);
    }

    /** An attempt's time-out races its answer: whichever comes first is its one end. */
    @Test
    void aTimeOutAndAnAnswerAreOneEnd() {
        var host = new FakeHost(FakeHost.sendTo("s0", 50 * MS));
        var client = host.ask("r1");
        host.run(49 * MS);
        host.sent.get(0).answer(Outcome.OK, new FakeHost.Counted());
        host.run(10_000 * MS);
        assertThat(client.answers).containsExactly("served");
        assertThat(host.events(AttemptEnded.class)).hasSize(1);

        var late = host.ask("r2");
        host.run(50 * MS);
        assertThat(host.sent.get(1).ended).isEqualTo(Outcome.TIMEOUT);
        var answer = new FakeHost.Counted();
        host.sent.get(1).end.ended(Outcome.OK, answer);
        assertThat(late.answers).containsExactly("failed");
        assertThat(answer.owners).isZero();
        assertThat(host.events(AttemptEnded.class)).hasSize(2);
        assertThat(host.log).hasSize(1);
    }

    /** The module hears of a drain before the unsent attempts that it ends, and sends them elsewhere. */
    @Test
    void aDrainEndsWhatIsUnsentOnceTheModuleHasHeardWhy() {
        var host = new FakeHost((event, actions) -> {
            if (event instanceof Arrival a) {
                actions.accept(new Send(a.id(), "s0", 0));
            } else if (event instanceof AttemptEnded e && e.outcome() == Outcome.NOT_SENT) {
                actions.accept(new Send(e.id(), "s1", 0));
            }
        });
        host.onStart = s -> s.written = false;
        host.ask("r1");
        host.toStop.add(host.sent.get(0));
        host.engine.members(
                ListKind.DELTA,
                List.of(new Listed(new Balancer.Backend("s0", Balancer.State.DRAINING, "k", "a", 0, 0, 1), "x")));
        assertThat(host.events.get(1)).isInstanceOf(Members.class);
        assertThat(host.events.get(2)).isEqualTo(new AttemptEnded("r1", 0, "s0", Outcome.NOT_SENT, 0, false));
        assertThat(host.sent).extracting(s -> s.backend).containsExactly("s0", "s1");
    }

    /** Rule 3 after a pause: a drain that waits in a socket is heard before anything new goes out. */
    @Test
    void nothingIsSentBeforeWhatCameDuringAPauseIsTakenIn() {
        var host = new FakeHost(FakeHost.sendTo("s0", 0));
        host.settling = true;
        var first = host.ask("r1");
        var gone = host.ask("r2");
        host.run(10 * MS);
        assertThat(host.sent).isEmpty();
        host.engine.clientGone("r2");
        host.settling = false;
        host.run(10 * MS);
        assertThat(host.sent).hasSize(1);
        host.sent.get(0).answer(Outcome.OK, new FakeHost.Counted());
        assertThat(first.answers).containsExactly("served");
        assertThat(gone.answers).isEmpty();

        host.settling = true;
        var late = host.ask("r3");
        host.run(1 * MS);
        host.room = false;
        host.settling = false;
        host.run(10 * MS);
        assertThat(late.answers).containsExactly("failed");
        assertThat(host.events(AttemptEnded.class))
                .extracting(AttemptEnded::outcome)
                .containsExactly(Outcome.CANCELLED, Outcome.OK, Outcome.NOT_SENT);
        assertThat(host.engine.open()).isZero();
    }

    private static FakeHost repeating() {
        return new FakeHost((event, actions) -> {
            if (event instanceof Arrival a) {
                actions.accept(new Send(a.id(), "s0", 0));
            } else if (event instanceof AttemptEnded e && e.attempt() < 2 && !e.last()) {
                actions.accept(new Send(e.id(), "s1", 0));
            }
        });
    }

    /** Guards against review/2: what comes back for a request with an effect has to be its own answer beyond doubt. */
    @Test
    void aTransportIsToldWhichRequestsHaveAnEffect() {
        var host = repeating();
        host.ask("read", FakeHost.READ, 1_900 * MS);
        host.ask("keyed", FakeHost.KEYED, 1_900 * MS);
        assertThat(host.sent.stream().map(sent -> sent.end.hasEffect())).containsExactly(false, true);
    }

    /** What is sent again waits as well while the host settles, but never past its key's window: then the module decides anew. */
    @Test
    void whatIsSentAgainWaitsInsideItsWindowAlone() {
        var host = repeating();
        host.ask("r1", FakeHost.KEYED, 1_900 * MS);
        host.settling = true;
        host.sent.get(0).answer(Outcome.RESET, null);
        host.run(5 * MS);
        assertThat(host.sent).hasSize(1);
        host.settling = false;
        host.run(5 * MS);
        assertThat(host.sent).hasSize(2);

        host.ask("r2", FakeHost.KEYED, 1_900 * MS);
        host.settling = true;
        host.sent.get(2).answer(Outcome.RESET, null);
        host.run(FakeHost.WINDOW);
        host.settling = false;
        host.run(5 * MS);
        assertThat(host.events(AttemptEnded.class))
                .filteredOn(e -> e.id().equals("r2"))
                .extracting(AttemptEnded::outcome)
                .startsWith(Outcome.RESET, Outcome.NOT_SENT);
        assertThat(host.sent).hasSize(3);
    }

    /** Rule 2: the last byte of a repeat reaches its backend inside the window, or the repeat is not sent: its connection came up too late. */
    @Test
    void aRepeatThatIsNotWrittenInsideItsWindowIsNotSent() {
        var host = repeating();
        host.ask("r1", FakeHost.KEYED, 1_900 * MS);
        host.run(FakeHost.WINDOW - 100 * MS);
        host.onStart = s -> s.written = false;
        host.sent.get(0).answer(Outcome.RESET, null);
        host.run(99 * MS);
        assertThat(host.sent).hasSize(2);
        assertThat(host.events(AttemptEnded.class)).hasSize(1);
        host.run(2 * MS);
        assertThat(host.events(AttemptEnded.class))
                .extracting(AttemptEnded::outcome)
                .startsWith(Outcome.RESET, Outcome.NOT_SENT);
        assertThat(host.sent.get(1).ended).isEqualTo(Outcome.NOT_SENT);

        // Where the first attempt never ran there is no window yet.
        host.ask("r2", FakeHost.KEYED, 1_900 * MS);
        var first = host.sent.get(host.sent.size() - 1);
        host.run(FakeHost.WINDOW - 100 * MS);
        first.answer(Outcome.FULL, null);
        int sent = host.sent.size();
        host.run(200 * MS);
        assertThat(host.sent.get(sent - 1).ended).isNull();
    }

    /** Guards against picture (c) of issue 63: an id ran twice when it came again after its client had left. */
    @Test
    void whatComesAgainAfterItsClientHasLeftDoesNotRunTwice() {
        var host = new FakeHost(FakeHost.sendTo("s0", 0));
        host.ask("ran", FakeHost.KEYED, 1_900 * MS);
        host.engine.clientGone("ran");
        host.sent.get(0).answer(Outcome.RESET, null);
        var again = host.ask("ran", FakeHost.KEYED, 1_900 * MS);
        assertThat(again.answers).containsExactly("failed");
        assertThat(host.sent).hasSize(1);

        host.ask("never ran", FakeHost.KEYED, 1_900 * MS);
        host.engine.clientGone("never ran");
        host.sent.get(1).answer(Outcome.FULL, null);
        host.ask("never ran", FakeHost.KEYED, 1_900 * MS);
        assertThat(host.sent).hasSize(3);

        host.ask("safe");
        host.engine.clientGone("safe");
        host.sent.get(3).answer(Outcome.RESET, null);
        host.ask("safe");
        assertThat(host.sent).as("what is safe may run again").hasSize(5);

        host.run(RecentRequests.KEPT_US + 1);
        host.ask("ran", FakeHost.KEYED, 1_900 * MS);
        assertThat(host.sent).as("nothing is kept for ever").hasSize(6);
    }

    /** Guards against picture (b) of issue 67: the answer was written when the client had left, and its id came again. */
    @Test
    void whatComesAgainAfterItsAnswerDoesNotRunTwice() {
        var host = new FakeHost(FakeHost.sendTo("s0", 0));
        host.ask("ran", FakeHost.KEYED, 1_900 * MS);
        host.sent.get(0).answer(Outcome.OK, new FakeHost.Counted());
        assertThat(host.ask("ran", FakeHost.KEYED, 1_900 * MS).answers).containsExactly("failed");
        assertThat(host.sent).hasSize(1);
        host.ask("safe");
        host.sent.get(1).answer(Outcome.OK, new FakeHost.Counted());
        host.ask("safe");
        assertThat(host.sent).as("what is safe may run again").hasSize(3);
    }

    /** Guards against picture (b) of issue 67: an id that comes again at the other process of an upgrade. */
    @Test
    void whatAnotherProcessHasSentOnIsFailedAndNotSent() {
        var host = new FakeHost(FakeHost.sendTo("s0", 0));
        var claimed = new HashMap<String, Long>(Map.of("elsewhere", Long.MAX_VALUE));
        host.engine.claims(new RequestClaims() {
            @Override
            public boolean claim(String id, long keepUs) {
                if (id.startsWith("elsewhere")) {
                    return false;
                }
                claimed.put(id, keepUs);
                return true;
            }

            @Override
            public void release(String id) {
                claimed.remove(id);
            }
        });
        var begun = new ArrayList<Boolean>();
        host.onStart = sent -> {
            sent.written = sent.end.mayBegin(sent.deadlineUs);
            begun.add(sent.written);
            if (!sent.written) {
                sent.answer(Outcome.NOT_SENT, null);
            }
        };
        assertThat(host.ask("elsewhere", FakeHost.KEYED, 1_900 * MS).answers).containsExactly("failed");
        host.ask("elsewhere, safe");
        host.ask("here", FakeHost.KEYED, 1_900 * MS);
        assertThat(begun).as("what is safe may run twice").containsExactly(false, true, true);
        assertThat(claimed).containsEntry("here", 1_900 * MS + RecentRequests.KEPT_US);
        assertThat(host.engine.knows("elsewhere")).isFalse();

        host.sent.get(2).answer(Outcome.OK, new FakeHost.Counted());
        assertThat(claimed).as("its client may not have read its answer").containsEntry("here", RecentRequests.KEPT_US);

        host.ask("left", FakeHost.KEYED, 1_900 * MS);
        host.engine.clientGone("left");
        host.sent.get(3).answer(Outcome.RESET, null);
        assertThat(claimed).as("it may have run").containsEntry("left", RecentRequests.KEPT_US);

        host.ask("never ran", FakeHost.KEYED, 1_900 * MS);
        host.engine.clientGone("never ran");
        host.sent.get(4).answer(Outcome.FULL, null);
        assertThat(claimed).doesNotContainKey("never ran");
    }

    /** Guards against issue 77, review/7: an id that a front made is no claim on another process's, and fills no table. */
    @Test
    void anIdOfTheProxysOwnIsNeitherClaimedNorRemembered() {
        var host = new FakeHost(FakeHost.sendTo("s0", 0));
        var claimed = new ArrayList<String>();
        host.engine.claims(new RequestClaims() {
            @Override
            public boolean claim(String id, long keepUs) {
                claimed.add(id);
                return false;
            }

            @Override
            public void release(String id) {}
        });
        host.onStart = sent -> sent.written = sent.end.mayBegin(sent.deadlineUs);
        for (int i = 0; i < 2; i++) {
            var client = new FakeHost.Client();
            host.engine.arrived(
                    new Request(
                            "in-0",
                            Request.IdOrigin.PROXY,
                            FakeHost.KEYED.name(),
                            null,
                            null,
                            false,
                            host.now + 1_900 * MS,
                            0,
                            Payload.NONE),
                    client);
            host.sent.get(i).answer(Outcome.OK, new FakeHost.Counted());
            assertThat(client.answers).containsExactly("served");
        }
        assertThat(claimed).isEmpty();
    }

    /** Whoever can't be seen to be there gets no further attempt, and its one answer: it may be there. */
    @Test
    void aClientThatCantBeSeenIsAnsweredAndNothingIsSentForIt() {
        var host = repeating();
        var asked = new ArrayList<Boolean>();
        host.onStart = sent -> {
            boolean begins = sent.end.mayBegin(sent.deadlineUs);
            asked.add(begins);
            sent.written = begins;
            if (!begins) {
                sent.answer(Outcome.NOT_SENT, null);
            }
        };
        var client = host.ask("r1", FakeHost.KEYED, 1_900 * MS);
        client.state = ClientState.UNKNOWN;
        host.sent.get(0).answer(Outcome.ERROR, null);
        assertThat(asked).containsExactly(true, false);
        assertThat(client.answers).as("it may have run").containsExactly("failed");
        assertThat(host.events(ClientGone.class)).containsExactly(new ClientGone("r1"));
        assertThat(host.engine.open()).isZero();

        var unseen = new FakeHost.Client();
        unseen.state = ClientState.UNKNOWN;
        host.ask("r2", unseen);
        assertThat(unseen.answers).as("it never ran").containsExactly("refused 0");
        assertThat(host.engine.open()).isZero();
    }

    /** The process is killed at a time that it knows: nobody's request is left without its answer, however long its client would wait. */
    @Test
    void allIsAnsweredBeforeTheProcessEnds() {
        var host = new FakeHost(FakeHost.sendTo("s0", 0));
        var safe = host.ask("r1", FakeHost.READ, 1_900 * MS);
        var sent = host.ask("r2", FakeHost.KEYED, 1_900 * MS);
        host.onStart = s -> s.written = false;
        var unsent = host.ask("r3", FakeHost.KEYED, 1_900 * MS);
        host.engine.answerAllBy(host.now + 300 * MS);
        host.run(299 * MS);
        var late = host.ask("r4", FakeHost.KEYED, 1_900 * MS);
        assertThat(safe.answers).isEmpty();
        host.run(2 * MS);
        assertThat(safe.answers).containsExactly("refused 0");
        assertThat(sent.answers).containsExactly("failed");
        assertThat(unsent.answers).containsExactly("refused 0");
        assertThat(late.answers).as("what came later had until then").hasSize(1);
        assertThat(host.ask("r5", FakeHost.KEYED, 1_900 * MS).answers).containsExactly("refused 0");
    }

    @Test
    void aClientThatHasGoneHearsNothing() {
        var host = new FakeHost(FakeHost.sendTo("s0", 0));
        var client = host.ask("r1");
        host.engine.clientGone("r1");
        host.engine.clientGone("r1");
        host.engine.clientGone("unknown");
        host.sent.get(0).answer(Outcome.OK, new FakeHost.Counted());
        assertThat(client.answers).isEmpty();
        assertThat(host.events(ClientGone.class)).hasSize(1);
    }

    /** Each attempt asks again: the second here is a repeat, whose client has left while the first was out. */
    @Test
    void aClientFoundGoneRightBeforeTheFirstByteIsNotSentOn() {
        var host = new FakeHost((event, actions) -> {
            if (event instanceof Arrival a) {
                actions.accept(new Send(a.id(), "s0", 0));
            } else if (event instanceof AttemptEnded e && !e.last()) {
                actions.accept(new Send(e.id(), "s1", 0));
            }
        });
        host.onStart = s -> {
            s.written = s.end.mayBegin(s.deadlineUs);
            if (!s.written) {
                s.answer(Outcome.NOT_SENT, null);
            }
        };
        var client = host.ask("r1");
        assertThat(host.sent.get(0).written).isTrue();
        client.state = ClientState.GONE;
        host.sent.get(0).answer(Outcome.RESET, null);
        assertThat(host.sent).hasSize(2);
        assertThat(host.sent.get(1).written).isFalse();
        assertThat(host.events(AttemptEnded.class).get(1).last()).isTrue();
        assertThat(host.events(ClientGone.class)).hasSize(1);
        assertThat(host.engine.open()).isZero();
        assertThat(host.engine.unanswered()).isZero();
        host.engine.clientGone("r1");
        assertThat(host.events(ClientGone.class)).hasSize(1);
        assertThat(client.answers).isEmpty();
        assertThat(host.log).isEmpty();
    }

    /** Held up between its look for the client and its write: what no program prevents is counted. */
    @ParameterizedTest
    @CsvSource({"99, 0, 0", "101, 0, 1", "101, 30, 0"})
    void anEndFoundBehindALateWriteIsCounted(long heldUpMs, long foundMs, int counted) {
        var host = new FakeHost(FakeHost.sendTo("s0", 0));
        host.onStart = s -> {
            s.written = s.end.mayBegin(s.deadlineUs);
            host.now += heldUpMs * MS;
            s.end.written();
        };
        host.ask("r1");
        host.now += foundMs * MS;
        host.engine.clientGone("r1");
        assertThat(host.log).hasSize(counted);
        assertThat(host.log).allMatch(l -> l.contains("CLIENT_GONE") && l.contains("r1"));
    }

    @Test
    void anErrorInTheModuleCostsOneRequest() {
        var host = new FakeHost((event, actions) -> {
            if (event instanceof Arrival a && a.id().equals("bad")) {
                throw new IllegalStateException("as the test wants it");
            }
            FakeHost.sendTo("s0", 0).accept(event, actions);
        });
        assertThat(host.ask("bad").answers).containsExactly("failed");
        var good = host.ask("good");
        host.sent.get(0).answer(Outcome.OK, new FakeHost.Counted());
        assertThat(good.answers).containsExactly("served");
    }

    /** A front that can't tell its client of an answer is asked for a failure: the request is taken all the same. */
    @Test
    void anAnswerThatCannotBeGivenIsAFailure() {
        var host = new FakeHost((event, actions) -> {
            if (event instanceof Arrival a) {
                actions.accept(new Refuse(a.id(), 5));
            }
        });
        var client = new FakeHost.Client();
        client.onAnswer = () -> {
            throw new IllegalStateException("no such header");
        };
        host.ask("r1", client);
        assertThat(client.answers).containsExactly("refused 5", "failed");
        assertThat(host.engine.open()).isZero();
    }

    /** A client asks again from within its answer: the second request is handled after the first is done with. */
    @Test
    void anAnswerMayBringTheNextRequest() {
        var host = new FakeHost((event, actions) -> {
            if (event instanceof Arrival a) {
                actions.accept(a.id().equals("r1") ? new Refuse(a.id(), 0) : new Fail(a.id()));
            }
        });
        var client = new FakeHost.Client();
        var next = new FakeHost.Client();
        client.onAnswer = () -> host.ask("r2", next);
        host.ask("r1", client);
        assertThat(client.answers).containsExactly("refused 0");
        assertThat(next.answers).containsExactly("failed");
        assertThat(host.engine.open()).isZero();
    }

    @Test
    void carriesOutWhatElseTheModuleAsksFor() {
        var host = new FakeHost((event, actions) -> {
            if (event instanceof Arrival a) {
                actions.accept(new Watch(true));
                actions.accept(new Fetch());
                actions.accept(new Release("s0"));
                actions.accept(new Log("a line"));
                actions.accept(new Probe("s0"));
                actions.accept(new SetTimer(0, "past"));
                actions.accept(new Cancel("unknown", 0));
                actions.accept(new Cancel(a.id(), 3));
                actions.accept(new Send(a.id(), "s0", 0));
                actions.accept(new Cancel(a.id(), 0));
            }
        });
        host.ask("r1");
        assertThat(host.asked).containsExactly("watch true", "fetch", "release s0");
        assertThat(host.log.get(0)).isEqualTo("a line");
        assertThat(host.log.get(1)).contains("no such action here");
        assertThat(host.sent.get(0).ended).isEqualTo(Outcome.CANCELLED);
        host.run(0);
        assertThat(host.events(TimerFired.class)).containsExactly(new TimerFired("past"));
    }

    /** Without room for a connection the attempt was never sent, and the module hears so. */
    @Test
    void anAttemptThatCannotBeMadeWasNotSent() {
        var host = new FakeHost(FakeHost.sendTo("s0", 0));
        host.room = false;
        assertThat(host.ask("r1").answers).containsExactly("failed");
        assertThat(host.events(AttemptEnded.class))
                .extracting(AttemptEnded::outcome)
                .containsExactly(Outcome.NOT_SENT);
        assertThat(host.engine.open()).isZero();
    }

    /** What is kept of requests goes away with them. */
    @Test
    void keepsNothingOfRequestsThatAreOver() {
        var host = new FakeHost(FakeHost.sendTo("s0", 100 * MS));
        for (int i = 0; i < 10_000; i++) {
            host.ask("r" + i);
            var attempt = host.sent.get(host.sent.size() - 1);
            switch (i % 4) {
                case 0 -> attempt.answer(Outcome.OK, new FakeHost.Counted());
                case 1 -> host.engine.clientGone("r" + i);
                case 2 -> attempt.answer(Outcome.ERROR, null);
                default -> host.run(1);
            }
        }
        host.run(2_000 * MS);
        assertThat(host.engine.open()).isZero();
        assertThat(host.timers()).isZero();
    }
}
