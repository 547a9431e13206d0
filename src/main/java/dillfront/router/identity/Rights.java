package dillfront.router.identity;

import java.util.Arrays;
import java.util.List;
import java.util.TreeMap;

/**
 * The rules of one principal, compiled: a trie over the prefixes of keys for each group of nodes
 * that rules name, and one for the rules of all groups. Each trie node holds one word of bits,
 * types by access, for what is allowed from there on and one for what is denied. A verdict walks
 * the key once a trie, and stops where no rule goes further; it allocates nothing. Denial goes over
 * allowance, wherever either stands; what no rule speaks of is denied.
 */
public final class Rights {

    /** Nothing is allowed. */
    public static final Rights NONE = new Rights(List.of());

    /** What may be, and why not. */
    public enum Verdict {
        ALLOWED,
        NO_RULE,
        DENIED
    }

    private static final class Node {
        /** What leads here from the parent, its first byte included. */
        byte[] label;

        /** First bytes of the children's labels as unsigned numbers, rising. */
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

    /** Groups that rules name, rising, and their tries. */
    private final int[] groups;

    private final Node[] tries;

    /** Indexes the rules by principal and key prefix. */
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

    /** Whether a txn of this type and key may be; type by its index in the settings. */
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
     * 1 where some node on the key's way allows it, 0 where none does, negative where one denies
     * it.
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
     * The first rule that decides it as the verdict does, in the order in which rules were given;
     * for a denial's record.
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

    /** Through all rules one after another: what the index is measured against. */
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
