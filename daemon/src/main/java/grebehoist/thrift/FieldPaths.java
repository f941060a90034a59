package grebehoist.thrift;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Places in a struct that are wanted, by the ids of the fields on the way: {@code 2.1} is field 1 of the struct that is
 * field 2. A tree, so that one walk finds all of them.
 */
final class FieldPaths {
    /** A field on the way, or wanted itself; {@code slot} is -1 where it is only on the way. */
    static final class Node {
        private final Map<Integer, Node> children = new HashMap<>(4);
        private int slot = -1;

        Node child(int id) {
            return children.isEmpty() ? null : children.get(id);
        }

        int slot() {
            return slot;
        }
    }

    static final FieldPaths NONE = new FieldPaths();

    private final Node root = new Node();
    private final List<String> paths = new ArrayList<>();

    /** Adds a path; returns the slot in which a walk leaves what it finds there. */
    int add(String path) {
        Node node = root;
        for (String id : path.split("\\.", -1)) {
            node = node.children.computeIfAbsent(Integer.parseInt(id), i -> new Node());
        }
        if (node.slot < 0) {
            node.slot = paths.size();
            paths.add(path);
        }
        return node.slot;
    }

    /** Returns whether a text is a path. */
    static boolean isPath(String text) {
        if (!text.matches("\\d{1,5}(\\.\\d{1,5}){0,7}")) {
            return false;
        }
        for (String id : text.split("\\.")) {
            if (Integer.parseInt(id) > Short.MAX_VALUE) {
                return false;
            }
        }
        return true;
    }

    Node root() {
        return root;
    }

    int size() {
        return paths.size();
    }
}
