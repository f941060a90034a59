package grebehoist.thrift;

import io.netty.buffer.ByteBuf;

/**
 * Walks a struct from its first field to its end without building anything, and notes the values at the paths that are
 * wanted. Each step takes at least a byte of the frame, so that a container that claims two billion elements ends where the
 * frame does; and it goes {@link #DEEPEST} deep at most, which is libthrift's own limit (TConfiguration).
 */
final class StructWalk {
    static final int DEEPEST = 64;

    private final Cursor in;
    private final String[] found;

    private StructWalk(ByteBuf frame, int at, int wanted) {
        this.in = new Cursor(frame);
        in.to(at);
        this.found = new String[wanted];
    }

    /**
     * Walks the struct that begins somewhere in a frame and has to end with it.
     *
     * @return the values at the wanted paths by their slots, numbers as decimals; null for those that are not there
     */
    static String[] walk(ByteBuf frame, Message message, FieldPaths wanted) throws BadFrame {
        var walk = new StructWalk(frame, message.bodyAt(), wanted.size());
        if (message.encoding() == Encoding.COMPACT) {
            walk.compactStruct(wanted.root(), 0);
        } else {
            walk.binaryStruct(wanted.root(), 0);
        }
        if (walk.in.left() != 0) {
            throw new BadFrame(walk.in.left() + " bytes behind the message");
        }
        return walk.found;
    }

    private static int deeper(int depth) throws BadFrame {
        if (depth >= DEEPEST) {
            throw new BadFrame("nested more than " + DEEPEST + " deep");
        }
        return depth + 1;
    }

    private void note(FieldPaths.Node node, String value) {
        if (node != null && node.slot() >= 0) {
            found[node.slot()] = value;
        }
    }

    private static boolean wanted(FieldPaths.Node node) {
        return node != null && node.slot() >= 0;
    }

    // Binary

    private void binaryStruct(FieldPaths.Node node, int depth) throws BadFrame {
        int inside = deeper(depth);
        for (int type = in.u8(); type != 0; type = in.u8()) {
            int id = in.i16();
            binary(type, node == null ? null : node.child(id), inside);
        }
    }

    private void binary(int type, FieldPaths.Node node, int depth) throws BadFrame {
        switch (type) {
            case 2, 3 -> {
                int value = in.u8();
                note(node, Integer.toString(type == 2 ? value : (byte) value));
            }
            case 4 -> in.skip(8);
            case 6 -> note(node, wanted(node) ? Integer.toString(in.i16()) : skipped(2));
            case 8 -> note(node, wanted(node) ? Integer.toString(in.i32()) : skipped(4));
            case 10 -> note(node, wanted(node) ? Long.toString(in.i64()) : skipped(8));
            case 11 -> string(in.i32(), node);
            case 12 -> binaryStruct(node, depth);
            case 13 -> {
                int key = in.u8();
                int value = in.u8();
                long size = size(in.i32());
                int inside = deeper(depth);
                for (long i = 0; i < size; i++) {
                    binary(key, null, inside);
                    binary(value, null, inside);
                }
            }
            case 14, 15 -> {
                int element = in.u8();
                long size = size(in.i32());
                int inside = deeper(depth);
                for (long i = 0; i < size; i++) {
                    binary(element, null, inside);
                }
            }
            case 16 -> in.skip(16);
            default -> throw new BadFrame("no such type: " + type);
        }
    }

    private String skipped(int bytes) throws BadFrame {
        in.skip(bytes);
        return null;
    }

    private static long size(long size) throws BadFrame {
        if (size < 0) {
            throw new BadFrame("a container of " + size);
        }
        return size;
    }

    private void string(int length, FieldPaths.Node node) throws BadFrame {
        if (wanted(node)) {
            if (length < 0) {
                throw new BadFrame("a text of " + length + " bytes");
            }
            note(node, in.text(length));
        } else {
            in.skip(length);
        }
    }

    // Compact

    private void compactStruct(FieldPaths.Node node, int depth) throws BadFrame {
        int inside = deeper(depth);
        int id = 0;
        for (int head = in.u8(); (head & 0x0F) != 0; head = in.u8()) {
            int delta = head >> 4;
            id = delta != 0 ? (short) (id + delta) : (short) Cursor.unzigzag(in.varint32() & 0xFFFFFFFFL);
            FieldPaths.Node child = node == null ? null : node.child(id);
            int type = head & 0x0F;
            if (type <= 2) {
                // The value of a field of its own stands in its head.
                note(child, type == 1 ? "1" : "0");
            } else {
                compact(type, child, inside);
            }
        }
    }

    private void compact(int type, FieldPaths.Node node, int depth) throws BadFrame {
        switch (type) {
            case 1, 2 -> in.skip(1);
            case 3 -> {
                int value = in.u8();
                note(node, Integer.toString((byte) value));
            }
            case 4, 5 -> {
                long value = Cursor.unzigzag(in.varint32() & 0xFFFFFFFFL);
                note(node, wanted(node) ? Long.toString(value) : null);
            }
            case 6 -> {
                long value = Cursor.unzigzag(in.varint64());
                note(node, wanted(node) ? Long.toString(value) : null);
            }
            case 7 -> in.skip(8);
            case 8 -> string(in.varint32(), node);
            case 9, 10 -> {
                int head = in.u8();
                long size = head >> 4 == 15 ? size(in.varint32()) : head >> 4;
                int inside = deeper(depth);
                for (long i = 0; i < size; i++) {
                    compact(head & 0x0F, null, inside);
                }
            }
            case 11 -> {
                long size = size(in.varint32());
                int inside = deeper(depth);
                int types = size == 0 ? 0 : in.u8();
                for (long i = 0; i < size; i++) {
                    compact(types >> 4, null, inside);
                    compact(types & 0x0F, null, inside);
                }
            }
            case 12 -> compactStruct(node, depth);
            case 13 -> in.skip(16);
            default -> throw new BadFrame("no such type: " + type);
        }
    }
}
