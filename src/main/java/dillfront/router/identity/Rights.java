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

    private static final class RadixNode {
        /** What leads here from the parent, its first byte included. */
        byte[] label;

        /** First bytes of the children's labels as unsigned numbers, rising. */
        int[] firstBytes = {};

        RadixNode[] children = {};
        long allowedAccesses;
        long deniedAccesses;

        RadixNode(byte[] label) {
            this.label = label;
        }

        RadixNode child(int firstByte) {
            int index = Arrays.binarySearch(firstBytes, firstByte);
            return index < 0 ? null : children[index];
        }

        void putChild(RadixNode child) {
            int firstByte = child.label[0] & 0xff;
            int index = Arrays.binarySearch(firstBytes, firstByte);
            if (index >= 0) {
                children[index] = child;
                return;
            }
            int insertion = -index - 1;
            int[] newFirstBytes = new int[firstBytes.length + 1];
            RadixNode[] newChildren = new RadixNode[firstBytes.length + 1];
            System.arraycopy(firstBytes, 0, newFirstBytes, 0, insertion);
            System.arraycopy(children, 0, newChildren, 0, insertion);
            System.arraycopy(
                    firstBytes,
                    insertion,
                    newFirstBytes,
                    insertion + 1,
                    firstBytes.length - insertion);
            System.arraycopy(
                    children, insertion, newChildren, insertion + 1, firstBytes.length - insertion);
            newFirstBytes[insertion] = firstByte;
            newChildren[insertion] = child;
            firstBytes = newFirstBytes;
            children = newChildren;
        }
    }

    private final List<Rule> rules;
    private final RadixNode commonTree = new RadixNode(new byte[0]);

    /** Groups that rules name, rising, and their tries. */
    private final int[] groups;

    private final RadixNode[] groupTrees;

    /** Indexes the rules by principal and key prefix. */
    public Rights(List<Rule> rules) {
        this.rules = List.copyOf(rules);
        TreeMap<Integer, RadixNode> treesByGroup = new TreeMap<>();
        for (Rule rule : rules) {
            RadixNode root =
                    rule.group() == Rule.ANY_GROUP
                            ? commonTree
                            : treesByGroup.computeIfAbsent(
                                    rule.group(), g -> new RadixNode(new byte[0]));
            add(root, rule);
        }
        groups = treesByGroup.keySet().stream().mapToInt(Integer::intValue).toArray();
        groupTrees = treesByGroup.values().toArray(new RadixNode[0]);
    }

    private static void add(RadixNode root, Rule rule) {
        RadixNode node = root;
        byte[] remaining = rule.prefix();
        while (remaining.length > 0) {
            RadixNode next = node.child(remaining[0] & 0xff);
            if (next == null) {
                next = new RadixNode(remaining);
                node.putChild(next);
                node = next;
                break;
            }
            int commonLength = 0;
            while (commonLength < remaining.length
                    && commonLength < next.label.length
                    && remaining[commonLength] == next.label[commonLength]) {
                commonLength++;
            }
            if (commonLength < next.label.length) {
                RadixNode split = new RadixNode(Arrays.copyOf(next.label, commonLength));
                next.label = Arrays.copyOfRange(next.label, commonLength, next.label.length);
                split.putChild(next);
                node.putChild(split);
                next = split;
            }
            remaining = Arrays.copyOfRange(remaining, commonLength, remaining.length);
            node = next;
        }
        if (rule.allow()) {
            node.allowedAccesses |= rule.accessMask();
        } else {
            node.deniedAccesses |= rule.accessMask();
        }
    }

    /** Whether a txn of this type and key may be; type by its index in the settings. */
    public Verdict verdict(int type, boolean write, int group, KeyBytes key) {
        if (type < 0 || type >= Rule.MAX_TYPES) {
            return Verdict.NO_RULE;
        }
        long bit = Rule.accessBit(type, write);
        int groupIndex = groups.length == 0 ? -1 : Arrays.binarySearch(groups, group);
        int outcome = walk(commonTree, bit, key);
        if (outcome >= 0 && groupIndex >= 0) {
            int groupOutcome = walk(groupTrees[groupIndex], bit, key);
            outcome = groupOutcome < 0 ? groupOutcome : outcome | groupOutcome;
        }
        return outcome < 0 ? Verdict.DENIED : outcome > 0 ? Verdict.ALLOWED : Verdict.NO_RULE;
    }

    /**
     * 1 where some node on the key's way allows it, 0 where none does, negative where one denies
     * it.
     */
    private static int walk(RadixNode root, long bit, KeyBytes key) {
        int length = key.length();
        int position = 0;
        int allowed = 0;
        RadixNode node = root;
        while (true) {
            if ((node.deniedAccesses & bit) != 0) {
                return -1;
            }
            allowed |= (node.allowedAccesses & bit) != 0 ? 1 : 0;
            if (position >= length) {
                return allowed;
            }
            node = node.child(key.byteAt(position) & 0xff);
            if (node == null || length - position < node.label.length) {
                return allowed;
            }
            for (int i = 1; i < node.label.length; i++) {
                if (key.byteAt(position + i) != node.label[i]) {
                    return allowed;
                }
            }
            position += node.label.length;
        }
    }

    /**
     * The first rule that decides it as the verdict does, in the order in which rules were given;
     * for a denial's record.
     */
    public String decidingRule(int type, boolean write, int group, KeyBytes key) {
        String allowed = null;
        for (Rule rule : rules) {
            if (rule.matches(type, write, group, key)) {
                if (!rule.allow()) {
                    return rule.source();
                }
                allowed = allowed == null ? rule.source() : allowed;
            }
        }
        return allowed == null ? "no rule allows it" : allowed;
    }

    /** Through all rules one after another: what the index is measured against. */
    public Verdict verdictByScan(int type, boolean write, int group, KeyBytes key) {
        boolean allowed = false;
        for (Rule rule : rules) {
            if (rule.matches(type, write, group, key)) {
                if (!rule.allow()) {
                    return Verdict.DENIED;
                }
                allowed = true;
            }
        }
        return allowed ? Verdict.ALLOWED : Verdict.NO_RULE;
    }
}
