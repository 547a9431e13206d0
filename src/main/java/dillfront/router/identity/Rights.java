package dillfront.router.identity;

import java.util.Arrays;
import java.util.List;
import java.util.TreeMap;

/**
 * The access rules of one principal, compiled into radix tries over key prefixes: one trie for each
 * server group that a rule names, and one for the rules of all groups. Each trie node holds a bit
 * mask of types and accesses that are allowed from its prefix on, and one of those denied. A
 * verdict walks the key once per trie and allocates nothing. A denial overrides any allowance, and
 * an access without a rule is denied.
 */
public final class Rights {

    /** Rights that allow nothing. */
    public static final Rights NONE = new Rights(List.of());

    /** The outcome of an access check. */
    public enum Verdict {
        ALLOWED,
        NO_RULE,
        DENIED
    }

    private static final class Node {
        /** Label of the edge from the parent, including its first byte. */
        byte[] label;

        /** First bytes of the children's labels, unsigned, in ascending order. */
        int[] firsts = {};

        Node[] children = {};
        long allow;
        long deny;

        Node(byte[] label) {
            this.label = label;
        }

        Node child(int first) {
            int at = Arrays.binarySearch(firsts, first);
            return at < 0 ? null : children[at];
        }

        void put(Node child) {
            int first = child.label[0] & 0xff;
            int at = Arrays.binarySearch(firsts, first);
            if (at >= 0) {
                children[at] = child;
                return;
            }
            int place = -at - 1;
            int[] moreFirsts = new int[firsts.length + 1];
            Node[] more = new Node[firsts.length + 1];
            System.arraycopy(firsts, 0, moreFirsts, 0, place);
            System.arraycopy(children, 0, more, 0, place);
            System.arraycopy(firsts, place, moreFirsts, place + 1, firsts.length - place);
            System.arraycopy(children, place, more, place + 1, firsts.length - place);
            moreFirsts[place] = first;
            more[place] = child;
            firsts = moreFirsts;
            children = more;
        }
    }

    private final List<Rule> rules;
    private final Node all = new Node(new byte[0]);

    /** Groups that rules name, in ascending order; {@link #tries} has the same order. */
    private final int[] groups;

    private final Node[] tries;

    /** Compiles the rules. */
    public Rights(List<Rule> rules) {
        this.rules = List.copyOf(rules);
        TreeMap<Integer, Node> named = new TreeMap<>();
        for (Rule rule : rules) {
            Node root =
                    rule.group() == Rule.ANY
                            ? all
                            : named.computeIfAbsent(rule.group(), g -> new Node(new byte[0]));
            add(root, rule);
        }
        groups = named.keySet().stream().mapToInt(Integer::intValue).toArray();
        tries = named.values().toArray(new Node[0]);
    }

    private static void add(Node root, Rule rule) {
        Node node = root;
        byte[] rest = rule.prefix();
        while (rest.length > 0) {
            Node next = node.child(rest[0] & 0xff);
            if (next == null) {
                next = new Node(rest);
                node.put(next);
                node = next;
                break;
            }
            int same = 0;
            while (same < rest.length
                    && same < next.label.length
                    && rest[same] == next.label[same]) {
                same++;
            }
            if (same < next.label.length) {
                Node middle = new Node(Arrays.copyOf(next.label, same));
                next.label = Arrays.copyOfRange(next.label, same, next.label.length);
                middle.put(next);
                node.put(middle);
                next = middle;
            }
            rest = Arrays.copyOfRange(rest, same, rest.length);
            node = next;
        }
        if (rule.allow()) {
            node.allow |= rule.bits();
        } else {
            node.deny |= rule.bits();
        }
    }

    /** Checks an access; the type is its index in the settings. */
    public Verdict verdict(int type, boolean write, int group, KeyBytes key) {
        if (type < 0 || type >= Rule.TYPES) {
            return Verdict.NO_RULE;
        }
        long bit = Rule.bit(type, write);
        int own = groups.length == 0 ? -1 : Arrays.binarySearch(groups, group);
        int found = walk(all, bit, key);
        if (found >= 0 && own >= 0) {
            int also = walk(tries[own], bit, key);
            found = also < 0 ? also : found | also;
        }
        return found < 0 ? Verdict.DENIED : found > 0 ? Verdict.ALLOWED : Verdict.NO_RULE;
    }

    /**
     * Returns 1 if a node on the key's path allows the access, 0 if none does, -1 if one denies it.
     */
    private static int walk(Node root, long bit, KeyBytes key) {
        int length = key.length();
        int at = 0;
        int allowed = 0;
        Node node = root;
        while (true) {
            if ((node.deny & bit) != 0) {
                return -1;
            }
            allowed |= (node.allow & bit) != 0 ? 1 : 0;
            if (at >= length) {
                return allowed;
            }
            node = node.child(key.at(at) & 0xff);
            if (node == null || length - at < node.label.length) {
                return allowed;
            }
            for (int i = 1; i < node.label.length; i++) {
                if (key.at(at + i) != node.label[i]) {
                    return allowed;
                }
            }
            at += node.label.length;
        }
    }

    /**
     * Returns the source of the first rule, in file order, that leads to the verdict; for the log
     * line of a denial.
     */
    public String cause(int type, boolean write, int group, KeyBytes key) {
        String allowed = null;
        for (Rule rule : rules) {
            if (rule.speaksOf(type, write, group, key)) {
                if (!rule.allow()) {
                    return rule.from();
                }
                allowed = allowed == null ? rule.from() : allowed;
            }
        }
        return allowed == null ? "no rule allows it" : allowed;
    }

    /**
     * Checks an access by a scan over all rules, the reference for the trie in tests and
     * benchmarks.
     */
    public Verdict plainly(int type, boolean write, int group, KeyBytes key) {
        boolean allowed = false;
        for (Rule rule : rules) {
            if (rule.speaksOf(type, write, group, key)) {
                if (!rule.allow()) {
                    return Verdict.DENIED;
                }
                allowed = true;
            }
        }
        return allowed ? Verdict.ALLOWED : Verdict.NO_RULE;
    }
}
