package grebehoist.operations;

import grebehoist.engine.RequestClaims;
import java.io.IOException;
import java.lang.invoke.MethodHandles;
import java.lang.invoke.VarHandle;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.nio.channels.FileChannel;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.function.LongSupplier;

/**
 * The claims of all processes of one proxy, in a file that each has mapped: a table of {@value #SLOTS} slots in sets of {@value #WAYS}. A slot
 * is two words of 64 bits: a hash of the pool's name and the request's id, and when the claim ends (48 bits, in milliseconds of
 * the machine's monotonic clock, which its processes share) with the claimant (16 bits, drawn at its start).
 *
 * <p>A claimant writes its slot and then looks whether another has the same hash: of two that claim at once at least one sees the other,
 * and gives way. Where a set is full the claim that ends first makes room. Nothing waits, and a process that dies leaves nothing locked.
 * Two ids of one hash are taken for one; with 64 bits and this many slots that is left out of account.
 *
 * <p>Used by one thread of each process.
 */
final class ClaimTable {
    static final int SLOTS = 8_192;
    static final int WAYS = 8;

    private static final long NONE = 0;
    private static final int WORD_BYTES = Long.BYTES;
    private static final int SLOT_BYTES = 2 * WORD_BYTES;
    private static final int FILE_BYTES = SLOTS * SLOT_BYTES;
    /** No claim lasts longer; an end that is further away has been written by another life of the machine. */
    private static final long LONGEST_MS = 180_000;

    private static final int CLAIMANT_BITS = 16;
    private static final long CLAIMANT_MASK = (1L << CLAIMANT_BITS) - 1;
    private static final VarHandle WORD = MethodHandles.byteBufferViewVarHandle(long[].class, ByteOrder.nativeOrder());
    /** FNV-1a, 64 bits. */
    private static final long HASH_SEED = 0xcbf29ce484222325L;

    private static final long HASH_PRIME = 0x100000001b3L;

    private final ByteBuffer table;
    private final LongSupplier clockMs;
    private final long claimant;

    /**
     * Makes the view of one claimant.
     *
     * @param table {@value #SLOTS} slots, aligned to words
     * @param clockMs the same for all that share the table
     * @param claimant tells it from the others, of which only the last 16 bits count
     */
    ClaimTable(ByteBuffer table, LongSupplier clockMs, long claimant) {
        this.table = table;
        this.clockMs = clockMs;
        this.claimant = claimant & CLAIMANT_MASK;
    }

    /**
     * Maps a file, which is made where there is none.
     *
     * @throws IOException where it can't be opened, written or mapped
     */
    static ClaimTable map(Path file) throws IOException {
        try (FileChannel channel =
                FileChannel.open(file, StandardOpenOption.CREATE, StandardOpenOption.READ, StandardOpenOption.WRITE)) {
            // A page that has been written down is there: touching one for which there is no room would end the
            // process.
            for (long size = channel.size(); size < FILE_BYTES; size = channel.size()) {
                channel.write(ByteBuffer.allocate((int) (FILE_BYTES - size)), size);
            }
            return new ClaimTable(
                    channel.map(FileChannel.MapMode.READ_WRITE, 0, FILE_BYTES),
                    () -> System.nanoTime() / 1_000_000,
                    HASH_PRIME * (ProcessHandle.current().pid() ^ System.nanoTime()) >>> Long.SIZE - CLAIMANT_BITS);
        }
    }

    /** Returns the size of a table, in bytes. */
    static int bytes() {
        return FILE_BYTES;
    }

    /** Returns the claims of one pool: an id tells a request from others of its pool alone. */
    RequestClaims of(String pool) {
        long seed = hash(HASH_SEED, pool);
        return new RequestClaims() {
            @Override
            public boolean claim(String id, long keepUs) {
                return ClaimTable.this.claim(key(seed, id), keepUs / 1_000);
            }

            @Override
            public void release(String id) {
                ClaimTable.this.release(key(seed, id));
            }
        };
    }

    private static long key(long seed, String id) {
        long hash = hash(seed, id);
        // An empty slot has the key 0.
        return hash == 0 ? 1 : hash;
    }

    private static long hash(long seed, String text) {
        long hash = seed;
        for (int i = 0; i < text.length(); i++) {
            hash = (hash ^ text.charAt(i)) * HASH_PRIME;
        }
        return hash ^ (hash >>> 32);
    }

    private boolean claim(long key, long keepMs) {
        long now = clockMs.getAsLong();
        if (heldByOther(key, now)) {
            return false;
        }
        long claim = (now + Math.min(keepMs, LONGEST_MS)) << CLAIMANT_BITS | claimant;
        int slot = ownSlot(key, now);
        if (slot < 0 || !replaceOwn(slot, claim)) {
            slot = takeRoom(key, claim, now);
        }
        WORD.setVolatile(table, at(slot), key);
        if (heldByOther(key, now)) {
            release(key);
            return false;
        }
        return true;
    }

    /** Takes a slot whose claim has ended, or the one whose claim ends first. Returns it. */
    private int takeRoom(long key, long claim, long now) {
        int first = firstOfSet(key);
        while (true) {
            int room = first;
            long seen = claim(first);
            for (int slot = first + 1; slot < first + WAYS && lives(seen, now); slot++) {
                long other = claim(slot);
                if (!lives(other, now) || endOf(other) < endOf(seen)) {
                    room = slot;
                    seen = other;
                }
            }
            // Where another has taken it meanwhile, its claim is there, and another slot is looked for.
            if (replace(room, seen, claim)) {
                return room;
            }
        }
    }

    /** Replaces a claim of this claimant's own; returns whether it still was. */
    private boolean replaceOwn(int slot, long now) {
        long claim = claim(slot);
        return claimantOf(claim) == claimant && replace(slot, claim, now);
    }

    private boolean replace(int slot, long before, long now) {
        return WORD.compareAndSet(table, at(slot) + WORD_BYTES, before, now);
    }

    private void release(long key) {
        long now = clockMs.getAsLong();
        int slot = ownSlot(key, now);
        if (slot >= 0) {
            replaceOwn(slot, NONE);
        }
    }

    private boolean heldByOther(long key, long now) {
        int first = firstOfSet(key);
        for (int slot = first; slot < first + WAYS; slot++) {
            if (key(slot) == key && lives(claim(slot), now) && claimantOf(claim(slot)) != claimant) {
                return true;
            }
        }
        return false;
    }

    private int ownSlot(long key, long now) {
        int first = firstOfSet(key);
        for (int slot = first; slot < first + WAYS; slot++) {
            if (key(slot) == key && lives(claim(slot), now) && claimantOf(claim(slot)) == claimant) {
                return slot;
            }
        }
        return -1;
    }

    private static int firstOfSet(long key) {
        return (int) Long.remainderUnsigned(key, SLOTS / WAYS) * WAYS;
    }

    private static int at(int slot) {
        return slot * SLOT_BYTES;
    }

    private long key(int slot) {
        return (long) WORD.getVolatile(table, at(slot));
    }

    private long claim(int slot) {
        return (long) WORD.getVolatile(table, at(slot) + WORD_BYTES);
    }

    private static long endOf(long claim) {
        return claim >> CLAIMANT_BITS;
    }

    private static long claimantOf(long claim) {
        return claim & CLAIMANT_MASK;
    }

    private static boolean lives(long claim, long now) {
        return claim != NONE && endOf(claim) > now && endOf(claim) <= now + LONGEST_MS;
    }
}
