package dillfront.router.identity;

import java.nio.charset.StandardCharsets;

/**
 * One right, or its denial.
 *
 * @param typeMask bits of txn types, by index; ALL for all of them, also those that come later
 * @param reads holds for reads
 * @param writes holds for writes
 * @param group of nodes; ANY for all
 * @param prefix what the key begins with; empty for all keys
 * @param source where the rule stands, for people
 */
public record Rule(
        boolean allow,
        int typeMask,
        boolean reads,
        boolean writes,
        int group,
        byte[] prefix,
        String source) {

    public static final int ALL_TYPES = -1;
    public static final int ANY_GROUP = -1;

    /** Types have indices below this. */
    public static final int MAX_TYPES = 32;

    /**
     * @throws IllegalArgumentException where the rule contradicts itself
     */
    public Rule {
        prefix = prefix.clone();
        if (prefix.length > 255) {
            throw new IllegalArgumentException("a prefix longer than 255 bytes");
        }
    }

    /**
     * @param access r, w or rw
     */
    public static Rule of(
            boolean allow, int typeMask, String access, int group, String prefix, String source) {
        return new Rule(
                allow,
                typeMask,
                access.contains("r"),
                access.contains("w"),
                group,
                prefix.getBytes(StandardCharsets.UTF_8),
                source);
    }

    /** Bit of a type and an access within 64: reads below, writes above. */
    static long accessBit(int type, boolean write) {
        return 1L << (write ? MAX_TYPES + type : type);
    }

    long accessMask() {
        return (reads ? typeMask & 0xffffffffL : 0)
                | (writes ? (typeMask & 0xffffffffL) << MAX_TYPES : 0);
    }

    /** Whether it speaks of this txn; the plain reading, against which the index is tested. */
    boolean matches(int type, boolean write, int group, KeyBytes key) {
        if ((accessMask() & accessBit(type, write)) == 0
                || this.group != ANY_GROUP && this.group != group
                || key.length() < prefix.length) {
            return false;
        }
        for (int i = 0; i < prefix.length; i++) {
            if (key.byteAt(i) != prefix[i]) {
                return false;
            }
        }
        return true;
    }
}
