package grebehoist.trial.scale;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;

/** Creates all scopes and fills them, by several writers at once: each scope has one of them. */
final class Loader {
    private static final long ANSWER_MS = 60_000;
    private static final long AGAIN_MS = 500;
    private static final int ROUNDS = 60;
    private static final int AHEAD = 1_000;
    /** What was refused, as doors did not answer in time, is asked for again; how often is told. */
    private static final int TRIES = 3;

    private final Plan plan;
    private final Books books;
    private final Judge judge;

    Loader(Plan plan, Books books, Judge judge) {
        this.plan = plan;
        this.books = books;
        this.judge = judge;
    }

    /** Returns what it took. */
    ObjectNode load(List<ChangeFeed> feeds) throws IOException, InterruptedException {
        long began = Wire.now();
        create(feeds);
        long created = Wire.now();
        int[] sizes = plan.sizes();
        int again = 0;
        for (int round = 0; round < TRIES && books.items() < IntStream.of(sizes).sum(); round++) {
            int asked = fill(feeds, sizes);
            again += round > 0 ? asked : 0;
        }
        if (books.items() < IntStream.of(sizes).sum()) {
            judge.found("of " + IntStream.of(sizes).sum() + " items " + books.items() + " could be loaded: "
                    + books.reasons());
        }
        ObjectNode took = Wire.JSON
                .createObjectNode()
                .put("scopes", sizes.length)
                .put("items", books.items())
                .put("create_s", Tally.seconds(created - began))
                .put("items_s", Tally.seconds(Wire.now() - created))
                .put("asked_again", again);
        took.set("results", Wire.JSON.valueToTree(books.results()));
        return took;
    }

    /** Asks for all items that are not there; returns how many. */
    private int fill(List<ChangeFeed> feeds, int[] sizes) throws IOException, InterruptedException {
        var draw = new ChangeDraw(plan, plan.seed());
        int most = IntStream.of(sizes).max().orElse(0);
        int asked = 0;
        // Scope after scope for each place: changes of one scope wait for each other, those of several do not.
        for (int place = 0; place < most; place++) {
            for (int s = 0; s < sizes.length; s++) {
                ObjectNode item = place < sizes[s] ? draw.item(s, place) : null;
                if (item != null
                        && !books.of(
                                s,
                                c -> c.has(
                                        item.path("kind").asInt(),
                                        item.path("key").asText()))) {
                    ChangeFeed to = feeds.get(s % feeds.size());
                    to.submit(item);
                    to.await(AHEAD, ANSWER_MS);
                    asked++;
                }
            }
        }
        awaitAnswers(feeds);
        return asked;
    }

    private void create(List<ChangeFeed> feeds) throws IOException, InterruptedException {
        List<String> scopes = plan.scopes();
        List<Integer> missing = IntStream.range(0, scopes.size()).boxed().toList();
        for (int round = 0; !missing.isEmpty(); round++) {
            if (round == ROUNDS) {
                throw new IOException(missing.size() + " scopes can't be created: " + books.reasons());
            }
            if (round > 0) {
                TimeUnit.MILLISECONDS.sleep(AGAIN_MS);
            }
            // One alone until that works: as long as the machines do not know of each other there is no use in asking
            // for all.
            for (int s : missing.size() == scopes.size() ? missing.subList(0, 1) : missing) {
                feeds.get(s % feeds.size())
                        .submit(Wire.JSON.createObjectNode().put("op", "create").put("scope", scopes.get(s)));
            }
            awaitAnswers(feeds);
            missing = missing.stream().filter(s -> !books.created(s)).toList();
        }
    }

    private static void awaitAnswers(List<ChangeFeed> feeds) throws IOException, InterruptedException {
        for (ChangeFeed f : feeds) {
            if (!f.await(0, ANSWER_MS)) {
                throw new IOException(
                        f.process().name() + " does not answer: " + f.process().log());
            }
        }
    }
}
